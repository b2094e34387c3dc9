package planner

import (
	"math"
	"slices"

	"github.com/grebedock/grebedock/availability"
)

// RuntimePadding multiplies the expected run time of a task that queues behind another task. Estimates are often wrong
// by half.
const RuntimePadding = 1.5

// QueueMode selects the queues of a machine to which a group may be admitted.
type QueueMode int

const (
	// AllQueues admits to new queues on free resources that end by the deadline, then to all queues.
	AllQueues QueueMode = iota
	// NewSlotsInTime admits only to new queues on free resources that end by the deadline.
	NewSlotsInTime
	// NewSlotsAnyTime admits only to new queues on free resources, whether or not they end by the deadline.
	NewSlotsAnyTime
	// ExistingQueues admits only to existing queues.
	ExistingQueues
)

// AdmitToMachine admits as many tasks of the group to the machine, at most limit, as its queues can finish by the
// deadline (wall-clock time, ms). fetchMS is the time to fetch the group's image on the machine. Of the admitted
// tasks, startable can start now; examined measures the cost. AdmitToMachine does not modify the group.
func AdmitToMachine(
	m *Machine,
	g *Group,
	fetchMS, deadlineMS int64,
	limit int,
	mode QueueMode,
) (admitted, startable, examined int) {
	request := g.Request.WithoutImage()
	if mode != ExistingQueues {
		startable = m.openSlots(g, request, fetchMS, deadlineMS, limit, mode)
	}
	if mode == NewSlotsInTime || mode == NewSlotsAnyTime {
		return startable, startable, 1 + startable
	}
	admitted = startable
	lengthMS := int64(float64(g.LengthMS)*RuntimePadding) + fetchMS
	for i := range m.Slots {
		if admitted >= limit {
			break
		}
		examined++
		slot := &m.Slots[i]
		if !slot.Queue.MayAdmit(deadlineMS, lengthMS) || !slot.Resources.Contains(request) {
			continue
		}
		admitted += int(slot.Queue.Admit(deadlineMS, lengthMS, int64(limit-admitted)))
	}
	return admitted, startable, 1 + examined + startable
}

// openSlots opens new queues on the machine's free resources, each with a task that starts now, and returns their
// number.
func (m *Machine) openSlots(
	g *Group,
	request availability.Resources,
	fetchMS, deadlineMS int64,
	limit int,
	mode QueueMode,
) (opened int) {
	// The first task of a queue needs no padding: no task waits behind it yet.
	lengthMS := g.LengthMS + fetchMS
	if mode != NewSlotsAnyTime && deadlineMS-m.ReadyAtMS < lengthMS {
		return 0
	}
	for opened < limit && m.Free.Contains(request) {
		slot := m.AddSlot(request, m.ReadyAtMS)
		slot.Queue.Admit(max(deadlineMS, m.ReadyAtMS+lengthMS), lengthMS, 1)
		m.Free = m.Free.Sub(request)
		opened++
	}
	return opened
}

// Admit admits the group's remaining tasks for the deadline (wall-clock time, ms), one machine after another.
func (s *CandidateSearch) Admit(deadlineMS int64, mode QueueMode) {
	g := s.group
	lengthMS := int64(float64(g.LengthMS) * RuntimePadding)
	for i := 0; g.Remaining > 0 && (i > 0 || s.canAdmitAny(deadlineMS, lengthMS, mode)); i++ {
		candidate := s.candidate(i)
		if candidate == nil {
			break
		}
		s.view.Examined++
		queues := &s.view.scanEntries[candidate.machine.Index].queues
		if mode == ExistingQueues && !queues.mayAdmit(s.request, deadlineMS, lengthMS+candidate.fetchMS) {
			continue
		}
		s.tryMachine(candidate.machine, candidate.fetchMS, deadlineMS, mode)
	}
	if mode == ExistingQueues {
		s.admitToOccupied(deadlineMS, lengthMS)
	}
}

