package planner

import (
	"cmp"
	"slices"
)

// GangAttempt is the state of a gang's start: it starts when all of its waiting tasks can, and continues while the
// start commands go out to its machines one after the other.
type GangAttempt int

const (
	// GangAttemptNew is a gang of which nothing runs; it may start.
	GangAttemptNew GangAttempt = iota
	// GangAttemptContinues is a gang whose start was decided; the rest of its tasks follow.
	GangAttemptContinues
	// GangAttemptWaits is a gang of which an earlier attempt must be gone first.
	GangAttemptWaits
)

// Group is tasks of one job that wait for a machine, with the deadlines that they are admitted for. The caller fills
// it, Place counts Remaining down and fills the Outcome.
type Group struct {
	Request             ResourceRequest
	Priority            int
	Remaining           int // tasks to place
	JobTasks            int // of the whole job
	LengthMS            int64
	AcceptedMS          int64
	ObjectiveDeadlineMS int64 // end of a task that meets the start objective; the deadline if there is none
	DeadlineMS          int64
	HasBegun            bool // a task of it runs or is done
	PreviouslyAdmitted  bool // was admitted before, and keeps its rank among its equals
	Name                string
	RangeStart          int // of its tasks in the job

	Ranking
	Constraints
	Outcome
}

// Ranking is what ranks a group among those of its priority.
type Ranking struct {
	MissedObjectives bool // can meet no objective any more; DeadlineMS is the last one
	HasObjective     bool // has a start objective or a guarantee that can still be met
	WithinGuarantee  bool // of its team's guarantee
	IsFirstTask      bool // the first task of a job that waited too long to begin (SplitFirst)
	QuotaTier        int  // how far its team is beyond its guarantee when its turn comes
}

// Constraints are what bounds where, and how many of, a group's tasks start.
type Constraints struct {
	IsGang, SingleZone, SpreadZones bool
	IncompleteGang                  bool // a gang of which not all tasks may start
	GangAttempt                     GangAttempt
	RunningByZone                   map[string]int // tasks that run, of jobs with a zone constraint
	FailuresByMachine               map[string]int // how often the job failed there, by machine id
	ProvisionLimit                  int            // for how many tasks machines may be requested
}

// Outcome is what placing a group records in it, beside its Placement.
type Outcome struct {
	Waiting            int  // tasks that do not start now
	ProvisionRequested int  // tasks that machines are requested for
	SpotInsufficient   bool // spot machines' queues do not take all of it in time

	placedByZone map[string]int // of a group with a zone constraint
	placed       int
}

// zoneAllowance is how many tasks of the group its zone constraint allows on a machine, counting what the round
// placed elsewhere.
func (g *Group) zoneAllowance(m *Machine) int {
	if !g.SingleZone && !g.SpreadZones {
		return g.Remaining
	}
	running, elsewhere := g.RunningByZone[m.Offering.Zone], 0
	for zone, n := range g.RunningByZone {
		if zone != m.Offering.Zone {
			elsewhere += n
		}
	}
	here := g.placedByZone[m.Offering.Zone]
	if g.SingleZone && (elsewhere > 0 || g.placed > here) {
		return 0
	}
	if g.SpreadZones {
		return max(0, (g.JobTasks+1)/2-running-here)
	}
	return g.Remaining
}

func (g *Group) recordPlaced(m *Machine, n int) {
	if g.placedByZone == nil {
		g.placedByZone = map[string]int{}
	}
	g.placedByZone[m.Offering.Zone] += n
	g.placed += n
}

// hasFailedOn reports whether the job failed on a machine, which excludes it.
func (g *Group) hasFailedOn(m *Machine) bool {
	return len(g.FailuresByMachine) > 0 && g.FailuresByMachine[m.ID] > 0
}

// SortGroups puts groups in the order in which they are placed: higher priority first; within one, the first tasks of
// jobs that waited too long to begin, then what can meet an objective, then what is within its team's guarantee, then
// by its team's quota tier; what was admitted keeps its rank; then earliest deadline, then arrival.
func SortGroups[G any](groups []G, groupOf func(G) *Group) {
	slices.SortFunc(groups, func(x, y G) int { return groupOf(x).compare(groupOf(y)) })
}

func (g *Group) compare(other *Group) int {
	trueFirst := func(aSet, bSet bool) int { return bitIf(bSet, 0) - bitIf(aSet, 0) }
	return cmp.Or(
		other.Priority-g.Priority,
		trueFirst(g.IsFirstTask, other.IsFirstTask),
		// A group that can meet no objective any more must not cost others theirs.
		trueFirst(!g.MissedObjectives, !other.MissedObjectives),
		// Free resources go to guarantees first: otherwise they go to others, whose tasks are then stopped.
		trueFirst(g.WithinGuarantee, other.WithinGuarantee),
		g.QuotaTier-other.QuotaTier,
		trueFirst(g.PreviouslyAdmitted, other.PreviouslyAdmitted),
		cmp.Compare(g.DeadlineMS, other.DeadlineMS),
		cmp.Compare(g.AcceptedMS, other.AcceptedMS),
		cmp.Compare(g.Name, other.Name),
		g.RangeStart-other.RangeStart)
}

// bitIf returns bit n if a condition holds; ranks are made of such bits.
func bitIf(condition bool, n int) int {
	if condition {
		return 1 << n
	}
	return 0
}
