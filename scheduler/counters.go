package scheduler

// Counters contains the event counts for operators since the start of the member. The
// groups are embedded so that the JSON object is flat. Its field names and their order
// are fixed.
type Counters struct {
	PlacementCounters
	JobCounters
	RequestCounters
	RecoveryCounters
	CommandCounters
	LimitCounters
	ConfirmationCounters
}

// PlacementCounters counts task starts and losses, shard claims, and provisioned and released machines.
type PlacementCounters struct {
	Starts      uint64 `json:"starts"`
	LostTasks   uint64 `json:"lost"`     // tasks lost with their machine
	Errors      uint64 `json:"errors"`   // tasks that exited with an error
	Claims      uint64 `json:"claims"`   // shard claims
	Provisioned uint64 `json:"rented"`   // machines provisioned
	Released    uint64 `json:"returned"` // machines released
	MovedTasks  uint64 `json:"moved"`    // moves of part of a task range to a peer's shard
	Replans     uint64 `json:"replans"`
}

// JobCounters counts accepted and finished jobs, and preempted tasks.
type JobCounters struct {
	Accepted  uint64 `json:"accepted"`
	Finished  uint64 `json:"finished"`
	Preempted uint64 `json:"preempted"`
}

// RequestCounters counts the outcomes of user requests.
type RequestCounters struct {
	UnavailableResponses uint64 `json:"refused"` // 503 responses
	Relayed              uint64 `json:"relayed"`
	QueryBatches         uint64 `json:"read_batches"` // reads of the state service shared by several queries
	ShedSubmissions      uint64 `json:"shed"`
}

// RecoveryCounters counts the effects of takeovers, faults and reclaims.
type RecoveryCounters struct {
	AdoptedTasks         uint64 `json:"adopted"`    // tasks started under an earlier claim that continue to run
	OrphanedTasks        uint64 `json:"strays"`     // orphaned tasks: attempts that no task range of this member needs
	ReclaimedTasks       uint64 `json:"ceded"`      // tasks stopped for another team's guarantee
	InDoubtWrites        uint64 `json:"in_doubt"`   // writes whose first request had an unknown outcome
	StaleHeartbeats      uint64 `json:"old_report"` // heartbeats not newer than one received before
	ConfirmedSubmissions uint64 `json:"confirmed"`  // submissions answered from their record before the write ended
	UndeliveredStarts    uint64 `json:"unheard"`    // starts in heartbeat responses that workers did not receive
}

// CommandCounters counts direct commands by outcome, clears by reason and raises of a shard's fencing token by
// reason.
type CommandCounters struct {
	DirectCommandsExecuted uint64 `json:"direct_executed"`
	DirectCommandsRefused  uint64 `json:"direct_refused"` // the worker has a higher token or another incarnation
	DirectCommandsUnknown  uint64 `json:"direct_unknown"` // no answer: they may be executed later
	ClearedAttempts        uint64 `json:"cleared"`        // clears of attempts of this claim
	ClearedUnowned         uint64 `json:"cleared_stray"`  // clears of attempts that this claim does not own
	RaisesForUnanswered    uint64 `json:"raised_unanswered"`
	RaisesForAttemptIDs    uint64 `json:"raised_ids"`
	RaisesForClears        uint64 `json:"raised_clears"`
	StartedByCopy          uint64 `json:"started_by_copy"` // attempts that a late copy of a command started again
}

// LimitCounters counts events that concern teams' limits.
type LimitCounters struct {
	// OverAllocations counts reports that showed more of a team in a shard than its allocation.
	OverAllocations uint64 `json:"over_allocation"`
}

// ConfirmationCounters counts responses to users that may have been older than an earlier response.
type ConfirmationCounters struct {
	LateResponses uint64 `json:"late_responses"` // responses that a new read had to confirm
}
