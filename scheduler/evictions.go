package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/rollout"
)

// disruptionBudget is a team's, by the operators' settings; "*" stands for teams without one.
func (rc *rolloutController) disruptionBudget(team string) disruption.Budget {
	if b, ok := rc.cache.settings.Disruption[team]; ok {
		return b
	}
	return rc.cache.settings.Disruption["*"]
}

// issueDisruptionTokens hands out tokens for what the shards want to stop.
func (rc *rolloutController) issueDisruptionTokens() (changed bool) {
	demands := map[string]map[string]disruption.Demand{} // team, shard
	rc.peers.forEachFreshMessage(func(from string, msg *PeerMessage) {
		for i := range msg.OwnedShards {
			if peerShard := &msg.OwnedShards[i]; rc.cache.shardClaims[peerShard.Shard].Owner == from {
				for team, d := range peerShard.DisruptionDemands {
					if demands[team] == nil {
						demands[team] = map[string]disruption.Demand{}
					}
					demands[team][peerShard.Shard] = d
				}
			}
		}
	})
	rows, maxRows := 0, max(16, rc.params.MaxValueBytes/2/40) // a row takes some forty bytes
	recorded := map[string]bool{}
	for _, teams := range rc.ledger.Issued() {
		rows += len(teams)
		for t := range teams {
			recorded[t] = true
		}
	}
	for team, shardDemands := range sortedByKey(demands) {
		if !recorded[team] {
			if rows += len(shardDemands); rows > maxRows {
				continue // no room in the record: its machines wait for their tasks to end
			}
		}
		settled := map[string]uint64{}
		for s, a := range rc.disruptionRecords {
			settled[s] = a.Settled[team]
		}
		if rc.ledger.Issue(rc.now.MonotonicMS, team, rc.disruptionBudget(team), shardDemands, settled) {
			changed = true
		}
	}
	return changed
}

// tickShardDisruption is a shard's part in each tick: what was stopped and runs again is
// settled, what is to be stopped is charged, and the account is written.
func (rc *rolloutController) tickShardDisruption(s *shard) {
	d := &s.disruption
	if !rc.params.Rollout || rc.now.MonotonicMS < d.nextTickAt {
		return
	}
	d.nextTickAt = rc.now.MonotonicMS + 250
	if d.account == nil {
		d.account = disruption.OpenAccount(rc.disruptionRecords[s.name], rc.maxOpenCharges())
		d.record.rev = rc.cache.keyRevisions[disruptionPrefix+s.name]
	}
	rc.settleCharges(s)
	rc.requestEvictions(s)
	rc.writeDisruptionAccount(s)
}

// settleCharges closes the charges of tasks that run again, are done or are nobody's any
// more, and of tasks that go on where they are.
func (rc *rolloutController) settleCharges(s *shard) {
	d := &s.disruption
	if d.account.IsEmpty() {
		return
	}
	live := map[string]*attempt{}
	for _, mc := range s.machines {
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				live[a.key.task] = a
			}
		}
	}
	d.account.EachLost(func(task, _ string) {
		if tr, i := rc.shards.taskRangeOf(task); tr == nil || tr.done.has(i) || live[task] != nil {
			d.account.RecordRecovery(task)
		}
	})
	if len(s.reconciler.Unreported()) > 0 {
		return // what is not heard may be what runs
	}
	d.account.EachReserved(func(task string, t disruption.StoppedTask) {
		tr, i := rc.shards.taskRangeOf(task)
		a := live[task]
		switch {
		case tr == nil, tr.done.has(i):
			d.account.Release(task)
		case a != nil && a.key.attempt != t.Attempt:
			d.account.Release(task)
		case a != nil && !a.evicted && !rc.isDrainedByRollout(a.machine):
			d.account.Release(task) // it was never told to stop, and is not to be
		}
	})
}

