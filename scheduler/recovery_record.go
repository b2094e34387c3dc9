package scheduler

import (
	"encoding/json"
	"math"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/reconcile"
)

// What reports do not say and a claim after ours would miss is kept in one value a
// shard beside the pages of progress: how long classes of jobs take against their
// owners' estimates, and what machines hold that went silent (reconcile.Book).

// recoveryRecord is that value.
type recoveryRecord struct {
	Runtimes    map[string]runtimeRecord                `json:"lengths,omitempty"`
	Unreachable map[string]reconcile.UnreachableMachine `json:"silent,omitempty"`
}

// runtimeRecord is a class's correction in a recoveryRecord.
type runtimeRecord struct {
	Ratio   float64 `json:"r"`
	Samples int     `json:"n"`
}

// recoveryState is when a shard's is written and what was.
type recoveryState struct {
	writeState           recordWriteState
	nextRuntimeWriteAtMS int64            // lengths alone are not worth a write before
	writtenRuntimes      map[string]int64 // by class: the ratio that was written, in hundredths
	quietUntilMS         int64            // no notes before: we stood still ourselves
	lastTickMS           int64
}

// recoveryKey is a shard's value. Pages are digits or hold a slash.
func recoveryKey(shard string) string { return progressPrefix + shard + "/memory" }

// maxRecoveryClasses bounds the classes that are remembered, and unreachableValueDivisor is which
// part of a value silent machines' notes may take.
const (
	maxRecoveryClasses      = 64
	unreachableValueDivisor = 2
)

// restoreRecoveryRecord takes what an earlier claim wrote down.
func (am *agentManager) restoreRecoveryRecord(s *shard, kv KeyValue) {
	s.memory.writeState.rev = kv.Rev
	var rec recoveryRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		am.log(Warn, "record unreadable", "key", kv.Key, "error", err)
		return
	}
	for class, runtime := range rec.Runtimes {
		if known := am.estimates.runtimeCorrections[class]; (known == nil || known.samples < runtime.Samples) && runtime.Ratio > 0 &&
			runtime.Ratio <= 5 {
			am.estimates.runtimeCorrections[class] = &runtimeCorrection{ratio: runtime.Ratio, samples: runtime.Samples}
		}
	}
	s.reconciler.Ledger.Restore(rec.Unreachable)
	for id := range rec.Unreachable {
		if mc := am.registry.machines[id]; mc == nil || mc.rec.Shard != s.name {
			s.reconciler.Ledger.Remove(id)
		}
	}
}

// writeRecoveryRecord writes a shard's memory when it has news; with recovery off, when
// notes that were made while it was on are out of date. What it says of silent
// machines holds until another record is certain to have taken its place.
func (am *agentManager) writeRecoveryRecord(s *shard) {
	recovery, now := &s.memory, am.now.MonotonicMS
	if recovery.writeState.writing || now < recovery.writeState.nextWriteAt ||
		!s.reconciler.Ledger.HasUnstoredChanges() &&
			(!am.params.Recovery || now < recovery.nextRuntimeWriteAtMS || !am.estimates.hasRuntimeUpdates(s)) {
		return
	}
	rec := recoveryRecord{Runtimes: map[string]runtimeRecord{}, Unreachable: s.reconciler.Ledger.BuildRecord()}
	written := map[string]int64{}
	for class, correction := range sortedByKey(am.estimates.runtimeCorrections) {
		if len(rec.Runtimes) < maxRecoveryClasses && len(class) < 64 {
			rec.Runtimes[class] = runtimeRecord{math.Round(correction.ratio*1000) / 1000, correction.samples}
		}
		written[class] = int64(math.Round(correction.ratio * 100))
	}
	recovery.nextRuntimeWriteAtMS = now + secondsToMS(am.params.LeaseS)
	am.shards.writeShardRecord(s, recoveryKey(s.name), &recovery.writeState, rec, am.progressWriteInterval()/2, func(ok bool) {
		if !ok {
			s.reconciler.Ledger.MarkStoreFailed()
			return
		}
		recovery.writtenRuntimes = written
		if len(s.reconciler.Ledger.ConfirmStored(rec.Unreachable)) > 0 {
			s.dirty = true
		}
	})
}