// skipsOffering reports whether the current pass excludes the offering.
func (s *CandidateSearch) skipsOffering(offering int) bool {
	eval := &s.evaluations[offering]
	return !eval.allowed || s.spotOnly && !s.view.offerings[offering].Spot || s.objectiveOnly && eval.avoid
}

// isBoundByReserve reports whether a pass may not use the reserved processors. Groups without a start objective may not
// start on them.
func (s *CandidateSearch) isBoundByReserve(mode QueueMode) bool {
	return s.enforceLimits && mode == NewSlotsInTime && s.group.ObjectiveDeadlineMS >= s.group.DeadlineMS
}

// unreservedCopies returns how many of the group's tasks, at most limit, fit on the unreserved processors.
func (s *CandidateSearch) unreservedCopies(limit int) int {
	unreserved := availability.Resources{CPUs: s.view.SpareCPUs - s.view.ReservedCPUs}
	return unreserved.MaxCopies(availability.Resources{CPUs: s.group.Request.Resources.CPUs}, limit)
}

// canAdmitAny reports whether any machine with free resources may accept a task in the pass. Without this check, each
// pass with a deadline too close to meet sorted all candidates.
func (s *CandidateSearch) canAdmitAny(deadlineMS, lengthMS int64, mode QueueMode) bool {
	reserveExhausted := s.isBoundByReserve(mode) && s.unreservedCopies(1) == 0
	for i := range s.evaluations {
		eval := &s.evaluations[i]
		if eval.openMachines == 0 || s.skipsOffering(i) {
			continue
		}
		mayAdmit := true
		switch mode {
		case NewSlotsInTime:
			mayAdmit = deadlineMS-eval.earliestStartMS >= s.group.LengthMS && (!reserveExhausted || eval.booting)
		case ExistingQueues:
			mayAdmit = s.slotsAdded || eval.queues.mayAdmit(s.request, deadlineMS, lengthMS)
		}
		if mayAdmit {
			return true
		}
	}
	return false
}

// occupiedScan holds the parameters of one pass over the queues of machines without free resources for the group.
type occupiedScan struct {
	offerings   []int // offerings whose machines are scanned
	deadlineMS  int64
	lengthMS    int64 // length of a task on a machine with its image
	minLengthMS int64 // minimum length of a task in this pass
	cached      bool  // true: scan machines that have the image; false: scan machines without it
}

// admitToOccupied admits to the queues of machines that had no free resources. It orders machines by rank, then by
// whether they have the image, then by index.
func (s *CandidateSearch) admitToOccupied(deadlineMS, lengthMS int64) {
	for rank := 0; rank < 8 && s.group.Remaining > 0; rank += 2 {
		minFetchMS := s.splitOfferings(rank)
		if len(s.cached) > 0 {
			s.scanOccupied(&occupiedScan{s.cached, deadlineMS, lengthMS, lengthMS, true})
		}
		if len(s.uncached) > 0 {
			s.scanOccupied(&occupiedScan{s.uncached, deadlineMS, lengthMS, lengthMS + minFetchMS, false})
		}
	}
}

// splitOfferings collects the offerings of a rank in s.cached if their machines may have the image, and in s.uncached
// if their machines may not have it. An offering can be in both. It returns the shortest fetch time of s.uncached.
func (s *CandidateSearch) splitOfferings(rank int) (minFetchMS int64) {
	s.cached, s.uncached = s.cached[:0], s.uncached[:0]
	minFetchMS = int64(math.MaxInt64)
	for i := range s.evaluations {
		eval := &s.evaluations[i]
		if eval.rank != rank || s.skipsOffering(i) {
			continue
		}
		if eval.fetchMS == 0 || s.imageMachines != nil {
			s.cached = append(s.cached, i)
		}
		if eval.fetchMS != 0 {
			s.uncached = append(s.uncached, i)
			minFetchMS = min(minFetchMS, eval.fetchMS)
		}
	}
	return minFetchMS
}

