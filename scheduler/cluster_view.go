package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/planner"
)

// bootOverdueFactor is how many times its type's boot time a machine may be overdue before
// nothing is planned on it.
const bootOverdueFactor = 2

// buildClusterView enters a shard's machines into its cluster view, with a slot for each live attempt,
// and sums up what the plan needs of them.
func (pp *placementPlanner) buildClusterView(s *shard) {
	s.clusterView.Begin(pp.now.WallMS)
	s.viewMachines = s.viewMachines[:0]
	s.objectiveCPUs = 0
	clear(s.remainingWork)
	clear(s.reservedTasks)
	for _, mc := range s.machines {
		mc.plannedStarts = nil
		if !pp.agents.isSchedulable(mc) {
			continue
		}
		if readyAt, ok := pp.machineReadyAt(mc); ok {
			pp.addToClusterView(s, mc, readyAt)
		}
	}
	s.clusterView.FinishAdding()
}

// machineReadyAt is the time of day at which a machine is expected to take tasks. It returns
// false for one that is so overdue that it may never come up.
func (pp *placementPlanner) machineReadyAt(mc *machine) (readyAt int64, ok bool) {
	wall := pp.now.WallMS
	if mc.Up && mc.IsReconciled() {
		return wall, true
	}
	if mc.Up {
		return wall + secondsToMS(pp.params.LeaseS)/2, true
	}
	boot := secondsToMS(pp.cache.machineTypes[mc.rec.Type].BootS)
	bootedAt := mc.rec.ProvisionedAtMS + boot
	overdue := wall - bootedAt
	switch {
	case overdue <= 0:
		return bootedAt, true
	case overdue > boot*bootOverdueFactor:
		return 0, false
	}
	return wall + overdue/2, true
}

func (pp *placementPlanner) addToClusterView(s *shard, mc *machine, readyAt int64) {
	wall := pp.now.WallMS
	offering := planner.InstanceOffering{Type: mc.rec.Type, Zone: mc.rec.Zone, Spot: mc.rec.Spot}
	viewMachine := s.clusterView.AddMachine(mc.id, offering, mc.imageCache)
	viewMachine.ReadyAtMS, viewMachine.Ready = readyAt, mc.IsReconciled()
	s.viewMachines = append(s.viewMachines, mc)
	for _, a := range mc.byKey {
		if a.exited {
			continue
		}
		request := a.job.Request
		viewMachine.Free = viewMachine.Free.Sub(request)
		expectedEnd := a.expectedEnd(wall)
		viewMachine.AddSlot(request, expectedEnd)
		s.remainingWork[a.job.Team] += float64(expectedEnd-wall) * request.CPUs
		if viewMachine.Ready && a.hasStartObjective {
			s.objectiveCPUs += request.CPUs
		}
	}
	viewMachine.Free = viewMachine.Free.Sub(pp.quotas.reservedResources(mc))
	if reservation := mc.reservation; reservation != nil {
		s.reservedTasks[reservation.taskRange] += reservation.count
	}
	slices.SortFunc(viewMachine.Slots, compareSlots)
}

// compareSlots orders slots by when they are free, then by size.
func compareSlots(a, b planner.Slot) int {
	return cmp.Or(
		cmp.Compare(a.Queue.EarliestStart, b.Queue.EarliestStart),
		cmp.Compare(a.Resources.CPUs, b.Resources.CPUs),
		cmp.Compare(a.Resources.MemoryGB, b.Resources.MemoryGB),
	)
}

// reserveFactor is how much capacity is kept free for jobs with a start objective by jobs
// that have none and can wait in a queue in time, against how much the use of
// the former varies. If jobs arrive at random, that is the root of their average
// use times the size of one: a share of the use itself, which did for a few
// machines, kept a tenth of hundreds idle.
const reserveFactor = 0.5

// reserveAveragingLeases is over how many leases that average runs.
const reserveAveragingLeases = 3

// updateReserve brings the reserve of a shard up to date: capacity on live machines
// for the next jobs of classes with a start objective.
func (pp *placementPlanner) updateReserve(s *shard) {
	jobs, cpus := 0.0, 0.0
	for _, tr := range s.taskRanges {
		if j := &tr.job.rec.Job; pp.hasStartObjective(j) {
			jobs++
			cpus += float64(tr.size()) * j.Request.CPUs
		}
	}
	if passed := float64(pp.now.MonotonicMS - s.reserveUpdatedAt); passed > 0 {
		weight := min(1, passed/(reserveAveragingLeases*pp.params.LeaseS*1000))
		s.meanObjectiveCPUs += (s.objectiveCPUs - s.meanObjectiveCPUs) * weight
		if jobs > 0 {
			s.meanObjectiveJobCPUs += (cpus/jobs - s.meanObjectiveJobCPUs) * weight
		}
		s.reserveUpdatedAt = pp.now.MonotonicMS
	}
	s.reserveCPUs = min(s.meanObjectiveCPUs, math.Sqrt(s.meanObjectiveCPUs*s.meanObjectiveJobCPUs)) * reserveFactor
	s.clusterView.ReservedCPUs = s.reserveCPUs
}
