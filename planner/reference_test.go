package planner

import (
	"cmp"
	"slices"

	"github.com/grebedock/grebedock/availability"
)

// referencePlanner places a group by the documented rules with a scan of every machine. Tests compare the indexed view
// with it.
type referencePlanner struct {
	view     *ClusterView
	hasImage func(index int, image string) bool
}

// referenceSearch is the placement of one group.
type referenceSearch struct {
	v          *ClusterView
	g          *Group
	request    availability.Resources
	candidates []referenceCandidate
	placement  Placement

	spotOnly, objectiveOnly bool
	spotShortfall           int
}

type referenceCandidate struct {
	m              *Machine
	rank           int
	leftover       float64
	fetchMS        int64
	avoid, hasRoom bool
}

func (r referencePlanner) place(g *Group, lateShare float64) Placement {
	v := r.view
	s := &referenceSearch{v: v, g: g, request: g.Request.WithoutImage()}
	for _, m := range v.machines {
		if v.catalog.IsAllowed(&g.Request, m.Offering) && g.FailuresByMachine[m.ID] == 0 {
			s.candidates = append(s.candidates, s.newCandidate(m, r.hasImage(m.Index, g.Request.Image)))
		}
	}
	slices.SortStableFunc(s.candidates, func(x, y referenceCandidate) int {
		return cmp.Or(x.rank-y.rank, cmp.Compare(x.leftover, y.leftover), x.m.Index-y.m.Index)
	})
	total := g.Remaining
	if g.IsGang && !s.gangFits() {
		s.placement.Admitted, g.Waiting = g.PreviouslyAdmitted, total
		return s.placement
	}
	if g.ObjectiveDeadlineMS < g.DeadlineMS && g.ObjectiveDeadlineMS > v.nowMS {
		s.admitFor(g.ObjectiveDeadlineMS)
		if v.nowMS+v.catalog.MinReadyMS(&g.Request)+g.LengthMS <= g.ObjectiveDeadlineMS {
			s.recordDemand(g.Remaining, g.ObjectiveDeadlineMS, false)
		}
	}
	s.admitFor(g.DeadlineMS)
	s.placement.Admitted = g.Remaining < total
	s.recordDemand(s.spotShortfall, g.DeadlineMS, true)
	if g.Remaining > 0 {
		s.recordDemand(g.Remaining, g.DeadlineMS, false)
		g.SpotInsufficient = true
		s.admit(g.DeadlineMS, NewSlotsAnyTime)
		for i := 1; i <= lateDeadlineSteps && g.Remaining > 0; i++ {
			lateMS := int64(float64(g.DeadlineMS-g.AcceptedMS) * lateShare * float64(i))
			s.admit(max(g.DeadlineMS, v.nowMS)+lateMS, ExistingQueues)
		}
	}
	g.Waiting = total - s.placement.StartedTasks
	return s.placement
}

func (s *referenceSearch) newCandidate(m *Machine, hasImage bool) referenceCandidate {
	v, g := s.v, s.g
	c := referenceCandidate{
		m:       m,
		fetchMS: v.catalog.FetchMS(&g.Request, m.Offering.Type),
		avoid:   v.catalog.ShouldAvoid(&g.Request, m.Offering.Type),
		hasRoom: m.Free.Contains(s.request),
	}
	if hasImage {
		c.fetchMS = 0
	}
	costly := g.Request.AllowsSpot && !m.Offering.Spot
	if !c.hasRoom {
		c.rank = 16 + (bitIf(c.avoid, 2) | bitIf(costly, 1) | bitIf(c.fetchMS != 0, 0))
		return c
	}
	spanMS := float64(max(g.DeadlineMS-v.nowMS, 1000))
	largest := v.catalog.largest
	leftover := (m.Free.CPUs-s.request.CPUs)/max(largest.CPUs, 1) +
		(m.Free.MemoryGB-s.request.MemoryGB)/max(largest.MemoryGB, 1)
	c.leftover = max(leftover, 0) + float64(g.DeadlineMS-m.ReadyAtMS-g.LengthMS-c.fetchMS)/spanMS/4
	c.rank = bitIf(c.avoid, 3) | bitIf(!m.Ready, 2) | bitIf(costly, 1) | bitIf(c.fetchMS != 0, 0)
	return c
}

