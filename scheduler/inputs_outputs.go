package scheduler

import (
	"encoding/json"
	"slices"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/rollout"
)

// Now is the time of an input in milliseconds. Leases and authority use monotonic time;
// timestamps that members compare with each other use wall-clock time.
type Now struct{ MonotonicMS, WallMS int64 }

// Urgency orders the requests that wait for the rate limit.
type Urgency int

// The urgencies, most urgent first.
const (
	UrgencyLease      Urgency = iota // leases, claims, watches
	UrgencyUser                      // submissions, cancellations, job results, and other requests that users wait for
	UrgencyRead                      // user queries
	UrgencyBackground                // requests that can be delayed
)

// StoreOpKind is the kind of a request to the state service.
type StoreOpKind int

// The kinds of requests to the state service.
const (
	StoreGet StoreOpKind = iota
	StoreList
	StoreTxn
	StoreGrantLease
	StoreRenewLease
	StoreWatch
)

// Precondition is a condition of a transaction: the key has this revision, or does not exist if Revision is 0.
type Precondition struct {
	Key      string `msgpack:"Key"`
	Revision uint64 `msgpack:"Rev"`
}

// Change is a put or, without a value, a removal. The state service removes a key that was
// put with a LeaseID when that lease ends.
type Change struct {
	Key     string
	Value   json.RawMessage
	LeaseID uint64
}

// StoreOp is a request to the state service.
type StoreOp struct {
	ID            uint64
	Kind          StoreOpKind
	Urgency       Urgency
	Key           string // the key; the prefix for StoreList and StoreWatch
	StartAfter    string // StoreList: return only keys after this one
	Rev           uint64 // StoreWatch: return changes after this revision
	LeaseID       uint64
	DurationMS    int64 // TTL of a lease, or maximum wait of a watch
	Preconditions []Precondition
	Changes       []Change
}

// Outcome is the outcome of a request.
type Outcome = access.Outcome

// The outcomes. Refused and Throttled mean that the service did not execute the request.
// Unknown means that the service may have executed it or may still do so. A watch returns
// Gone if its revision is too old, a put if its lease has ended.
const (
	OK        = access.OK
	NotFound  = access.NotFound
	Conflict  = access.Conflict
	Gone      = access.Gone
	Refused   = access.Refused
	Throttled = access.Throttled
	Unknown   = access.Unknown
)

// KeyValue is a key with its value and revision. A watch reports a removal without a value.
type KeyValue struct {
	Key   string
	Value json.RawMessage
	Rev   uint64
}

// StoreResult is the result of a StoreOp.
type StoreResult struct {
	Outcome      Outcome
	Rev          uint64
	LeaseID      uint64
	KVs          []KeyValue
	More         bool
	FailedKeys   []string // Conflict: keys whose preconditions failed
	RetryAfterMS int64    // Throttled by the member's own rate limit: delay before a retry
	QueuedMS     int64    // time that the request waited for that rate limit

	notBeforeMS int64 // monotonic time; the service processed the request no earlier
}

// CloudOpKind is the kind of a request to the cloud.
type CloudOpKind int

// The kinds of requests to the cloud.
const (
	CloudCatalog CloudOpKind = iota
	CloudList
	CloudProvision
	CloudRelease
)

// Urgency returns the rank of a request to the cloud; the most urgent has rank 0. Tasks
// wait for provisioning, a late release only costs money, and lists are repeated anyway.
func (k CloudOpKind) Urgency() int {
	switch k {
	case CloudProvision, CloudCatalog:
		return 0
	case CloudRelease:
		return 1
	}
	return 2
}

// CloudOp is a request to the cloud. IdempotencyKey makes it safe to repeat a CloudProvision.
type CloudOp struct {
	ID             uint64
	Kind           CloudOpKind
	StartAfter     string
	IdempotencyKey string
	Type           string
	Zone           string
	Spot           bool
	Count          int
	Machines       []string
}

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	ID, Addr, Type, Zone string
	Spot                 bool
	State                string // booting, running, failed
	AgeS                 float64
}

