package scheduler

import (
	"encoding/json"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/reconcile"
)

// What heartbeats do not show and a claim after ours would miss is kept in one value a shard beside the pages
// of progress: how long classes of jobs take against their owners' estimates, and what runs on machines that
// went silent (reconcile.UnreachableLedger).

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

// recoveryState is when a shard's recovery record is written and what of it is stored. Times are monotonic.
type recoveryState struct {
	writeState           recordWriteState
	nextRuntimeWriteAtMS int64            // run times alone are not worth a write before
	writtenRuntimes      map[string]int64 // by class: the ratio that was written, in hundredths
	quietUntilMS         int64            // no machine is recorded as unreachable before: this member stood still
	lastTickMS           int64
}

// recoveryKey is a shard's value. Pages are digits or hold a slash.
func recoveryKey(shard string) string { return progressPrefix + shard + "/memory" }

// maxRecoveryClasses bounds the classes that are recorded, maxRecoveryClassBytes their names, and
// unreachableValueDivisor is which part of a value the unreachable machines may take.
const (
	maxRecoveryClasses      = 64
	maxRecoveryClassBytes   = 64
	unreachableValueDivisor = 2
)

// paceIntervalMS is how often the pacer's rate follows what runs.
const paceIntervalMS = 500

// restoreRecoveryRecord takes what an earlier claim wrote. A record that cannot be read is logged and ignored.
func (am *agentManager) restoreRecoveryRecord(s *shard, kv KeyValue) {
	s.recovery.writeState.rev = kv.Rev
	var rec recoveryRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		am.log(Warn, "record unreadable", "key", kv.Key, "error", err)
		return
	}
	for class, recorded := range rec.Runtimes {
		am.estimates.restore(class, recorded)
	}
	s.reconciler.Ledger.Restore(rec.Unreachable)
	for id := range rec.Unreachable {
		if mc := am.registry.machines[id]; mc == nil || mc.rec.Shard != s.name {
			s.reconciler.Ledger.Remove(id)
		}
	}
}

// writeRecoveryRecord writes a shard's recovery record when it has changes; with recovery off, when entries
// that were made while it was on are out of date. Its entries of unreachable machines stand until another
// record is certain to have taken its place.
func (am *agentManager) writeRecoveryRecord(s *shard) {
	recovery, now := &s.recovery, am.now.MonotonicMS
	if recovery.writeState.writing || now < recovery.writeState.nextWriteAt {
		return
	}
	if !s.reconciler.Ledger.HasUnstoredChanges() && !am.areRuntimesDue(recovery) {
		return
	}
	rec := recoveryRecord{Unreachable: s.reconciler.Ledger.BuildRecord()}
	var written map[string]int64
	rec.Runtimes, written = am.estimates.buildRecord()
	recovery.nextRuntimeWriteAtMS = now + secondsToMS(am.params.LeaseS)
	onResult := func(ok bool) {
		if !ok {
			s.reconciler.Ledger.MarkStoreFailed()
			return
		}
		recovery.writtenRuntimes = written
		if len(s.reconciler.Ledger.ConfirmStored(rec.Unreachable)) > 0 {
			s.dirty = true
		}
	}
	am.shards.writeShardRecord(
		s, recoveryKey(s.name), &recovery.writeState, rec, am.progressWriteInterval()/2, onResult)
}

// areRuntimesDue reports whether the run times alone are worth a write now.
func (am *agentManager) areRuntimesDue(recovery *recoveryState) bool {
	if !am.params.Recovery || am.now.MonotonicMS < recovery.nextRuntimeWriteAtMS {
		return false
	}
	return am.estimates.hasUpdates(recovery.writtenRuntimes)
}

