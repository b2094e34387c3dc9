package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/reconcile"
)

// The way of a machine out of the fleet. Each step is taken by tickMachine, and no later claim needs to know
// of it:
//
//	from       event                                            to
//	in use     lease expired                                    its attempts are lost; in use again with a heartbeat
//	in use     lease expired and not back within its retention  draining
//	in use     on the list of an operator or a rollout          cordoned
//	cordoned   off the list                                     in use
//	cordoned   no attempt is live                               draining
//	in use     spot termination notice ended, or empty on it    draining
//	in use     idle for too long, or tasks of several jobs fail draining
//	draining   no registry page names it any more               gone (deleteMachine)

// Bounds of the release of machines.
const (
	suspectFailedJobs       = 2      // jobs that failed on an idle machine before it is released
	minProvisionedMS        = 60_000 // no idle machine is released sooner after it was provisioned
	idleReleaseSpreadLeases = 10     // for so many leases after a claim idle machines are released one by one
	idleReleaseIntervalMS   = 250    // this far apart
	silentGraceDivisor      = 2      // which part of a lease a silent machine is kept for after its lease
)

// tickMachine takes note of what time did to a machine.
func (am *agentManager) tickMachine(s *shard, mc *machine) {
	am.expireLease(s, mc)
	am.drainOnTermination(s, mc)
	t := am.cache.machineTypes[mc.rec.Type]
	if mc.State() == reconcile.LeaseExpired && am.isSilentTooLong(s, mc, t) {
		am.drain(s, mc, "silent")
	}
	am.updateCordon(s, mc)
	if mc.cordoned && mc.liveAttemptCount == 0 {
		am.drain(s, mc, "drained by an operator")
	}
	if t == nil || !mc.Up || mc.liveAttemptCount > 0 {
		return
	}
	if mc.IsReconciled() && len(mc.failedJobs) >= suspectFailedJobs {
		am.drain(s, mc, "tasks of several jobs failed")
	}
	if am.isUnneeded(s, mc, t) && am.mayReleaseIdle(s) {
		am.drain(s, mc, "idle")
	}
}

// expireLease gives up the attempts of a machine that has been silent past its lease: they are over.
func (am *agentManager) expireLease(s *shard, mc *machine) {
	if !s.reconciler.ExpireLease(mc.Machine, am.now.MonotonicMS) {
		return
	}
	lostTasks := mc.liveAttemptCount
	am.removeAllAttempts(mc)
	am.Counters.LostTasks += uint64(lostTasks)
	am.log(Info, "machine lease expired", "machine", mc.id, "tasks", lostTasks)
	s.dirty = true
}

// drainOnTermination drains a machine whose termination notice ended, or that is empty on one. Its release
// makes its end certain, and its tasks need not wait for the lease.
func (am *agentManager) drainOnTermination(s *shard, mc *machine) {
	if mc.terminatesAt == 0 {
		return
	}
	now, interval := am.now.MonotonicMS, am.maxHeartbeatIntervalMS()
	silentNearEnd := now > mc.terminatesAt-interval && now > mc.LastHeartbeatAt+interval
	if silentNearEnd || now > mc.terminatesAt {
		am.drain(s, mc, "spot notice ended")
	}
	if mc.IsReconciled() && mc.liveAttemptCount == 0 {
		am.drain(s, mc, "empty, on spot notice")
	}
}

// updateCordon cordons a machine that an operator or a rollout lists. The lists are read each time: a machine
// that is taken off takes work again.
func (am *agentManager) updateCordon(s *shard, mc *machine) {
	listed := slices.Contains(am.cache.settings.Drain, mc.id) || am.rollouts.isDrainedByRollout(mc)
	if listed == mc.cordoned {
		return
	}
	mc.cordoned, s.dirty = listed, true
	am.log(Info, "machine cordon changed", "machine", mc.id, "cordoned", listed, "tasks", mc.liveAttemptCount)
}

