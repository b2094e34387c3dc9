package scheduler

// Counters counts what operators watch.
type Counters struct {
	Starts               uint64 `json:"starts"`
	LostTasks            uint64 `json:"lost"`
	Errors               uint64 `json:"errors"`
	Claims               uint64 `json:"claims"`
	Provisioned          uint64 `json:"rented"`
	Released             uint64 `json:"returned"`
	MovedTasks           uint64 `json:"moved"`
	Replans              uint64 `json:"replans"`
	Accepted             uint64 `json:"accepted"`
	Finished             uint64 `json:"finished"`
	Preempted            uint64 `json:"preempted"`
	UnavailableResponses uint64 `json:"refused"`
	Relayed              uint64 `json:"relayed"`
	QueryBatches         uint64 `json:"read_batches"` // of users' questions that shared a read
	ShedSubmissions      uint64 `json:"shed"`
	AdoptedTasks         uint64 `json:"adopted"`    // tasks of earlier claims that go on
	OrphanedTasks        uint64 `json:"strays"`     // tasks that were not ours to keep
	ReclaimedTasks       uint64 `json:"ceded"`      // tasks stopped for another team's guarantee
	InDoubtWrites        uint64 `json:"in_doubt"`   // writes of which nobody said whether they were carried out
	StaleHeartbeats      uint64 `json:"old_report"` // reports that were no newer than another
	ConfirmedSubmissions uint64 `json:"confirmed"`  // submissions answered by their record, with no answer to their write
	UndeliveredStarts    uint64 `json:"unheard"`    // starts in the answer to a report that its worker did not hear
}
