package planner

import (
	"cmp"
	"slices"
)

// GangAttempt is the state of a gang's start. A gang starts when all of its waiting tasks can start. The start
// continues while start commands are sent to its machines one after another.
type GangAttempt int

const (
	// GangAttemptNew means that no task of the gang runs, so the gang may start.
	GangAttemptNew GangAttempt = iota
	// GangAttemptContinues means that the gang's start is decided and its remaining tasks follow.
	GangAttemptContinues
	// GangAttemptWaits means that an earlier attempt of the gang must end first.
	GangAttemptWaits
)

// Group is a set of pending tasks of one job, with the deadlines for their admission. The caller fills it. Place
// decrements Remaining and fills the Outcome.
type Group struct {
	Request             ResourceRequest
	Priority            int
	Remaining           int // tasks to place
	JobTasks            int // number of tasks of the whole job
	LengthMS            int64
	AcceptedMS          int64
	ObjectiveDeadlineMS int64 // latest end of a task that meets the start objective; DeadlineMS without one
	DeadlineMS          int64
	HasBegun            bool // a task of the job runs or has completed
	PreviouslyAdmitted  bool // admitted before; precedes other groups of equal rank
	Name                string
	RangeStart          int // first task of the group's task range in the job

	Ranking
	Constraints
	Outcome
}

// Ranking holds the properties that rank a group among groups of the same priority.
type Ranking struct {
	MissedObjectives bool // can no longer meet any objective; DeadlineMS is that of the last one
	HasObjective     bool // has a start objective or a guarantee that can still be met
	WithinGuarantee  bool // its job is within its team's guarantee
	IsFirstTask      bool // the first task of a job that waited too long to begin (SplitFirst)
	QuotaTier        int  // how far its team exceeds its guarantee when the group is placed
}

// Constraints restrict where a group's tasks start, and how many of them.
type Constraints struct {
	IsGang, SingleZone, SpreadZones bool
	IncompleteGang                  bool // not all tasks of the gang may start
	GangAttempt                     GangAttempt
	RunningByZone                   map[string]int // the job's running tasks by zone, if it has a zone constraint
	PlacedByZone                    map[string]int // tasks placed in this round; all groups of the job share the map
	FailuresByMachine               map[string]int // number of failures of the job by machine ID
	ProvisionLimit                  int            // maximum number of tasks for which machines may be requested
}

// Outcome holds the results of placing a group that are not part of its Placement.
type Outcome struct {
	Waiting            int  // number of tasks that do not start now
	ProvisionRequested int  // number of tasks for which machines are requested
	SpotInsufficient   bool // spot machines cannot finish all of the group's tasks in time
}

// zoneAllowance returns how many tasks of the group its zone constraint allows on a machine, counting tasks of the job
// that run or that the round has already placed.
func (g *Group) zoneAllowance(m *Machine) int {
	if !g.SingleZone && !g.SpreadZones {
		return g.Remaining
	}
	zone := m.Offering.Zone
	if g.SingleZone && (tasksOutside(zone, g.RunningByZone) > 0 || tasksOutside(zone, g.PlacedByZone) > 0) {
		return 0
	}
	if g.SpreadZones {
		return max(0, (g.JobTasks+1)/2-g.RunningByZone[zone]-g.PlacedByZone[zone])
	}
	return g.Remaining
}

// tasksOutside returns the number of tasks in all zones except one.
func tasksOutside(zone string, tasksByZone map[string]int) int {
	outside := 0
	for other, n := range tasksByZone {
		if other != zone {
			outside += n
		}
	}
	return outside
}

func (g *Group) recordPlaced(m *Machine, n int) {
	if g.PlacedByZone == nil {
		g.PlacedByZone = map[string]int{}
	}
	g.PlacedByZone[m.Offering.Zone] += n
}

// hasFailedOn reports whether the job failed on a machine. The group is not placed on such a machine.
func (g *Group) hasFailedOn(m *Machine) bool {
	return len(g.FailuresByMachine) > 0 && g.FailuresByMachine[m.ID] > 0
}

// SortGroups sorts groups in placement order. Higher priorities are first. Within a priority, these criteria apply in
// turn:
//   - first tasks of jobs that waited too long to begin
//   - groups that can still meet an objective
//   - groups within their team's guarantee
//   - lower quota tier of the team
//   - previously admitted groups
//   - earlier deadline, then earlier arrival
func SortGroups[G any](groups []G, groupOf func(G) *Group) {
	slices.SortFunc(groups, func(x, y G) int { return groupOf(x).compare(groupOf(y)) })
}

func (g *Group) compare(other *Group) int {
	trueFirst := func(aSet, bSet bool) int { return bitIf(bSet, 0) - bitIf(aSet, 0) }
	return cmp.Or(
		other.Priority-g.Priority,
		trueFirst(g.IsFirstTask, other.IsFirstTask),
		// A group that can no longer meet any objective must not make other groups miss their objectives.
		trueFirst(!g.MissedObjectives, !other.MissedObjectives),
		// Groups within guarantees get free resources first. Otherwise other groups would use the resources, and
		// their tasks would then be stopped.
		trueFirst(g.WithinGuarantee, other.WithinGuarantee),
		g.QuotaTier-other.QuotaTier,
		trueFirst(g.PreviouslyAdmitted, other.PreviouslyAdmitted),
		cmp.Compare(g.DeadlineMS, other.DeadlineMS),
		cmp.Compare(g.AcceptedMS, other.AcceptedMS),
		cmp.Compare(g.Name, other.Name),
		g.RangeStart-other.RangeStart)
}

// bitIf returns an integer with bit n set if the condition holds, otherwise 0. Ranks are composed of such bits.
func bitIf(condition bool, n int) int {
	if condition {
		return 1 << n
	}
	return 0
}
