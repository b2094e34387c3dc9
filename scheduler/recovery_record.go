package scheduler

import (
	"encoding/json"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/reconcile"
)

// recoveryRecord holds the state of a shard that a later claim needs and cannot learn from heartbeats. It is stored
// next to the shard's progress records. It contains the runtimes of job classes relative to the users' estimates,
// and the tasks on unreachable machines (reconcile.UnreachableLedger).
type recoveryRecord struct {
	Runtimes    map[string]runtimeRecord                `json:"lengths,omitempty"`
	Unreachable map[string]reconcile.UnreachableMachine `json:"silent,omitempty"`
}

// runtimeRecord is the runtime correction of a job class in a recoveryRecord.
type runtimeRecord struct {
	Ratio   float64 `json:"r"`
	Samples int     `json:"n"`
}

// recoveryState is the write schedule of a shard's recovery record and its stored runtimes. Times are monotonic.
type recoveryState struct {
	writeState             recordWriteState
	nextRuntimeWriteAtMS   int64            // no write for runtimes alone before this time
	writtenRuntimes        map[string]int64 // by class: the written ratio, in hundredths
	recordingPausedUntilMS int64            // no ledger entries before this time, after a pause of this member
	lastTickMS             int64
}

// recoveryKey returns the key of a shard's recovery record. It differs from all progress keys of the shard, where
// the part after the shard's name is a number or contains a slash.
func recoveryKey(shard string) string { return progressPrefix + shard + "/memory" }

// maxRecoveryClasses limits the recorded classes, and maxRecoveryClassBytes the length of their names.
// unreachableValueDivisor is the divisor of MaxValueBytes that limits the entries of unreachable machines.
const (
	maxRecoveryClasses      = 64
	maxRecoveryClassBytes   = 64
	unreachableValueDivisor = 2
)

// paceIntervalMS is the interval between updates of the pacer's rate.
const paceIntervalMS = 500

// restoreRecoveryRecord restores the record of an earlier claim. A record that cannot be decoded is logged and
// ignored.
func (am *agentManager) restoreRecoveryRecord(s *shard, kv KeyValue) {
	s.recovery.writeState.rev = kv.Rev
	var rec recoveryRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		am.log(Warn, "cannot decode stored record", "key", kv.Key, "error", err)
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

// writeRecoveryRecord writes a shard's recovery record if it has changed. If recovery is disabled, it writes the
// record only when entries that were made while recovery was enabled are outdated. The entries of unreachable
// machines stay binding until a write that replaces them is known to have succeeded.
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

// areRuntimesDue reports whether changes of runtimes alone justify a write now.
func (am *agentManager) areRuntimesDue(recovery *recoveryState) bool {
	if !am.params.Recovery || am.now.MonotonicMS < recovery.nextRuntimeWriteAtMS {
		return false
	}
	return am.estimates.hasUpdates(recovery.writtenRuntimes)
}

// recordUnreachableMachines adds ledger entries for machines that missed their heartbeats. A later claim then holds
// back only the tasks and usage in these entries while it waits for the machines. No entry is added if the fault
// may be this member's own: after it was paused, without a link to the state service, or if too many machines of
// the shard are unreachable.
func (am *agentManager) recordUnreachableMachines(s *shard) {
	recovery, now := &s.recovery, am.now.MonotonicMS
	if now-recovery.lastTickMS > am.maxHeartbeatIntervalMS()/4 {
		recovery.recordingPausedUntilMS = now + am.maxHeartbeatIntervalMS()
	}
	recovery.lastTickMS = now
	if !am.params.Recovery || now < recovery.recordingPausedUntilMS || am.store.storeAccess.Link(now) != access.LinkUp {
		return
	}
	unreachable := am.unreachableMachines(s)
	if len(unreachable) > len(s.machines)/reconcile.MaxMissingDivisor {
		return
	}
	for _, mc := range unreachable {
		if len(mc.orphans) == 0 || !mc.IsReconciled() {
			s.reconciler.Ledger.Put(mc.id, mc.unreachableEntry(), am.params.MaxValueBytes/unreachableValueDivisor)
		}
	}
}

// unreachableMachines returns the machines that missed their heartbeats and have no ledger entry, or one that is
// outdated because their lease has expired since.
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

// unreachableEntry returns a ledger entry with the task ranges and usage of a machine's live attempts.
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

// tickReconcile advances the reconciliation of a shard. It drains machines without a heartbeat since the claim,
// queries machines that are slow to report, and adapts the pacer's rate to the running tasks.
func (am *agentManager) tickReconcile(s *shard) {
	now := am.now.MonotonicMS
	for _, unreported := range s.reconciler.MachinesToDrain(now) {
		if mc := am.registry.machines[unreported.ID]; mc != nil {
			am.drain(s, mc, "no heartbeat since the claim")
		}
	}
	am.queryUnreportedMachines(s)
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

// completionRate returns how many tasks of the shard are expected to end per millisecond. It assumes as many tasks
// on an unreported machine as on a reconciled one.
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

// logReconciled logs the result of a claim's reconciliation: the adopted tasks, the stopped tasks, and the
// counted results.
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
