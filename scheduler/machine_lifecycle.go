package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/reconcile"
)

// isSilentTooLong tells whether a machine whose lease is over is to be returned. One that is
// silent alone is at fault itself. Where most of a shard are, it is rather this member that
// cannot be reached, and they come back one after the other when it can: they are kept for
// as long as idle ones, since others would take a boot time to replace them.
func (am *agentManager) isSilentTooLong(s *shard, mc *machine, t *MachineType) bool {
	now, leaseEnd, gracePeriod := am.now.MonotonicMS, s.reconciler.LeaseExpiresAt(
		mc.Machine,
	), secondsToMS(
		am.params.LeaseS,
	)/2
	if now > max(leaseEnd, s.mostSilentAt)+gracePeriod {
		return true
	}
	retention := gracePeriod
	if t != nil {
		retention = max(retention, secondsToMS(t.BootS*am.cache.settings.IdleBoots))
	}
	return now > leaseEnd+retention
}

// mostMachinesSilent tells whether more than half of a shard's machines are silent that spoke to
// this claim before.
func (s *shard) mostMachinesSilent() bool {
	silent, reported := 0, 0
	for _, mc := range s.machines {
		switch mc.State() {
		case reconcile.LeaseExpired:
			silent++
			reported++
		case reconcile.Reconciled:
			reported++
		}
	}
	return silent*2 > reported && silent > 1
}

// tickMachine takes note of silence and idleness.
func (am *agentManager) tickMachine(s *shard, mc *machine) {
	now := am.now.MonotonicMS
	t := am.cache.machineTypes[mc.rec.Type]
	if s.reconciler.ExpireLease(mc.Machine, now) {
		lostTasks := mc.liveAttemptCount
		for _, a := range slices.Backward(mc.byKey) {
			am.removeAttempt(mc, a)
		}
		am.Counters.LostTasks += uint64(lostTasks)
		am.log(Info, "machine silent past its lease", "machine", mc.id, "tasks", lostTasks)
		s.dirty = true
	}
	if mc.terminatesAt != 0 && now > mc.terminatesAt-am.maxHeartbeatIntervalMS() &&
		now > mc.LastHeartbeatAt+am.maxHeartbeatIntervalMS() ||
		mc.terminatesAt != 0 && now > mc.terminatesAt {
		// The notice ran out. Returning the machine makes its end certain,
		// and its tasks need not wait for the lease.
		am.drain(s, mc, "spot notice ended")
	}
	if mc.terminatesAt != 0 && mc.IsReconciled() && mc.liveAttemptCount == 0 {
		am.drain(s, mc, "empty, on spot notice")
	}
	if mc.State() == reconcile.LeaseExpired && am.isSilentTooLong(s, mc, t) {
		am.drain(s, mc, "silent")
	}
	// Asked again each time: taken off the list, the machine takes work again.
	if listed := slices.Contains(am.cache.settings.Drain, mc.id) || am.rollouts.isDrainedByRollout(mc); listed != mc.cordoned {
		mc.cordoned, s.dirty = listed, true
		am.log(Info, "machine set aside", "machine", mc.id, "on", listed, "tasks", mc.liveAttemptCount)
	}
	if mc.cordoned && mc.liveAttemptCount == 0 {
		am.drain(s, mc, "drained by an operator")
	}
	if t == nil || !mc.Up || mc.liveAttemptCount > 0 {
		return
	}
	if mc.IsReconciled() && len(mc.failedJobs) >= 2 {
		am.drain(s, mc, "tasks of several jobs failed")
	}
	maxIdle := secondsToMS(t.BootS * am.cache.settings.IdleBoots)
	if !mc.rec.Spot {
		// Ordinary machines are kept as long as a spot machine for the
		// same money would be.
		maxIdle = int64(float64(maxIdle) * t.SpotPrice / max(t.Price, t.SpotPrice))
	}
	if !mc.releasing && mc.IsReconciled() && !s.reconciler.Pacer.IsActive(now) && len(mc.plannedStarts) == 0 &&
		now-mc.idleSince > maxIdle &&
		am.now.WallMS-mc.rec.ProvisionedAtMS > 60_000 &&
		!am.servesDemand(s, mc) &&
		!am.rollouts.isRolloutReplacement(mc) &&
		am.mayReleaseIdle(s) {
		am.drain(s, mc, "idle")
	}
}

// mayReleaseIdle spreads the returns of idle machines in the first while after a claim:
// since when they are idle nobody knows, and counted from the claim for all, they were
// returned in the same second. Given a random time more each, they cost more (price
// 2.82 to 3.00 on days of five ends).
func (am *agentManager) mayReleaseIdle(s *shard) bool {
	now := am.now.MonotonicMS
	if now-s.reconciler.ClaimedAt() > 10*secondsToMS(am.params.LeaseS) {
		return true
	}
	if now < s.nextReleaseAt {
		return false
	}
	s.nextReleaseAt = now + 250
	return true
}

// servesDemand tells whether waiting work of the shard could run on a machine. Work
// that only another type takes must not keep it.
func (am *agentManager) servesDemand(s *shard, mc *machine) bool {
	for _, demand := range s.demand {
		if j := am.cache.jobs[demand.Job]; j != nil && !(demand.SpotOnly && !mc.rec.Spot) &&
			am.cache.isOfferingAllowed(&j.rec.Job, mc.rec.Type, mc.rec.Zone, mc.rec.Spot) {
			return true
		}
	}
	return false
}

// drain gives a machine up: nothing starts there any more, and every message to
// the lead asks for its return until the rosters have it no longer. A claim that
// follows this one may not know and use the machine again; what it starts there
// is over when the machine is returned, like on any machine that is lost.
func (am *agentManager) drain(s *shard, mc *machine, reason string) {
	if mc.releasing || !am.store.hasAuthority() {
		return
	}
	mc.releasing = true
	am.log(Info, "machine draining", "machine", mc.id, "type", mc.rec.Type, "why", reason)
}
