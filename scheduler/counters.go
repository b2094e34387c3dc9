package scheduler

// Counters counts what operators watch, since the start of the member. The groups are
// embedded, so that the JSON form is flat; its names and their order are fixed.
type Counters struct {
	PlacementCounters
	JobCounters
	RequestCounters
	RecoveryCounters
}

// PlacementCounters counts starts of tasks, and machines and shards won and lost.
type PlacementCounters struct {
	Starts      uint64 `json:"starts"`
	LostTasks   uint64 `json:"lost"`   // with their machine
	Errors      uint64 `json:"errors"` // tasks that exited with an error
	Claims      uint64 `json:"claims"` // of shards
	Provisioned uint64 `json:"rented"` // machines
	Released    uint64 `json:"returned"`
	MovedTasks  uint64 `json:"moved"` // moves of tasks to a peer's shard
	Replans     uint64 `json:"replans"`
}

// JobCounters counts what became of jobs and their tasks.
type JobCounters struct {
	Accepted  uint64 `json:"accepted"`
	Finished  uint64 `json:"finished"`
	Preempted uint64 `json:"preempted"`
}

// RequestCounters counts how users' requests were answered.
type RequestCounters struct {
	UnavailableResponses uint64 `json:"refused"` // 503
	Relayed              uint64 `json:"relayed"`
	QueryBatches         uint64 `json:"read_batches"` // reads shared by several queries
	ShedSubmissions      uint64 `json:"shed"`
}

// RecoveryCounters counts what takeovers, faults and reclaims brought.
type RecoveryCounters struct {
	AdoptedTasks         uint64 `json:"adopted"`    // tasks of earlier claims that go on
	OrphanedTasks        uint64 `json:"strays"`     // tasks that no range of this member wants
	ReclaimedTasks       uint64 `json:"ceded"`      // tasks stopped for another team's guarantee
	InDoubtWrites        uint64 `json:"in_doubt"`   // writes whose outcome was unknown at first
	StaleHeartbeats      uint64 `json:"old_report"` // heartbeats that were no newer than an earlier one
	ConfirmedSubmissions uint64 `json:"confirmed"`  // submissions answered by their record, before their write ended
	UndeliveredStarts    uint64 `json:"unheard"`    // starts in a heartbeat response that the worker did not receive
}
