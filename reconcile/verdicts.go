package reconcile

// TaskState is the state of a task according to the store and the present claim.
type TaskState int

// The states of a task.
const (
	Unassigned TaskState = iota
	Assigned
	Transferring
	Completed
	ResultStored
	Obsolete
	TaskStateCount int = iota
)

func (s TaskState) String() string {
	return [...]string{"Unassigned", "Assigned", "Transferring", "Completed", "ResultStored", "Obsolete"}[s]
}

// Observation is what a heartbeat shows of an attempt.
type Observation int

// What a heartbeat shows.
const (
	Active           Observation = iota // it runs, fetches its image, waits or saves
	Succeeded                           // it exited and its task is done
	Terminated                          // it exited otherwise
	ObservationCount int         = iota
)

func (o Observation) String() string { return [...]string{"Active", "Succeeded", "Terminated"}[o] }

// Verdict is what becomes of an attempt that this claim did not start.
type Verdict int

// The verdicts.
const (
	Adopt            Verdict = iota // it goes on as an attempt of this claim
	Stop                            // it must end
	RecordCompletion                // its task is done; the machine keeps the result until that is stored
	Keep                            // nothing changes until its result is stored
	Clear                           // the machine may forget it
)

func (v Verdict) String() string {
	return [...]string{"Adopt", "Stop", "RecordCompletion", "Keep", "Clear"}[v]
}

// verdicts is the table of the package comment.
var verdicts = [TaskStateCount][ObservationCount]Verdict{
	Unassigned:   {Adopt, RecordCompletion, Clear},
	Assigned:     {Stop, RecordCompletion, Clear},
	Transferring: {Stop, RecordCompletion, Clear},
	Completed:    {Stop, Keep, Clear},
	ResultStored: {Stop, Clear, Clear},
	Obsolete:     {Stop, Clear, Clear},
}

// VerdictCounts counts verdicts by the task's state and by what was observed.
type VerdictCounts [TaskStateCount][ObservationCount]uint64

// DecideVerdict returns, and counts, what becomes of an attempt that this claim did not start.
func (c *Claim) DecideVerdict(state TaskState, observation Observation) Verdict {
	c.VerdictCounts[state][observation]++
	return verdicts[state][observation]
}