// requestEvictions finds what the plan would have stopped, charges what was issued for, and
// tells what more it wants. What ends in time is let end.
func (rc *rolloutController) requestEvictions(s *shard) {
	d, rec, wall := &s.disruption, rc.rec, rc.now.WallMS
	d.demands = map[string]disruption.Demand{}
	if rec == nil || rec.State.IsTerminal() {
		return
	}
	for _, mc := range s.machines {
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				demand := d.demands[a.job.Team]
				demand.Running++
				d.demands[a.job.Team] = demand
			}
		}
	}
	d.account.EachLost(func(_, team string) {
		demand := d.demands[team]
		demand.Lost++
		d.demands[team] = demand
	})
	if rec.State != rollout.Running || !s.reconciled {
		return
	}
	late, deadline := rec.IsPastDeadline(wall), rec.StepDeadline()
	var candidates []eviction
	for _, mc := range s.machines {
		if !mc.cordoned || !mc.IsReconciled() || mc.liveAttemptCount == 0 || !rc.isDrainedByRollout(mc) {
			continue
		}
		for _, a := range mc.byKey {
			if a.exited || a.checkpointing || a.job.AtMostOnce || d.account.IsReserved(a.key.task) {
				continue
			}
			expectedEnd := a.expectedEnd(wall)
			endsByItself := expectedEnd-wall <= 2*rc.maxHeartbeatIntervalMS()+secondsToMS(a.job.CheckpointDurationS)
			e := eviction{attempt: a}
			switch {
			case a.job.Kind == Array && endsByItself || deadline > 0 && !late && a.job.Kind == Array && expectedEnd <= deadline && a.running:
				continue // over by itself in time
			case !a.running && a.job.Kind == Array:
				// Nothing is lost.
			case late:
				e.lostWork = float64(wall-a.runningSince) * a.job.Request.CPUs
				if a.job.CheckpointIntervalS > 0 {
					e.lostWork = min(e.lostWork, a.job.CheckpointDurationS*1000*a.job.Request.CPUs)
				}
			case a.job.Kind == Array && a.job.CheckpointIntervalS > 0 && deadline > 0 && !rc.fitsOnlyTypeOf(a.job, mc):
				e.lostWork = a.job.CheckpointDurationS * 1000 * a.job.Request.CPUs
			default:
				continue
			}
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(x, y eviction) int {
		return cmp.Or(cmp.Compare(x.lostWork, y.lostWork), cmp.Compare(x.attempt.key.task, y.attempt.key.task))
	})
	for _, e := range candidates {
		a := e.attempt
		tasks := rc.tasksEvictedTogether(s, a)
		if tasks == nil {
			continue
		}
		team := a.job.Team
		if d.account.Reserve(team, rec.Issued[s.name][team], tasks) {
			continue
		}
		demand := d.demands[team]
		demand.Requested += len(tasks)
		d.demands[team] = demand
	}
	for team := range d.demands {
		if d.demands[team].Requested == 0 {
			d.account.ReturnUnspent(team, rec.Issued[s.name][team])
		}
	}
}

// fitsOnlyTypeOf tells whether no other type of machine takes a job.
func (rc *rolloutController) fitsOnlyTypeOf(j *Job, mc *machine) bool {
	for _, t := range rc.cache.machineTypes {
		if t.Name != mc.rec.Type && rc.cache.fitsType(j, t) {
			return false
		}
	}
	return rc.cache.placementCatalog.IsRequired(mc.rec.Type)
}

// tasksEvictedTogether is what goes down with a task: a gang all of it; nil if a service would fall
// under what its team's budget keeps.
func (rc *rolloutController) tasksEvictedTogether(s *shard, a *attempt) map[string]uint64 {
	tasks := map[string]uint64{a.key.task: a.key.attempt}
	switch a.job.Kind {
	case Service:
		down := 0
		s.disruption.account.EachReserved(func(task string, _ disruption.StoppedTask) {
			if tr, _ := rc.shards.taskRangeOf(task); tr == a.taskRange {
				down++
			}
		})
		minRunning := int(math.Ceil(rc.disruptionBudget(a.job.Team).MinReplicaShare * float64(a.taskRange.size())))
		if min(a.taskRange.runningCount, a.taskRange.size()-down)-1 < minRunning {
			return nil
		}
	case Gang:
		for _, mc := range s.machines {
			for _, other := range mc.byKey {
				if !other.exited && other.taskRange == a.taskRange {
					tasks[other.key.task] = other.key.attempt
				}
			}
		}
	}
	return tasks
}

// mayEvict tells whether a task's stop may leave: its charge is in the store.
func (rc *rolloutController) mayEvict(s *shard, mc *machine, a *attempt) bool {
	d := &s.disruption
	if !rc.params.Rollout || d.account == nil || !d.account.CanStop(a.key.task, a.key.attempt) {
		return false
	}
	// A gang goes down whole, wherever its tasks are.
	return a.evicted ||
		rc.rec != nil && rc.rec.State == rollout.Running &&
			(mc.cordoned && rc.isDrainedByRollout(mc) || a.job.Kind == Gang)
}

// writeDisruptionAccount stores a shard's account when it changed.
func (rc *rolloutController) writeDisruptionAccount(s *shard) {
	d := &s.disruption
	if d.record.writing || !d.account.HasUnstoredChanges() || rc.now.MonotonicMS < d.record.nextWriteAt {
		return
	}
	rec := d.account.BuildRecord()
	rc.shards.writeShardRecord(s, disruptionPrefix+s.name, &d.record, rec, rc.progressWriteInterval()/2, func(ok bool) {
		if ok {
			d.account.ConfirmStored(rec)
		} else {
			d.account.MarkStoreFailed()
		}
	})
}