// CloudResult is the result of a CloudOp.
type CloudResult struct {
	Outcome  Outcome // NotFound: no capacity
	Types    []MachineType
	Machines []string
	List     []CloudMachine
	More     bool
}

// TaskStatus is the status of a task attempt as reported by a worker.
type TaskStatus struct {
	Task         string
	Attempt      uint64
	State        string // fetching, running, waiting (for the rest of its gang), saving (a checkpoint), exited
	Reason       string // done, stopped, error, no_room, busy, unknown
	Checkpointed bool
}

// Heartbeat is a worker's report on itself and all its tasks. Incarnation identifies the
// worker's process; a later process has a higher one. Seq orders the heartbeats of one
// incarnation. Token is the highest fencing token that the worker has accepted.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Incarnation, Seq, Token   uint64
	TerminationNoticeS        *float64 // seconds until the cloud terminates a spot machine; nil: no notice
	Tasks                     []TaskStatus
}

// CommandKind is the kind of a command to a worker.
type CommandKind string

// The commands.
const (
	CommandStart CommandKind = "start"  // start the attempt
	CommandStop  CommandKind = "stop"   // stop the attempt; it has GraceS seconds to write a checkpoint
	CommandClear CommandKind = "forget" // stop reporting an attempt that has exited
)

// Command is a command to a worker about one task attempt.
type Command struct {
	Kind    CommandKind
	Task    string
	Attempt uint64
	GraceS  float64
}

// HeartbeatResponse is the response to a heartbeat. If Accepted, it renews the worker's lease.
type HeartbeatResponse struct {
	Accepted   bool   // 200
	RedirectTo string // 421: the member to send heartbeats to. If empty and !Accepted: 503
	Token      uint64
	Commands   []Command
}

// UserRequestKind is the kind of a user request.
type UserRequestKind int

// The kinds of user requests.
const (
	SubmitJob UserRequestKind = iota
	QueryJob
	CancelJob
)

// UserRequest is a user request. A submission with a malformed body still has its ID if the
// ID could be parsed: a repeated submission of a known job is answered with the job's
// state, regardless of its body.
type UserRequest struct {
	Kind      UserRequestKind `msgpack:"Kind"`
	ID        string          `msgpack:"ID"`
	Job       *Job            `msgpack:"Job"`
	Malformed string          `msgpack:"Bad"` // why the submission is malformed
	// Preconditions are additional conditions of a submission, used by extensions. If one
	// fails, the job is rejected with status 409.
	Preconditions []Precondition `msgpack:"Guards"`
	// Relayed is set on a request that a peer relayed, which must not be relayed again.
	Relayed bool `msgpack:"Relayed"`
}

// UserResponse is the response to a UserRequest. Status is an HTTP status code.
type UserResponse struct {
	Status      int      `msgpack:"Status"`
	Error       string   `msgpack:"Error"`
	ID          string   `msgpack:"ID"`
	State       JobState `msgpack:"State"`
	Done        int      `msgpack:"Done"`
	Running     int      `msgpack:"Running"`
	RetryAfterS int      `msgpack:"RetryS"` // seconds until the user should retry; 0: not set
	// Fields for extensions, which are not returned to users.
	FailureReason string `msgpack:"Failed"` // why the Controller cancelled the job
	WorkflowRun   string `msgpack:"Run"`    // the workflow run that the job belongs to
	// Fields of a response to a relayed request, for the member that relayed it: the least time in ms
	// from the request to the observation of the state service, and the observed revision.
	ObservedAfterMS  int64  `msgpack:"ObservedAfter"`
	ObservedRevision uint64 `msgpack:"ObservedRev"`

	observed        observation
	retryableAtPeer bool // caused by this member's access to the state service: a peer may succeed
}

// RelayRequest is a user request for a peer to answer.
type RelayRequest struct {
	ID      uint64
	Peer    string // member ID
	Request UserRequest
}