// recordUnreachableMachines writes down what machines hold that missed their reports, so that a
// claim after ours waits for them with no more than that. It is not done where we
// may be the silent ones: after standing still, without the store, or when it is
// more than a few.
func (am *agentManager) recordUnreachableMachines(s *shard) {
	recovery, now := &s.memory, am.now.MonotonicMS
	if now-recovery.lastTickMS > am.maxHeartbeatIntervalMS()/4 {
		recovery.quietUntilMS = now + am.maxHeartbeatIntervalMS()
	}
	recovery.lastTickMS = now
	if !am.params.Recovery || now < recovery.quietUntilMS || am.store.storeAccess.Link(now) != access.LinkUp {
		return
	}
	var unreachable []*machine
	for _, mc := range s.machines {
		if mc.Up && mc.everReconciled && now-mc.LastHeartbeatAt > am.maxHeartbeatIntervalMS() {
			if entry, recorded := s.reconciler.Ledger.Entry(mc.id); !recorded ||
				mc.State() == reconcile.LeaseExpired && len(entry.Ranges) > 0 {
				unreachable = append(unreachable, mc)
			}
		}
	}
	if len(unreachable) > len(s.machines)/reconcile.GiveUpDivisor {
		return
	}
	for _, mc := range unreachable {
		if mc.orphanedTasks > 0 && mc.IsReconciled() {
			continue
		}
		entry := reconcile.UnreachableMachine{UsageByTeam: map[string]reconcile.ResourceUsage{}}
		for _, attempt := range mc.byKey {
			if !attempt.exited {
				entry.Ranges = append(entry.Ranges, attempt.taskRange.name())
				entry.UsageByTeam[attempt.job.Team] = entry.UsageByTeam[attempt.job.Team].Add(
					reconcile.ResourceUsage{CPUs: attempt.job.Request.CPUs, GPUs: attempt.job.Request.GPUs},
				)
			}
		}
		s.reconciler.Ledger.Put(mc.id, entry, am.params.MaxValueBytes/unreachableValueDivisor)
	}
}

// tickReconcile lets the squaring of a shard go on: machines that never speak are
// given up, those that are slow to are asked, and the line's pace follows what runs.
func (am *agentManager) tickReconcile(s *shard) {
	now := am.now.MonotonicMS
	for _, unreported := range s.reconciler.MachinesToGiveUp(now) {
		if mc := am.registry.machines[unreported.ID]; mc != nil {
			am.drain(s, mc, "silent since the claim")
		}
	}
	am.probeUnreportedMachines(s)
	am.recordUnreachableMachines(s)
	am.writeRecoveryRecord(s)
	unreportedMachines := len(s.reconciler.Unreported())
	if unreportedMachines == 0 && !s.reconciled {
		s.reconciled = true
		am.logReconciled(s)
	}
	pacer := &s.reconciler.Pacer
	if !pacer.IsActive(now) {
		return
	}
	if now-s.pacedAt >= 500 {
		s.pacedAt = now
		completionRate, reconciledMachines := 0.0, 0
		for _, mc := range s.machines {
			if mc.Up && mc.IsReconciled() {
				reconciledMachines++
			}
			for _, attempt := range mc.byKey {
				if !attempt.exited {
					completionRate += 1 / float64(max(attempt.expectedRuntimeMS, 1))
				}
			}
		}
		pacer.SetRate(completionRate * float64(reconciledMachines+unreportedMachines) / float64(max(reconciledMachines, 1)))
	}
	if unreportedMachines == 0 && now-s.reconciler.ClaimedAt() > 2*am.maxHeartbeatIntervalMS() && pacer.IsIdle(now) {
		pacer.Deactivate()
	}
}

// logReconciled tells how a claim's squaring went.
func (am *agentManager) logReconciled(s *shard) {
	var adopted, stopped, counted uint64
	for place := range s.reconciler.VerdictCounts {
		for _, n := range s.reconciler.VerdictCounts[place][reconcile.Active : reconcile.Active+1] {
			if reconcile.TaskState(place) == reconcile.Unassigned {
				adopted += n
			} else {
				stopped += n
			}
		}
	}
	for _, place := range []reconcile.TaskState{reconcile.Unassigned, reconcile.Assigned, reconcile.Transferring} {
		counted += s.reconciler.VerdictCounts[place][reconcile.Succeeded]
	}
	am.log(
		Info,
		"shard squared",
		"shard",
		s.name,
		"ms",
		am.now.MonotonicMS-s.reconciler.ClaimedAt(),
		"machines",
		len(s.machines),
		"adopted",
		adopted,
		"results",
		counted,
		"stopped",
		stopped,
	)
}
