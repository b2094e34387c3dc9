package scheduler

import "slices"

// Team is a team's guaranteed resources and its limit; 0 means none.
type Team struct {
	CPUs, GPUs       float64
	MaxCPUs, MaxGPUs float64
}

// The kinds of objectives that the core pursues.
const (
	deadlineObjective = "deadline" // done by the job's deadline, times a factor
	startObjective    = "wait"     // the first start within a time after the submission
	finishObjective   = "finished" // done within a time after the submission
)

// Objective is a service level objective of a class of jobs. Kind is deadline, wait,
// finished or guarantee; others are ignored.
type Objective struct {
	Kind           string
	WithinS        float64
	DeadlineFactor float64 // of kind deadline: multiplies the job's deadline
}

// Params is what the core needs of the member's configuration. It does not change while
// the member runs.
type Params struct {
	MemberID         string
	Zone             string
	PeerIDs          []string
	Teams            map[string]Team
	Objectives       map[string][]Objective // by class of jobs
	GuaranteeWithinS float64                // work within a guarantee starts this soon; 0: no such objective
	HeartbeatS       float64                // interval of workers' heartbeats
	LeaseS           float64                // workers stop their tasks so long after the last response
	CancelWithinS    float64                // a cancelled job's tasks are stopped within it, in any outage
	CPUShare         float64                // of one core; 0: not limited
	Debug            bool                   // debug log lines are wanted
	MaxValueBytes    int                    // of a value of the store
	MaxTxnOps        int                    // changes in a transaction of the store
	CloudListLagS    float64                // how old the list of the cloud may be
	StoreChangeRate  float64                // store changes per second; 0: submissions are written one by one
	MaxPendingRelays int                    // users' requests relayed to peers at the same time; 0: none
	Aging            bool                   // first tasks of jobs that waited too long precede others of their priority
	Quota            bool                   // tasks beyond their team's guarantee yield to others' guarantees
	Rollout          bool                   // machines are drained and replaced in steps, by rollout plans
	Recovery         bool                   // commands after a claim are paced, and unreachable machines are recorded
	LeaseTTLRatio    float64                // of the longest safe lease TTL, in (0,1]; 0: 1
}

// MemberIDs lists all members, sorted. Shards have the same names.
func (p Params) MemberIDs() []string {
	all := append([]string{p.MemberID}, p.PeerIDs...)
	slices.Sort(all)
	return all
}