// DirectCommand is a set of commands that is sent to a worker without waiting for its next heartbeat. Without
// commands, it is a query for the worker's tasks.
type DirectCommand struct {
	ID          uint64
	Addr        string
	Machine     string
	Token       uint64
	Incarnation uint64
	Commands    []Command
}

// DirectCommandResult is the result of a DirectCommand. Outcome is OK if the worker carried
// out the commands, Conflict if it refused all of them, and Unknown if it may have carried
// them out or may still do so. Heartbeat is the worker's state after the commands, or nil
// if unknown.
type DirectCommandResult struct {
	Outcome   Outcome
	Heartbeat *Heartbeat
}

// PeerMessage is the periodic message from a member to all its peers, encoded as msgpack.
type PeerMessage struct {
	From               string
	WallMS             int64
	ShardRequestedFrom string               // the member that owns the sender's shard and should release it
	RolloutCounts      rollout.HealthCounts // input to the rollouts' health gates, since the sender started
	ServesUsers        bool                 // user requests may be relayed to the sender
	TeamUsage          quota.UsageSnapshot  // used and requested resources in the sender's shards, by team
	OmitsSummaries     bool                 // the message has no summaries; the last ones remain valid
	OwnedShards        []PeerShard
	FastestWriteMS     int64 // latency of the sender's fastest recent write to the state service, 0: not known
}

// WithoutSummaries returns a copy of the message without summaries, for peers that are not
// in Outputs.SummaryRecipients.
func (p *PeerMessage) WithoutSummaries() *PeerMessage {
	stripped := *p
	stripped.OmitsSummaries = true
	stripped.OwnedShards = slices.Clone(p.OwnedShards)
	for i := range stripped.OwnedShards {
		stripped.OwnedShards[i].Summary = nil
	}
	return &stripped
}

// PeerShard is the state of a shard as published by its owner.
type PeerShard struct {
	Shard             string
	Summary           availability.Summary
	Demands           []CapacityDemand
	TaskCounts        map[string]TaskCounts
	DisruptionDemands map[string]disruption.Demand // disruptions requested for rollouts, by team
	MachinesToRelease []string                     // machines that the leader should release
}

// TaskCounts contains the numbers of a job's running and done tasks in one shard.
type TaskCounts struct {
	Running int `msgpack:"r"`
	Done    int `msgpack:"d"`
}

// CapacityDemand is a group of tasks that a shard's machines cannot finish in time.
type CapacityDemand struct {
	Job           string `json:"Job"      msgpack:"job"`
	Tasks         int    `json:"Count"    msgpack:"n"`
	DeadlineMS    int64  `json:"Deadline" msgpack:"dl"`   // wall-clock time in ms
	TaskRuntimeMS int64  `json:"Length"   msgpack:"len"`  // runtime of one task, without the image fetch
	SpotOnly      bool   `json:"SpotOnly" msgpack:"spot"` // on-demand machines can run the tasks, at a higher price
}

// LogLevel is the severity of a log line.
type LogLevel int

// The log levels, lowest first.
const (
	Debug LogLevel = iota
	Info
	Warn
)

// LogLine is a log line: a constant message, and attributes as alternating keys and values.
type LogLine struct {
	Level   LogLevel
	Message string
	Args    []any
}

// Outputs contains the actions that the Controller requests. The caller takes all of them
// after each input, and returns results under the IDs of the requests. Responses are
// keyed by the reply ID that the caller passed with the request.
type Outputs struct {
	StoreOps           []StoreOp
	CloudOps           []CloudOp
	DirectCommands     []DirectCommand
	HeartbeatResponses map[uint64]HeartbeatResponse
	UserResponses      map[uint64]UserResponse
	PeerMessage        *PeerMessage // message to all peers; nil: none
	SummaryRecipients  []string     // members that get the summaries of PeerMessage; nil: all
	Relays             []RelayRequest
	Logs               []LogLine
}