// isSilentTooLong reports whether a machine whose lease is over is to be released. One that is silent alone is
// at fault itself. Where most of a shard are, it is rather this member that cannot be reached, and they come
// back one after the other when it can: they are kept for as long as idle ones, since others would take a
// boot time to replace them.
func (am *agentManager) isSilentTooLong(s *shard, mc *machine, t *MachineType) bool {
	now := am.now.MonotonicMS
	leaseEnd := s.reconciler.LeaseExpiresAt(mc.Machine)
	gracePeriod := secondsToMS(am.params.LeaseS) / silentGraceDivisor
	if now > max(leaseEnd, s.mostSilentAt)+gracePeriod {
		return true
	}
	retention := gracePeriod
	if t != nil {
		retention = max(retention, secondsToMS(t.BootS*am.cache.settings.IdleBoots))
	}
	return now > leaseEnd+retention
}

// mostMachinesSilent reports whether more than half of a shard's machines are silent that reported to this
// claim before.
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

// isUnneeded reports whether an empty machine has been idle for too long, and nothing waits for it.
func (am *agentManager) isUnneeded(s *shard, mc *machine, t *MachineType) bool {
	now := am.now.MonotonicMS
	if mc.releasing || !mc.IsReconciled() || s.reconciler.Pacer.IsActive(now) {
		return false
	}
	if len(mc.plannedStarts) > 0 || now-mc.idleSince <= am.maxIdleMS(mc, t) {
		return false
	}
	if am.now.WallMS-mc.rec.ProvisionedAtMS <= minProvisionedMS {
		return false
	}
	return !am.servesDemand(s, mc) && !am.rollouts.isRolloutReplacement(mc)
}

// maxIdleMS is how long a machine may be idle. On-demand machines are kept as long as a spot machine for the
// same money would be.
func (am *agentManager) maxIdleMS(mc *machine, t *MachineType) int64 {
	maxIdle := secondsToMS(t.BootS * am.cache.settings.IdleBoots)
	if mc.rec.Spot {
		return maxIdle
	}
	return int64(float64(maxIdle) * t.SpotPrice / max(t.Price, t.SpotPrice))
}

// mayReleaseIdle spreads the releases of idle machines in the first while after a claim: since when they are
// idle nobody knows, and counted from the claim for all, they were released in the same second. Given a random
// time more each, they cost more (price 2.82 to 3.00 on days of five ends).
func (am *agentManager) mayReleaseIdle(s *shard) bool {
	now := am.now.MonotonicMS
	if now-s.reconciler.ClaimedAt() > idleReleaseSpreadLeases*secondsToMS(am.params.LeaseS) {
		return true
	}
	if now < s.nextReleaseAt {
		return false
	}
	s.nextReleaseAt = now + idleReleaseIntervalMS
	return true
}

// servesDemand reports whether waiting work of the shard could run on a machine. Work that only another type
// takes must not keep it.
func (am *agentManager) servesDemand(s *shard, mc *machine) bool {
	return slices.ContainsFunc(s.demand, func(demand CapacityDemand) bool {
		j := am.cache.jobs[demand.Job]
		if j == nil || demand.SpotOnly && !mc.rec.Spot {
			return false
		}
		return am.cache.isOfferingAllowed(&j.rec.Job, mc.rec.Type, mc.rec.Zone, mc.rec.Spot)
	})
}

// drain gives a machine up: nothing starts there any more, and every message to the leader requests its
// release until no registry page names it. A claim that follows this one may not know and use the machine
// again; what it starts there is over when the machine is released, like on any machine that is lost.
func (am *agentManager) drain(s *shard, mc *machine, reason string) {
	if mc.releasing || !am.store.hasAuthority() {
		return
	}
	mc.releasing = true
	am.log(Info, "machine draining", "machine", mc.id, "type", mc.rec.Type, "reason", reason)
}
