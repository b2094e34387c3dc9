package planner

// lateDeadlineSteps is the number of times that a missed deadline is extended by another share of the span.
const lateDeadlineSteps = 4

// Start is a number of tasks of a group that start on a machine now.
type Start struct {
	MachineIndex int // Machine.Index
	Count        int
	FetchMS      int64 // time to fetch the image on the machine
}

// CapacityDemand is a demand for machines for tasks that existing machines cannot finish in time.
type CapacityDemand struct {
	Count      int
	DeadlineMS int64 // wall-clock time, ms
	SpotOnly   bool  // on-demand machines already serve the tasks, at a higher price
}

// Placement is the result of placing a group.
type Placement struct {
	StartedTasks int
	Starts       []Start
	Demands      []CapacityDemand
	StartsGang   bool // the gang starts a new attempt
	Admitted     bool // at least one task is admitted in time to a machine
}

// Place admits a group to the machines. It determines the tasks that start now, the tasks that wait in a queue, and the
// tasks that no machine can finish in time. lateShare is the share of the group's span, from its acceptance to its
// deadline, by which each step extends a missed deadline.
func (v *ClusterView) Place(g *Group, lateShare float64) Placement {
	search := v.StartSearch(g)
	search.enforceLimits = true
	total := g.Remaining
	if g.IsGang && !search.gangFits() {
		search.placement.Admitted, g.Waiting = g.PreviouslyAdmitted, total
		return search.placement
	}
	if g.ObjectiveDeadlineMS < g.DeadlineMS && g.ObjectiveDeadlineMS > v.nowMS {
		search.admitForObjective()
	}
	search.admitFor(g.DeadlineMS)
	search.placement.Admitted = g.Remaining < total
	search.recordSpotDemand(search.spotShortfall)
	if g.Remaining > 0 {
		search.recordDemand(g.Remaining, g.DeadlineMS)
		g.SpotInsufficient = true
		search.admitLate(lateShare)
	}
	g.Waiting = total - search.placement.StartedTasks
	return search.placement
}

// admitForObjective admits tasks for the start objective, and demands machines for the remaining tasks if new machines
// can meet it.
func (s *CandidateSearch) admitForObjective() {
	v, g := s.view, s.group
	// A start objective alone does not justify the use of a machine type that other jobs require.
	s.objectiveOnly = true
	s.admitFor(g.ObjectiveDeadlineMS)
	s.objectiveOnly = false
	if v.nowMS+v.catalog.MinReadyMS(&g.Request)+g.LengthMS <= g.ObjectiveDeadlineMS {
		// A machine that becomes ready in time meets the objective. Until then, these tasks may wait in a queue that
		// ends in time.
		s.recordDemand(g.Remaining, g.ObjectiveDeadlineMS)
	}
}

// admitFor admits tasks for one deadline, on spot machines first. On-demand machines cost several times as much. Tasks
// that only on-demand machines can finish in time therefore also justify a new spot machine. Meanwhile they start on
// the on-demand machines.
func (s *CandidateSearch) admitFor(deadlineMS int64) {
	g := s.group
	if !g.Request.AllowsSpot {
		s.admitInTime(deadlineMS)
		return
	}
	s.spotOnly = true
	s.admitInTime(deadlineMS)
	s.spotOnly = false
	s.spotShortfall += g.Remaining
	s.admitInTime(deadlineMS)
	if !s.objectiveOnly && s.spotShortfall > 0 {
		g.SpotInsufficient = true
	}
	s.spotShortfall -= g.Remaining
}

// admitInTime admits tasks to free resources on all machines before it admits any to existing queues. A task that waits
// behind another while a machine is idle risks its deadline without benefit.
func (s *CandidateSearch) admitInTime(deadlineMS int64) {
	s.Admit(deadlineMS, NewSlotsInTime)
	s.Admit(deadlineMS, ExistingQueues)
}

// admitLate admits tasks that no machine can finish in time. They start on free resources, and the remaining tasks wait
// in queues for deadlines extended by shares of the group's span.
func (s *CandidateSearch) admitLate(lateShare float64) {
	g := s.group
	s.Admit(g.DeadlineMS, NewSlotsAnyTime)
	spanMS := float64(g.DeadlineMS - g.AcceptedMS)
	for i := 1; i <= lateDeadlineSteps && g.Remaining > 0; i++ {
		s.Admit(max(g.DeadlineMS, s.view.nowMS)+int64(spanMS*lateShare*float64(i)), ExistingQueues)
	}
}

// recordDemand records a demand for machines, spot or on-demand, within the group's provision limit.
func (s *CandidateSearch) recordDemand(count int, deadlineMS int64) {
	g := s.group
	count = min(count, g.ProvisionLimit-s.placement.StartedTasks)
	g.ProvisionRequested = max(g.ProvisionRequested, count)
	if count > 0 {
		s.placement.Demands = append(s.placement.Demands, CapacityDemand{Count: count, DeadlineMS: deadlineMS})
	}
}

// recordSpotDemand records a demand for spot machines for tasks that were admitted to on-demand machines.
func (s *CandidateSearch) recordSpotDemand(count int) {
	if count > 0 {
		demand := CapacityDemand{Count: count, DeadlineMS: s.group.DeadlineMS, SpotOnly: true}
		s.placement.Demands = append(s.placement.Demands, demand)
	}
}

// gangFits reports whether all of a gang's waiting tasks can start now. A task that waits for the rest of its gang
// would occupy its machine without progress. All tasks of an earlier attempt must have ended first. gangFits records a
// demand for machines for tasks that do not fit even if booting machines are counted.
func (s *CandidateSearch) gangFits() bool {
	g := s.group
	if g.GangAttempt != GangAttemptNew || g.IncompleteGang {
		return g.GangAttempt == GangAttemptContinues
	}
	startable, booting := 0, 0
	for i := 0; ; i++ {
		candidate := s.candidate(i)
		if candidate == nil {
			break
		}
		m := candidate.machine
		n := m.Free.MaxCopies(s.request, min(g.Remaining-startable-booting, g.zoneAllowance(m)))
		if m.Ready {
			startable += n
		} else {
			booting += n
		}
	}
	s.placement.StartsGang = startable >= g.Remaining
	missing := g.Remaining - startable - booting
	if !s.placement.StartsGang && missing > 0 {
		s.placement.Demands = append(s.placement.Demands, CapacityDemand{Count: missing, DeadlineMS: g.DeadlineMS})
	}
	return s.placement.StartsGang
}
