package scheduler

import (
	"cmp"
	"slices"

	"github.com/grebedock/grebedock/availability"
)

// reservation is capacity of a machine that is kept for tasks of a range, since others are
// being stopped there for it.
//
//	none     tasks are stopped for a guarantee       reserved; stops to be sent
//	reserved its machine has the capacity            a task starts; one task fewer
//	reserved it expires, the machine or the range    none
//	         changes hands, or the job is over
type reservation struct {
	taskRange *taskRange
	count     int   // tasks
	expiresAt int64 // monotonic milliseconds
	stopsSent bool  // the stops were sent as direct commands, without waiting for a heartbeat
}

// reservedResources is the free capacity of a machine that its reservation holds: what is reserved,
// less what the tasks use that are being stopped for it. A reservation that is not valid any
// more is removed.
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
	return availability.Resources{CPUs: max(0, sum.CPUs), GPUs: max(0, sum.GPUs), MemoryGB: max(0, sum.MemoryGB)}
}

// isReservationValid reports whether a machine's reservation still applies.
func (qm *quotaManager) isReservationValid(mc *machine) bool {
	tr := mc.reservation.taskRange
	if qm.now.MonotonicMS > mc.reservation.expiresAt || tr.claim != mc.claim {
		return false
	}
	return qm.cache.isCurrent(tr) && tr.pending() != 0
}

// sendReclaimStops sends the stops for reservations to their workers as direct commands: with the
// next heartbeat, half of the time that a guarantee promises would be over. One that
// fails goes with the response to the next heartbeat.
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

// queueReclaimStops makes a machine's commands the stops of its reclaimed tasks.
func (qm *quotaManager) queueReclaimStops(s *shard, mc *machine) {
	mc.commands = mc.commands[:0]
	for _, a := range mc.byKey {
		if a.reclaimed && !a.exited && !a.checkpointing {
			qm.agents.queueCommand(s, mc, qm.stopAfterCheckpoint(a))
		}
	}
}

// startReserved starts the tasks that a machine's capacity is reserved for, as far as it is free.
func (qm *quotaManager) startReserved(s *shard, mc *machine, hb *Heartbeat) {
	qm.reservedResources(mc) // removes a reservation that does not stand any more
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

// mayStartReserved reports whether a task of a range may start on a machine now. It takes a start
// from the pacer if so, hence last.
func (qm *quotaManager) mayStartReserved(s *shard, tr *taskRange, mc *machine) bool {
	if !qm.agents.freeResources(mc).Contains(tr.job.rec.Job.Request) || !qm.agents.mayStart(s, tr, mc) {
		return false
	}
	return qm.agents.hasAttemptIDs(s) && s.reconciler.Pacer.TryStart(qm.now.MonotonicMS, true)
}
