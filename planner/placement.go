package planner

// lateDeadlineSteps is how often a missed deadline is put off by another share of the span.
const lateDeadlineSteps = 4

// Start is tasks of a group that start on a machine now.
type Start struct {
	MachineIndex int // Machine.Index
	Count        int
	FetchMS      int64 // of the image there
}

// CapacityDemand is tasks that no machine ends in time.
type CapacityDemand struct {
	Count      int
	DeadlineMS int64 // time of day, ms
	SpotOnly   bool  // on-demand machines serve it, at a higher price
}

// Placement is what becomes of a group.
type Placement struct {
	StartedTasks int
	Starts       []Start
	Demands      []CapacityDemand
	StartsGang   bool // a gang starts: a new attempt of it
	Admitted     bool // some of it ends in time on a machine
}

// Place admits a group to the machines: what starts now, what waits in a queue, and for what there is neither in time.
// lateShare is the share of the group's span by which a missed deadline is put off, step by step.
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

// admitForObjective admits for the start objective, and demands machines for the rest if they can serve it.
func (s *CandidateSearch) admitForObjective() {
	v, g := s.view, s.group
	// A start objective alone is not worth a machine that other jobs cannot do without.
	s.objectiveOnly = true
	s.admitFor(g.ObjectiveDeadlineMS)
	s.objectiveOnly = false
	if v.nowMS+v.catalog.MinReadyMS(&g.Request)+g.LengthMS <= g.ObjectiveDeadlineMS {
		// A machine that comes up in time serves the objective; until it does, these tasks may wait in a queue that
		// ends in time.
		s.recordDemand(g.Remaining, g.ObjectiveDeadlineMS)
	}
}

// admitFor admits for one deadline, on spot machines first. On-demand machines cost several times as much: what only
// they can take is worth a spot machine, and starts on them meanwhile.
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

// admitInTime takes free resources on every machine before a queue: a task that waits behind another while a machine is
// idle only risks its deadline.
func (s *CandidateSearch) admitInTime(deadlineMS int64) {
	s.Admit(deadlineMS, NewSlotsInTime)
	s.Admit(deadlineMS, ExistingQueues)
}

// admitLate admits tasks that no machine ends in time: they start where there are free resources now, and the rest
// waits for deadlines put off by shares of the group's span.
func (s *CandidateSearch) admitLate(lateShare float64) {
	g := s.group
	s.Admit(g.DeadlineMS, NewSlotsAnyTime)
	spanMS := float64(g.DeadlineMS - g.AcceptedMS)
	for i := 1; i <= lateDeadlineSteps && g.Remaining > 0; i++ {
		s.Admit(max(g.DeadlineMS, s.view.nowMS)+int64(spanMS*lateShare*float64(i)), ExistingQueues)
	}
}

// recordDemand demands machines of any market for tasks, within the group's limit.
func (s *CandidateSearch) recordDemand(count int, deadlineMS int64) {
	g := s.group
	count = min(count, g.ProvisionLimit-s.placement.StartedTasks)
	g.ProvisionRequested = max(g.ProvisionRequested, count)
	if count > 0 {
		s.placement.Demands = append(s.placement.Demands, CapacityDemand{Count: count, DeadlineMS: deadlineMS})
	}
}

// recordSpotDemand demands spot machines for tasks that on-demand machines took.
func (s *CandidateSearch) recordSpotDemand(count int) {
	if count > 0 {
		demand := CapacityDemand{Count: count, DeadlineMS: s.group.DeadlineMS, SpotOnly: true}
		s.placement.Demands = append(s.placement.Demands, demand)
	}
}

// gangFits reports whether all of a gang's waiting tasks can start now: one that waits for its mates holds its machine
// for nothing. What is left of an earlier attempt must be gone first. For what does not fit even on the machines that
// boot it demands machines.
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