func (s *referenceSearch) gangFits() bool {
	g := s.g
	if g.GangAttempt != GangAttemptNew || g.IncompleteGang {
		return g.GangAttempt == GangAttemptContinues
	}
	startable, booting := 0, 0
	for _, c := range s.candidates {
		if !c.hasRoom {
			continue
		}
		n := c.m.Free.MaxCopies(s.request, min(g.Remaining-startable-booting, g.zoneAllowance(c.m)))
		if c.m.Ready {
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

func (s *referenceSearch) admitFor(deadlineMS int64) {
	g := s.g
	s.objectiveOnly = deadlineMS < g.DeadlineMS
	if g.Request.AllowsSpot {
		s.spotOnly = true
		s.admit(deadlineMS, NewSlotsInTime)
		s.admit(deadlineMS, ExistingQueues)
		s.spotOnly = false
		s.spotShortfall += g.Remaining
	}
	s.admit(deadlineMS, NewSlotsInTime)
	s.admit(deadlineMS, ExistingQueues)
	if g.Request.AllowsSpot {
		g.SpotInsufficient = g.SpotInsufficient || !s.objectiveOnly && s.spotShortfall > 0
		s.spotShortfall -= g.Remaining
	}
	s.objectiveOnly = false
}

func (s *referenceSearch) admit(deadlineMS int64, mode QueueMode) {
	for _, c := range s.candidates {
		if s.g.Remaining <= 0 {
			return
		}
		isSkipped := s.spotOnly && !c.m.Offering.Spot || s.objectiveOnly && c.avoid
		if !isSkipped && (c.hasRoom || mode == ExistingQueues) {
			s.admitTo(c, deadlineMS, mode)
		}
	}
}

func (s *referenceSearch) admitTo(c referenceCandidate, deadlineMS int64, mode QueueMode) {
	v, g := s.v, s.g
	limit := min(g.Remaining, g.zoneAllowance(c.m))
	if mode == NewSlotsInTime && c.m.Ready && g.ObjectiveDeadlineMS >= g.DeadlineMS {
		unreserved := availability.Resources{CPUs: v.SpareCPUs - v.ReservedCPUs}
		limit = unreserved.MaxCopies(availability.Resources{CPUs: g.Request.Resources.CPUs}, limit)
	}
	if limit <= 0 {
		return
	}
	n, startable, _ := AdmitToMachine(c.m, g, c.fetchMS, deadlineMS, limit, mode)
	g.Remaining -= n
	if c.m.Ready {
		v.SpareCPUs -= float64(startable) * g.Request.Resources.CPUs
	}
	if (g.SingleZone || g.SpreadZones) && n > 0 {
		g.recordPlaced(c.m, n)
	}
	if !g.HasObjective && !g.IsGang {
		startable = min(startable, v.PacedStartsLeft)
	}
	if startable > 0 && c.m.Ready {
		s.placement.StartedTasks += startable
		v.PacedStartsLeft -= startable
		s.placement.Starts = append(s.placement.Starts, Start{c.m.Index, startable, c.fetchMS})
	}
}

func (s *referenceSearch) recordDemand(n int, deadlineMS int64, spot bool) {
	if !spot {
		n = min(n, s.g.ProvisionLimit-s.placement.StartedTasks)
		s.g.ProvisionRequested = max(s.g.ProvisionRequested, n)
	}
	if n > 0 {
		s.placement.Demands = append(s.placement.Demands, CapacityDemand{n, deadlineMS, spot})
	}
}