// recordUnreachableMachines enters in the ledger what runs on machines that missed their heartbeats, so that a
// claim after ours waits for them with no more than that. It does not where this member may be the silent one:
// after it stood still, without the store, or when it is more than a few machines.
func (am *agentManager) recordUnreachableMachines(s *shard) {
	recovery, now := &s.recovery, am.now.MonotonicMS
	if now-recovery.lastTickMS > am.maxHeartbeatIntervalMS()/4 {
		recovery.quietUntilMS = now + am.maxHeartbeatIntervalMS()
	}
	recovery.lastTickMS = now
	if !am.params.Recovery || now < recovery.quietUntilMS || am.store.storeAccess.Link(now) != access.LinkUp {
		return
	}
	unreachable := am.unreachableMachines(s)
	if len(unreachable) > len(s.machines)/reconcile.MaxMissingDivisor {
		return
	}
	for _, mc := range unreachable {
		if mc.orphanedTasks == 0 || !mc.IsReconciled() {
			s.reconciler.Ledger.Put(mc.id, mc.unreachableEntry(), am.params.MaxValueBytes/unreachableValueDivisor)
		}
	}
}

// unreachableMachines lists the machines that missed their heartbeats and whose ledger entry is missing, or
// out of date since their lease expired.
func (am *agentManager) unreachableMachines(s *shard) []*machine {
	var unreachable []*machine
	for _, mc := range s.machines {
		if !mc.Up || !mc.everReconciled || am.now.MonotonicMS-mc.LastHeartbeatAt <= am.maxHeartbeatIntervalMS() {
			continue
		}
		entry, recorded := s.reconciler.Ledger.Entry(mc.id)
		outdated := mc.State() == reconcile.LeaseExpired && len(entry.Ranges) > 0
		if !recorded || outdated {
			unreachable = append(unreachable, mc)
		}
	}
	return unreachable
}

// unreachableEntry is what a machine's live attempts are, for the ledger.
func (load *machineLoad) unreachableEntry() reconcile.UnreachableMachine {
	entry := reconcile.UnreachableMachine{UsageByTeam: map[string]reconcile.ResourceUsage{}}
	for _, a := range load.byKey {
		if a.exited {
			continue
		}
		entry.Ranges = append(entry.Ranges, a.taskRange.name())
		usage := reconcile.ResourceUsage{CPUs: a.job.Request.CPUs, GPUs: a.job.Request.GPUs}
		entry.UsageByTeam[a.job.Team] = entry.UsageByTeam[a.job.Team].Add(usage)
	}
	return entry
}

// tickReconcile lets the reconciliation of a shard go on: machines that never report are given up, those that
// are slow to are queried, and the pacer's rate follows what runs.
func (am *agentManager) tickReconcile(s *shard) {
	now := am.now.MonotonicMS
	for _, unreported := range s.reconciler.MachinesToDrain(now) {
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
	if now-s.pacedAt >= paceIntervalMS {
		s.pacedAt = now
		pacer.SetRate(s.completionRate(unreportedMachines))
	}
	if unreportedMachines == 0 && now-s.reconciler.ClaimedAt() > 2*am.maxHeartbeatIntervalMS() && pacer.IsIdle(now) {
		pacer.Deactivate()
	}
}

// completionRate is how many tasks of the shard are expected to end in a millisecond: those that are known,
// and as many on a machine that has not reported as on one that has.
func (s *shard) completionRate(unreportedMachines int) float64 {
	rate, reconciledMachines := 0.0, 0
	for _, mc := range s.machines {
		if mc.Up && mc.IsReconciled() {
			reconciledMachines++
		}
		for _, a := range mc.byKey {
			if !a.exited {
				rate += 1 / float64(max(a.expectedRuntimeMS, 1))
			}
		}
	}
	return rate * float64(reconciledMachines+unreportedMachines) / float64(max(reconciledMachines, 1))
}

// logReconciled logs how a claim's reconciliation went: how many running tasks were adopted and how many
// stopped, and how many results were counted.
func (am *agentManager) logReconciled(s *shard) {
	var adopted, stopped, counted uint64
	for state, verdicts := range s.reconciler.VerdictCounts {
		if reconcile.TaskState(state) == reconcile.Unassigned {
			adopted += verdicts[reconcile.Active]
		} else {
			stopped += verdicts[reconcile.Active]
		}
	}
	for _, state := range []reconcile.TaskState{reconcile.Unassigned, reconcile.Assigned, reconcile.Transferring} {
		counted += s.reconciler.VerdictCounts[state][reconcile.Succeeded]
	}
	am.log(Info, "shard reconciled", "shard", s.name, "ms", am.now.MonotonicMS-s.reconciler.ClaimedAt(),
		"machines", len(s.machines), "adopted", adopted, "results", counted, "stopped", stopped)
}
