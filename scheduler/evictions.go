package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/rollout"
)

// shardDisruption is a shard's part in a rollout: the account of stopped tasks, and the demands of
// the shard's owner for further evictions. Each eviction spends a disruption token, which the
// leader issues within the team's budget. The shard's owner first reserves the task in the account.
// It sends the stop once the reservation is stored, and settles the reservation when the task runs
// again.
type shardDisruption struct {
	account      *disruption.Account // nil until the first tick of the shard
	record       recordWriteState
	demands      map[string]disruption.Demand // by team
	nextTickAtMS int64                        // monotonic time
}

// updateDemand applies a change to a team's demand.
func (d *shardDisruption) updateDemand(team string, change func(*disruption.Demand)) {
	demand := d.demands[team]
	change(&demand)
	d.demands[team] = demand
}

// eviction is a task that the rollout plan would stop now.
type eviction struct {
	attempt  *attempt
	lostWork float64 // in CPU milliseconds
}

// disruptionRowBytes is the approximate size, in bytes, of one team's tokens for one shard in the
// plan's record.
const disruptionRowBytes = 40

// disruptionBudget is a team's disruption budget in the operators' settings; the entry "*" applies
// to teams without their own.
func (rc *rolloutController) disruptionBudget(team string) disruption.Budget {
	if b, ok := rc.cache.settings.Disruption[team]; ok {
		return b
	}
	return rc.cache.settings.Disruption["*"]
}

// disruptionDemands returns the disruption demands of the shards' owners by team and shard.
func (rc *rolloutController) disruptionDemands() map[string]map[string]disruption.Demand {
	demands := map[string]map[string]disruption.Demand{}
	rc.peers.forEachFreshMessage(func(from string, msg *PeerMessage) {
		for i := range msg.OwnedShards {
			peerShard := &msg.OwnedShards[i]
			if rc.cache.shardClaims[peerShard.Shard].Owner != from {
				continue
			}
			for team, demand := range peerShard.DisruptionDemands {
				if demands[team] == nil {
					demands[team] = map[string]disruption.Demand{}
				}
				demands[team][peerShard.Shard] = demand
			}
		}
	})
	return demands
}

// issueDisruptionTokens issues tokens for the demands of the shards, within the teams' budgets. It
// reports whether the plan's record changes.
func (rc *rolloutController) issueDisruptionTokens() (changed bool) {
	rows, maxRows := 0, max(16, rc.params.MaxValueBytes/2/disruptionRowBytes)
	recorded := map[string]bool{}
	for _, teams := range rc.ledger.Issued() {
		rows += len(teams)
		for team := range teams {
			recorded[team] = true
		}
	}
	for team, shardDemands := range sortedByKey(rc.disruptionDemands()) {
		if !recorded[team] {
			if rows += len(shardDemands); rows > maxRows {
				continue // record full: the team's drained machines wait for its tasks to end
			}
		}
		settled := map[string]uint64{}
		for shard, record := range rc.disruptionRecords {
			settled[shard] = record.Settled[team]
		}
		if rc.ledger.Issue(rc.now.MonotonicMS, team, rc.disruptionBudget(team), shardDemands, settled) {
			changed = true
		}
	}
	return changed
}

// tickShardDisruption performs a shard's part of the rollout on a tick: it settles the reservations
// of tasks that run again, reserves evictions and writes the account.
func (rc *rolloutController) tickShardDisruption(s *shard) {
	d := &s.disruption
	if !rc.params.Rollout || rc.now.MonotonicMS < d.nextTickAtMS {
		return
	}
	d.nextTickAtMS = rc.now.MonotonicMS + 250
	if d.account == nil {
		d.account = disruption.OpenAccount(rc.disruptionRecords[s.name], rc.maxEvictionReservations())
		d.record.rev = rc.cache.keyRevisions[disruptionPrefix+s.name]
	}
	rc.settleReservations(s)
	rc.requestEvictions(s)
	rc.writeDisruptionAccount(s)
}

// runningAttempts returns the running attempts on a shard's machines by task.
func runningAttempts(s *shard) map[string]*attempt {
	running := map[string]*attempt{}
	for _, mc := range s.machines {
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				running[a.key.task] = a
			}
		}
	}
	return running
}

