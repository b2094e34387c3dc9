package scheduler

import (
	"cmp"
	"slices"

	"github.com/grebedock/grebedock/availability"
)

// reservation is capacity of a machine that is kept for tasks of a range, because other tasks are
// being stopped there for them.
//
//	state    event                                   next state
//	none     tasks are stopped for a guarantee       reserved; stops to be sent
//	reserved the machine has the capacity            a task starts; one task fewer
//	reserved it expires, the machine or the range    none
//	         changes owners, or the job ends
type reservation struct {
	taskRange *taskRange
	count     int   // tasks that have not started yet
	expiresAt int64 // monotonic milliseconds
	stopsSent bool  // the stops were sent as direct commands, without waiting for a heartbeat
}

// reservedResources is the free capacity that the reservation of a machine holds: the requests of
// the reserved tasks, less the usage of the tasks that are being stopped for them. It removes a
// reservation that is no longer valid.
func (qm *quotaManager) reservedResources(mc *machine) availability.Resources {
	reservation := mc.reservation
	if reservation == nil {
		return availability.Resources{}
	}
	if !qm.isReservationValid(mc) {
		mc.reservation = nil
		return availability.Resources{}
	}
	tr := reservation.taskRange
	req := withoutDisk(tr.job.rec.Job.Request)
	var sum availability.Resources
	for range min(reservation.count, tr.pending()) {
		sum = sum.Add(req)
	}
	for _, a := range mc.byKey {
		if a.reclaimed && !a.exited {
			sum = sum.Sub(withoutDisk(a.job.Request))
		}
	}
	return nonNegative(sum)
}

// isReservationValid reports whether a machine's reservation still applies.
func (qm *quotaManager) isReservationValid(mc *machine) bool {
	tr := mc.reservation.taskRange
	if qm.now.MonotonicMS > mc.reservation.expiresAt || tr.claim != mc.claim {
		return false
	}
	return qm.cache.isCurrent(tr) && tr.pending() != 0
}

// sendReclaimStops sends the stops for reservations to the workers as direct commands. If the stops
// waited for the next heartbeat, half of the time that a guarantee promises would have passed. A
// stop whose direct command fails is sent with the response to the next heartbeat.
func (qm *quotaManager) sendReclaimStops(s *shard) {
	for _, mc := range s.machines {
		if mc.reservation == nil || mc.reservation.stopsSent || !qm.agents.acceptsDirectCommand(mc) {
			continue
		}
		mc.reservation.stopsSent = true
		qm.queueReclaimStops(s, mc)
		if len(mc.commands) > 0 {
			slices.SortFunc(mc.commands, func(a, b Command) int { return cmp.Compare(a.Task, b.Task) })
			qm.agents.sendDirectCommand(s, mc, mc.Incarnation, nil)
		}
	}
}

// queueReclaimStops replaces the pending commands of a machine by the stops of its reclaimed tasks.
func (qm *quotaManager) queueReclaimStops(s *shard, mc *machine) {
	mc.commands = mc.commands[:0]
	for _, a := range mc.byKey {
		if a.reclaimed && !a.exited && !a.checkpointing {
			qm.agents.queueCommand(s, mc, qm.stopAfterCheckpoint(a))
		}
	}
}

// startReserved starts the tasks of a machine's reservation, as far as their capacity is free.
func (qm *quotaManager) startReserved(s *shard, mc *machine, hb *Heartbeat) {
	qm.reservedResources(mc) // removes a reservation that is no longer valid
	if mc.reservation == nil || !qm.agents.canStartOn(mc) {
		return
	}
	reservation := mc.reservation
	tr := reservation.taskRange
	j := &tr.job.rec.Job
	for reservation.count > 0 && !tr.moving && qm.now.MonotonicMS >= tr.retryAt {
		i := tr.nextTask()
		if i < 0 || !qm.mayStartReserved(s, tr, mc) {
			return
		}
		qm.agents.startTask(s, mc, hb, taskStart{
			taskRange: tr,
			taskIndex: i,
			runtimeMS: qm.estimates.expectedRuntime(j),
			fetchMS:   qm.agents.fetchTime(j, mc, qm.cache.machineTypes[mc.rec.Type]),
		})
	}
}

// mayStartReserved reports whether a task of a range may start on a machine now. If so, it takes a
// start from the pacer, and must therefore be the last check.
func (qm *quotaManager) mayStartReserved(s *shard, tr *taskRange, mc *machine) bool {
	if !qm.agents.freeResources(mc).Contains(tr.job.rec.Job.Request) || !qm.agents.mayStart(s, tr, mc) {
		return false
	}
	return qm.agents.hasAttemptIDs(s) && s.reconciler.Pacer.TryStart(qm.now.MonotonicMS, true)
}
