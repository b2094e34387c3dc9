package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/reconcile"
)

// The removal of a machine from the fleet. tickMachine makes all transitions for which the table names no other
// function. The states are not stored, and a later claim does not depend on them. A cordoned machine accepts no
// starts; a draining one, in addition, is to be released by the leader:
//
//	from       event                                            to
//	in use     lease expired                                    its attempts are lost; in use again on a heartbeat
//	in use     lease expired, no heartbeat within its retention draining
//	in use     no heartbeat since the claim (tickReconcile)     draining
//	in use     listed by an operator or a rollout               cordoned
//	cordoned   removed from the list                            in use
//	cordoned   no live attempts                                 draining
//	in use     termination notice: expired, or no live attempts draining
//	in use     idle for too long, or tasks of several jobs fail draining
//	draining   removed from its registry page                   deleted (deleteMachine)

// Limits on the release of machines.
const (
	suspectFailedJobs        = 2      // failed jobs after which an idle machine is released
	minProvisionedMS         = 60_000 // minimum age since provisioning of an idle machine that is released
	idleReleaseSpreadLeases  = 10     // leases after a claim during which idle machines are released one by one
	idleReleaseIntervalMS    = 250    // interval between these releases
	expiredLeaseGraceDivisor = 2      // a machine is kept for a lease divided by this after its lease expired
)

// tickMachine applies the time-based state transitions of a machine.
func (am *agentManager) tickMachine(s *shard, mc *machine) {
	am.expireLease(s, mc)
	am.drainOnTermination(s, mc)
	t := am.cache.machineTypes[mc.rec.Type]
	if mc.State() == reconcile.LeaseExpired && am.isRetentionOver(s, mc, t) {
		am.drain(s, mc, "lease expired")
	}
	am.updateCordon(s, mc)
	if mc.cordoned && mc.liveAttemptCount == 0 {
		am.drain(s, mc, "cordoned, no live attempts")
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

// expireLease removes the attempts of a machine that sent no heartbeat for longer than its lease. They have ended:
// a worker that is still running kills its tasks when its lease expires.
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

// drainOnTermination drains a machine whose termination notice has expired, or that has a notice and no live
// attempts. The release confirms that the machine is terminated, so its tasks do not have to wait until its lease
// expires.
func (am *agentManager) drainOnTermination(s *shard, mc *machine) {
	if mc.terminatesAt == 0 {
		return
	}
	now, interval := am.now.MonotonicMS, am.maxHeartbeatIntervalMS()
	missedHeartbeatNearEnd := now > mc.terminatesAt-interval && now > mc.LastHeartbeatAt+interval
	if missedHeartbeatNearEnd || now > mc.terminatesAt {
		am.drain(s, mc, "spot termination notice expired")
	}
	if mc.IsReconciled() && mc.liveAttemptCount == 0 {
		am.drain(s, mc, "empty, spot termination notice received")
	}
}

// updateCordon cordons a machine that an operator or a rollout lists, and uncordons it when it is no longer
// listed. The lists are read on every tick.
func (am *agentManager) updateCordon(s *shard, mc *machine) {
	listed := slices.Contains(am.cache.settings.Drain, mc.id) || am.rollouts.isDrainedByRollout(mc)
	if listed == mc.cordoned {
		return
	}
	mc.cordoned, s.dirty = listed, true
	am.log(Info, "machine cordon changed", "machine", mc.id, "cordoned", listed, "tasks", mc.liveAttemptCount)
}

// isRetentionOver reports whether a machine whose lease expired is to be released. A machine that fails alone is
// at fault itself and is kept only for a fraction of a lease. If most leases in the shard expire, this member is
// probably unreachable, and the machines reconnect one after the other later. They are then kept for as long as
// idle machines, since replacing them takes a boot time.
func (am *agentManager) isRetentionOver(s *shard, mc *machine, t *MachineType) bool {
	now := am.now.MonotonicMS
	leaseEnd := s.reconciler.LeaseExpiresAt(mc.Machine)
	gracePeriod := secondsToMS(am.params.LeaseS) / expiredLeaseGraceDivisor
	if now > max(leaseEnd, s.mostLeasesExpiredAt)+gracePeriod {
		return true
	}
	retention := gracePeriod
	if t != nil {
		retention = max(retention, secondsToMS(t.BootS*am.cache.settings.IdleBoots))
	}
	return now > leaseEnd+retention
}

// mostLeasesExpired reports whether, of the machines that sent a heartbeat under this claim or whose lease
// expired, more than half (and more than one) have an expired lease.
func (s *shard) mostLeasesExpired() bool {
	expired, reported := 0, 0
	for _, mc := range s.machines {
		switch mc.State() {
		case reconcile.LeaseExpired:
			expired++
			reported++
		case reconcile.Reconciled:
			reported++
		}
	}
	return expired*2 > reported && expired > 1
}

// isUnneeded reports whether an empty machine has been idle for too long, and neither demand nor a rollout needs
// it.
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

// maxIdleMS returns how long a machine may be idle. An on-demand machine is kept for the time that costs as much
// as the full idle time of a spot machine.
func (am *agentManager) maxIdleMS(mc *machine, t *MachineType) int64 {
	maxIdle := secondsToMS(t.BootS * am.cache.settings.IdleBoots)
	if mc.rec.Spot {
		return maxIdle
	}
	return int64(float64(maxIdle) * t.SpotPrice / max(t.Price, t.SpotPrice))
}

// mayReleaseIdle spreads the releases of idle machines for idleReleaseSpreadLeases leases after a claim. A new claim
// does not know since when machines are idle. With the idle time counted from the claim, all of them were
// released within the same second. A random extra delay per machine raised the cost (price 2.82 to 3.00 on days
// with five member terminations).
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

// servesDemand reports whether a machine could run tasks of the shard's capacity demand. Demand that only other
// offerings can serve does not prevent its release.
func (am *agentManager) servesDemand(s *shard, mc *machine) bool {
	return slices.ContainsFunc(s.demand, func(demand rangeDemand) bool {
		j := am.cache.jobs[demand.Job]
		if j == nil || demand.SpotOnly && !mc.rec.Spot {
			return false
		}
		return am.cache.isOfferingAllowed(&j.rec.Job, mc.rec.Type, mc.rec.Zone, mc.rec.Spot)
	})
}

// drain marks a machine as draining: no tasks start there, and every message to the leader requests its release
// until it is removed from its registry page. A later claim may use the machine again, since the mark is not
// stored. Tasks that it starts there are lost when the machine is released, as on any machine that is lost.
func (am *agentManager) drain(s *shard, mc *machine, reason string) {
	if mc.releasing || !am.store.hasAuthority() {
		return
	}
	mc.releasing = true
	am.log(Info, "machine draining", "machine", mc.id, "type", mc.rec.Type, "reason", reason)
}
