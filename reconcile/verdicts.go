package reconcile

// TaskState is the state of a task according to the state store and the current claim.
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

// IsFinal reports whether the task never needs another attempt, so that each of its attempts must end,
// however old the heartbeat is that reports it.
func (s TaskState) IsFinal() bool { return s == Completed || s == ResultStored || s == Obsolete }

// Observation is the state of an attempt that a heartbeat reports.
type Observation int

// The observations.
const (
	Active           Observation = iota // it runs, pulls its image, waits or saves a checkpoint
	Succeeded                           // it exited and its task is complete
	Terminated                          // it exited without completing its task
	ObservationCount int         = iota
)

func (o Observation) String() string { return [...]string{"Active", "Succeeded", "Terminated"}[o] }

// Verdict is the decision on an attempt that this claim did not start.
type Verdict int

// The verdicts.
const (
	Adopt            Verdict = iota // it continues as an attempt of this claim
	Stop                            // it must end
	RecordCompletion                // its task is complete; the machine keeps the result until the result is stored
	Keep                            // the machine keeps it until its result is stored
	Clear                           // the machine may delete its record of the attempt
)

func (v Verdict) String() string {
	return [...]string{"Adopt", "Stop", "RecordCompletion", "Keep", "Clear"}[v]
}

// verdicts is the table in the package comment.
var verdicts = [TaskStateCount][ObservationCount]Verdict{
	Unassigned:   {Adopt, RecordCompletion, Clear},
	Assigned:     {Stop, RecordCompletion, Clear},
	Transferring: {Stop, RecordCompletion, Clear},
	Completed:    {Stop, Keep, Clear},
	ResultStored: {Stop, Clear, Clear},
	Obsolete:     {Stop, Clear, Clear},
}

// VerdictCounts counts verdicts by task state and observation.
type VerdictCounts [TaskStateCount][ObservationCount]uint64

// DecideVerdict returns the verdict on an attempt that this claim did not start, and counts it.
func (c *Claim) DecideVerdict(state TaskState, observation Observation) Verdict {
	c.VerdictCounts[state][observation]++
	return verdicts[state][observation]
}