func (s *CandidateSearch) scanOccupied(scan *occupiedScan) {
	v, g := s.view, s.group
	if scan.cached && s.fetchAlwaysNeeded {
		for _, i := range s.imageMachines.indexes {
			if g.Remaining <= 0 {
				return
			}
			s.tryOccupied(int(i), scan)
		}
		return
	}
	for i := 0; i < len(v.blocks) && g.Remaining > 0; i++ {
		if !s.mayBlockAdmit(v.refreshedBlock(i), scan) {
			continue
		}
		end := min((i+1)*blockSize, len(v.machines))
		for index := i * blockSize; index < end && g.Remaining > 0; index++ {
			s.tryOccupied(index, scan)
		}
	}
}

// mayBlockAdmit reports whether a queue of the block may accept a task of the pass. There are no false negatives.
func (s *CandidateSearch) mayBlockAdmit(block *block, scan *occupiedScan) bool {
	return block.queues.mayAdmit(s.request, scan.deadlineMS, scan.minLengthMS) &&
		slices.ContainsFunc(scan.offerings, func(offering int) bool {
			return block.queuesByOffering[offering].mayAdmit(s.request, scan.deadlineMS, scan.minLengthMS)
		})
}

// tryOccupied admits to the queues of the machine at index i if the machine belongs to the pass.
func (s *CandidateSearch) tryOccupied(i int, scan *occupiedScan) {
	v := s.view
	v.Examined++
	entry := &v.scanEntries[i]
	if entry.openForSearch == v.searchID ||
		!entry.queues.mayAdmit(s.request, scan.deadlineMS, scan.minLengthMS) ||
		!slices.Contains(scan.offerings, int(entry.offeringIndex)) {
		return
	}
	fetchMS := s.fetchMSOn(i, &s.evaluations[entry.offeringIndex])
	if (fetchMS == 0) != scan.cached || entry.queues.maxAvailableMS(scan.deadlineMS) < scan.lengthMS+fetchMS {
		return
	}
	if m := v.machines[i]; !s.group.hasFailedOn(m) {
		s.tryMachine(m, fetchMS, scan.deadlineMS, ExistingQueues)
	}
}

// tryMachine admits as much of the group to the machine as the group's limits allow, and updates the counts.
func (s *CandidateSearch) tryMachine(m *Machine, fetchMS, deadlineMS int64, mode QueueMode) {
	v, g := s.view, s.group
	if s.skipsOffering(m.offeringIndex) {
		return
	}
	limit := min(g.Remaining, g.zoneAllowance(m))
	if m.Ready && s.isBoundByReserve(mode) {
		limit = s.unreservedCopies(limit)
	}
	if limit <= 0 {
		return
	}
	admitted, startable, examined := AdmitToMachine(m, g, fetchMS, deadlineMS, limit, mode)
	v.Examined += examined
	if admitted == 0 {
		return
	}
	v.refreshBounds(m)
	s.slotsAdded = s.slotsAdded || mode != ExistingQueues
	g.Remaining -= admitted
	if m.Ready {
		v.SpareCPUs -= float64(startable) * g.Request.Resources.CPUs
	}
	if g.SingleZone || g.SpreadZones {
		g.recordPlaced(m, admitted)
	}
	if s.enforceLimits {
		s.recordStarts(m, startable, fetchMS)
	}
}

// recordStarts records tasks that start on a machine now. The pacer limits starts of tasks without an objective.
func (s *CandidateSearch) recordStarts(m *Machine, startable int, fetchMS int64) {
	v, g := s.view, s.group
	if !g.HasObjective && !g.IsGang {
		startable = min(startable, v.PacedStartsLeft)
	}
	if startable <= 0 || !m.Ready {
		return
	}
	s.placement.StartedTasks += startable
	v.PacedStartsLeft -= startable
	s.placement.Starts = append(s.placement.Starts, Start{m.Index, startable, fetchMS})
}
