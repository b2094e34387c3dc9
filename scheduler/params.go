package scheduler

import "slices"

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	CPUs, GPUs       float64
	MaxCPUs, MaxGPUs float64
}

// Objective is an aim for a class of jobs. Kind is deadline, wait, finished or
// guarantee; others are ignored.
type Objective struct {
	Kind           string
	WithinS        float64
	DeadlineFactor float64 // deadline: the deadline times this
}

// Params is what a core needs of the settings.
type Params struct {
	MemberID         string
	Zone             string
	PeerIDs          []string
	Teams            map[string]Team
	Objectives       map[string][]Objective // by class
	GuaranteeWithinS float64                // work within a guarantee starts this soon; 0: no such aim
	HeartbeatS       float64
	LeaseS           float64
	CancelWithinS    float64
	CPUShare         float64 // of one core; 0: not limited
	Debug            bool    // debug lines are wanted
	MaxValueBytes    int
	MaxTxnOps        int
	CloudListLagS    float64
	StoreChangeRate  float64 // changes a second that the state service allows this member; 0: submissions are written one by one
	MaxPendingRelays int     // users' requests that peers may be answering at once; 0: none
	Aging            bool    // first tasks of jobs that waited too long to begin go before their equals
	Quota            bool    // teams get their guarantees by what others run beyond theirs
	Rollout          bool    // machines are drained and replaced in steps, by plans
	Recovery         bool    // orders after a claim are paced, and what reports do not say is remembered
	LeaseTTLRatio    float64 // life of holds, against the longest that is safe; 0: that
}

// MemberIDs lists the members, whose names are the shards', in order.
func (p Params) MemberIDs() []string {
	all := append([]string{p.MemberID}, p.PeerIDs...)
	slices.Sort(all)
	return all
}
