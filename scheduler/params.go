package scheduler

import "slices"

// Team is the guarantee (CPUs, GPUs) and the limit (MaxCPUs, MaxGPUs) of a team; 0 means none.
type Team struct {
	CPUs, GPUs       float64
	MaxCPUs, MaxGPUs float64
}

// The kinds of objectives that the scheduler takes into account.
const (
	deadlineObjective = "deadline" // done within the job's deadline times a factor
	startObjective    = "wait"     // first start within a given time after submission
	finishObjective   = "finished" // done within a given time after submission
)

// Objective is a service level objective (SLO) of a job class. Kind is deadline, wait,
// finished or guarantee; other kinds are ignored.
type Objective struct {
	Kind           string
	WithinS        float64
	DeadlineFactor float64 // multiplier of the job's deadline, for kind deadline
}

// Params is the part of the member's configuration that the Controller needs. It does not
// change while the member runs.
type Params struct {
	MemberID         string
	Zone             string
	PeerIDs          []string
	Teams            map[string]Team
	Objectives       map[string][]Objective // by job class
	GuaranteeWithinS float64                // start objective of work within a guarantee; 0: none
	HeartbeatS       float64                // heartbeat interval of the workers
	LeaseS           float64                // lease of a worker; it stops its tasks this long after the last response
	CancelWithinS    float64                // bound on stopping a cancelled job's tasks, during any outage
	CPUShare         float64                // share of one CPU core; 0: not limited
	Debug            bool                   // emit debug log lines
	MaxValueBytes    int                    // maximum size of a value in the state service
	MaxTxnOps        int                    // maximum number of changes in a transaction of the state service
	CloudListLagS    float64                // maximum staleness of the cloud's machine list
	StoreChangeRate  float64                // changes per second in the state service; 0: write submissions one by one
	MaxPendingRelays int                    // maximum number of user requests relayed to peers at once; 0: none
	Aging            bool                   // place first tasks of large, long-waiting jobs first in their priority
	Quota            bool                   // stop tasks beyond their team's guarantee to meet other teams' guarantees
	Rollout          bool                   // drain and replace machines in steps, by rollout plans
	Recovery         bool                   // pace commands after a claim, and record unreachable machines
	LeaseTTLRatio    float64                // fraction of the longest safe lease TTL, in (0,1]; 0 means 1
}

// MemberIDs returns the IDs of all members, sorted. The shards have the same names.
func (p Params) MemberIDs() []string {
	all := append([]string{p.MemberID}, p.PeerIDs...)
	slices.Sort(all)
	return all
}