// settleReservations settles the reservations of tasks that run again, that are done or no longer
// owned, and of tasks that continue on their machine. It also records the recovery of lost tasks.
func (rc *rolloutController) settleReservations(s *shard) {
	account := s.disruption.account
	if account.IsEmpty() {
		return
	}
	running := runningAttempts(s)
	account.EachLost(func(task, _ string) {
		if rc.isDoneOrNotOwned(task) || running[task] != nil {
			account.RecordRecovery(task)
		}
	})
	if len(s.reconciler.Unreported()) > 0 {
		return // an unreported machine may run the task
	}
	account.EachReserved(func(task string, stopped disruption.StoppedTask) {
		if rc.isDoneOrNotOwned(task) || rc.isReservationObsolete(running[task], stopped) {
			account.Release(task)
		}
	})
}

// isDoneOrNotOwned reports whether a task is done or belongs to no range that this member owns.
func (rc *rolloutController) isDoneOrNotOwned(task string) bool {
	tr, i := rc.shards.taskRangeOf(task)
	return tr == nil || tr.done.has(i)
}

// isReservationObsolete reports whether a task runs again after its eviction, or continues without
// one because its stop was never sent and is no longer wanted.
func (rc *rolloutController) isReservationObsolete(a *attempt, stopped disruption.StoppedTask) bool {
	if a == nil {
		return false
	}
	return a.key.attempt != stopped.Attempt || !a.evicted && !rc.isDrainedByRollout(a.machine)
}

// requestEvictions determines which tasks the rollout plan would stop, reserves the evictions for
// which tokens were issued, and requests tokens for the others. It does not evict tasks that end in
// time by themselves.
func (rc *rolloutController) requestEvictions(s *shard) {
	d, rec := &s.disruption, rc.rec
	d.demands = map[string]disruption.Demand{}
	if rec == nil || rec.State.IsTerminal() {
		return
	}
	for _, mc := range s.machines {
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				d.updateDemand(a.job.Team, func(demand *disruption.Demand) { demand.Running++ })
			}
		}
	}
	d.account.EachLost(func(_, team string) {
		d.updateDemand(team, func(demand *disruption.Demand) { demand.Lost++ })
	})
	if rec.State != rollout.Running || !s.reconciled {
		return
	}
	for _, e := range rc.evictionCandidates(s) {
		a := e.attempt
		tasks := rc.tasksEvictedTogether(s, a)
		if tasks == nil || d.account.Reserve(a.job.Team, rec.Issued[s.name][a.job.Team], tasks) {
			continue
		}
		d.updateDemand(a.job.Team, func(demand *disruption.Demand) { demand.Requested += len(tasks) })
	}
	for team, demand := range d.demands {
		if demand.Requested == 0 {
			d.account.ReturnUnspent(team, rec.Issued[s.name][team])
		}
	}
}

// evictionCandidates lists the tasks on drained machines that the rollout plan would stop now,
// sorted by the work that is lost, the least first.
func (rc *rolloutController) evictionCandidates(s *shard) []eviction {
	var candidates []eviction
	for _, mc := range s.machines {
		if !mc.cordoned || !mc.IsReconciled() || mc.liveAttemptCount == 0 || !rc.isDrainedByRollout(mc) {
			continue
		}
		for _, a := range mc.byKey {
			if lostWork, evict := rc.evictionCost(s, mc, a); evict {
				candidates = append(candidates, eviction{a, lostWork})
			}
		}
	}
	slices.SortFunc(candidates, func(x, y eviction) int {
		return cmp.Or(cmp.Compare(x.lostWork, y.lostWork), cmp.Compare(x.attempt.key.task, y.attempt.key.task))
	})
	return candidates
}

// evictionCost reports whether the rollout plan would stop a task on a drained machine now, and how
// much work is lost by that, in CPU milliseconds:
//
//	task                                            | stopped                 | lost work
//	reserved, checkpointing, exited or at-most-once | no                      |
//	array task that ends by itself in time          | no                      |
//	array task that does not run yet                | immediately             | none
//	any other, after the step's deadline            | immediately             | runtime, or a checkpoint's if less
//	array task with checkpoints, before a deadline  | if another type fits    | a checkpoint's time
//	any other                                       | not before the deadline |
func (rc *rolloutController) evictionCost(s *shard, mc *machine, a *attempt) (lostWork float64, evict bool) {
	if a.exited || a.checkpointing || a.job.AtMostOnce || s.disruption.account.IsReserved(a.key.task) {
		return 0, false
	}
	isArray, hasCheckpoints := a.job.Kind == Array, a.job.CheckpointIntervalS > 0
	checkpointWork := a.job.CheckpointDurationS * 1000 * a.job.Request.CPUs
	isLate, deadline := rc.rec.IsPastDeadline(rc.now.WallMS), rc.rec.StepDeadline()
	switch {
	case isArray && rc.endsInTime(a, isLate, deadline):
		return 0, false
	case isArray && !a.running:
		return 0, true
	case isLate:
		lostWork = float64(rc.now.WallMS-a.runningSince) * a.job.Request.CPUs
		if hasCheckpoints {
			lostWork = min(lostWork, checkpointWork)
		}
		return lostWork, true
	case isArray && hasCheckpoints && deadline > 0 && !rc.fitsOnlyTypeOf(a.job, mc):
		return checkpointWork, true
	}
	return 0, false
}

