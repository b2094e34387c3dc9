package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/planner"
)

// bootOverdueFactor is the longest delay of a booting machine, in boot times of its type.
// The planner ignores machines that are overdue for longer.
const bootOverdueFactor = 2

// buildClusterView adds a shard's machines to its cluster view, with a slot for each live attempt.
// It also recomputes the totals for the plan: CPUs used by tasks with a start objective, remaining
// work by team, and reserved tasks by range.
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

// machineReadyAt returns the wall-clock time at which a machine is expected to accept tasks. ok is
// false for a machine that is overdue by more than bootOverdueFactor boot times and may never boot.
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

// addToClusterView adds a machine to its shard's cluster view, with a slot for each live attempt.
// The capacity that its reservation holds does not count as free.
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
	pp.addOrphansToView(viewMachine, mc)
	viewMachine.Free = viewMachine.Free.Sub(pp.quotas.reservedResources(mc))
	if reservation := mc.reservation; reservation != nil {
		s.reservedTasks[reservation.taskRange] += reservation.count
	}
	slices.SortFunc(viewMachine.Slots, compareSlots)
}

// addOrphansToView adds a slot for what the orphaned tasks of a machine may use. It is expected to be free once they
// are stopped.
func (pp *placementPlanner) addOrphansToView(viewMachine *planner.Machine, mc *machine) {
	if len(mc.orphans) == 0 {
		return
	}
	unused := nonNegative(viewMachine.Free)
	free := nonNegative(unused.Sub(pp.agents.maxOrphanedUsage(mc)))
	viewMachine.Free = free
	viewMachine.AddSlot(unused.Sub(free), pp.now.WallMS+pp.maxHeartbeatIntervalMS()/2)
}

// compareSlots orders slots by the time at which they become free, then by size.
func compareSlots(a, b planner.Slot) int {
	return cmp.Or(
		cmp.Compare(a.Queue.EarliestStart, b.Queue.EarliestStart),
		cmp.Compare(a.Resources.CPUs, b.Resources.CPUs),
		cmp.Compare(a.Resources.MemoryGB, b.Resources.MemoryGB),
	)
}

// reserveFactor is the ratio of a shard's reserve to the variation in use by jobs with a start
// objective. The reserve is capacity that jobs without a start objective leave free if they can
// meet their deadlines in a queue. For jobs that arrive at random, the variation is the square
// root of the product of their mean use and the mean job size. A reserve proportional to the use
// itself was adequate for a few machines, but kept a tenth of a fleet of hundreds idle.
const reserveFactor = 0.5

// reserveAveragingLeases is the averaging period of the mean use and mean job size, in leases.
const reserveAveragingLeases = 3

// updateReserve recomputes a shard's reserve: capacity on live machines for the next jobs of
// classes with a start objective.
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