// endsInTime reports whether a task ends by itself within about the time that a stop takes, or
// before the step's deadline (wall-clock time; 0: none).
func (rc *rolloutController) endsInTime(a *attempt, isLate bool, deadline int64) bool {
	expectedEnd := a.expectedEnd(rc.now.WallMS)
	stopMS := 2*rc.maxHeartbeatIntervalMS() + secondsToMS(a.job.CheckpointDurationS)
	if expectedEnd-rc.now.WallMS <= stopMS {
		return true
	}
	return a.running && deadline > 0 && !isLate && expectedEnd <= deadline
}

// fitsOnlyTypeOf reports whether a job fits no other machine type than the type of this machine.
func (rc *rolloutController) fitsOnlyTypeOf(j *Job, mc *machine) bool {
	for _, t := range rc.cache.machineTypes {
		if t.Name != mc.rec.Type && rc.cache.fitsType(j, t) {
			return false
		}
	}
	return rc.cache.placementCatalog.IsRequired(mc.rec.Type)
}

// tasksEvictedTogether returns the tasks, with their attempts, that must be stopped together with
// one task: all live tasks of a gang, or only the task itself. It returns nil if a service would
// have fewer running replicas than its team's budget requires.
func (rc *rolloutController) tasksEvictedTogether(s *shard, a *attempt) map[string]uint64 {
	tasks := map[string]uint64{a.key.task: a.key.attempt}
	switch a.job.Kind {
	case Service:
		if !rc.canSpareReplica(s, a) {
			return nil
		}
	case Gang:
		for _, mc := range s.machines {
			addGangTasks(tasks, mc, a.taskRange)
		}
	}
	return tasks
}

// canSpareReplica reports whether enough replicas of a service run without one of its tasks.
func (rc *rolloutController) canSpareReplica(s *shard, a *attempt) bool {
	reserved := 0
	s.disruption.account.EachReserved(func(task string, _ disruption.StoppedTask) {
		if tr, _ := rc.shards.taskRangeOf(task); tr == a.taskRange {
			reserved++
		}
	})
	size := a.taskRange.size()
	minRunning := int(math.Ceil(rc.disruptionBudget(a.job.Team).MinReplicaShare * float64(size)))
	return min(a.taskRange.runningCount, size-reserved)-1 >= minRunning
}

// addGangTasks adds the live tasks of a gang on a machine to tasks, with their attempts.
func addGangTasks(tasks map[string]uint64, mc *machine, gang *taskRange) {
	for _, a := range mc.byKey {
		if !a.exited && a.taskRange == gang {
			tasks[a.key.task] = a.key.attempt
		}
	}
}

// mayEvict reports whether the stop of a task may be sent, which requires a stored reservation.
func (rc *rolloutController) mayEvict(s *shard, mc *machine, a *attempt) bool {
	account := s.disruption.account
	if !rc.params.Rollout || account == nil || !account.CanStop(a.key.task, a.key.attempt) {
		return false
	}
	if a.evicted {
		return true
	}
	if rc.rec == nil || rc.rec.State != rollout.Running {
		return false
	}
	// All tasks of a gang stop together, including those on machines that are not drained.
	return a.job.Kind == Gang || mc.cordoned && rc.isDrainedByRollout(mc)
}

// writeDisruptionAccount stores a shard's account if it has unstored changes.
func (rc *rolloutController) writeDisruptionAccount(s *shard) {
	d := &s.disruption
	if d.record.writing || !d.account.HasUnstoredChanges() || rc.now.MonotonicMS < d.record.nextWriteAt {
		return
	}
	rec := d.account.BuildRecord()
	rc.shards.writeShardRecord(s, disruptionPrefix+s.name, &d.record, rec, rc.progressWriteInterval()/2, func(ok bool) {
		if !ok {
			d.account.MarkStoreFailed()
			return
		}
		d.account.ConfirmStored(rec)
	})
}
