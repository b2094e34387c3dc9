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

// Now is the time at which an input happened, in milliseconds: monotonic time for
// leases and authority, the time of day for what members compare with each other.
type Now struct{ MonotonicMS, WallMS int64 }

// Urgency orders requests when the rate budget is short.
type Urgency int

// The urgencies, most urgent first.
const (
	UrgencyLease      Urgency = iota // leases, claims, watches
	UrgencyUser                      // submissions, cancellations, results that users wait for
	UrgencyRead                      // users' queries
	UrgencyBackground                // all that can wait
)

// StoreOpKind is an operation of the state service.
type StoreOpKind int

// The operations of the state service.
const (
	StoreGet StoreOpKind = iota
	StoreList
	StoreTxn
	StoreGrantLease
	StoreRenewLease
	StoreWatch
)

// Precondition is a condition of a transaction: the key has this revision; 0: it does not exist.
type Precondition struct {
	Key      string `msgpack:"Key"`
	Revision uint64 `msgpack:"Rev"`
}

// Change is a put or, without a value, a removal. A put with a LeaseID is removed when
// the lease ends.
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
	Key           string // the key, or the prefix
	StartAfter    string // StoreList: only keys after this one
	Rev           uint64 // StoreWatch: changes after this revision
	LeaseID       uint64
	DurationMS    int64 // TTL of a lease, or how long a watch waits
	Preconditions []Precondition
	Changes       []Change
}

// Outcome is how a request ended.
type Outcome = access.Outcome

// The outcomes. Refused and Throttled mean that the request was certainly not
// executed, Unknown that it may have been or may still be. A watch is Gone if its
// revision is too old, a put if its lease has ended.
const (
	OK        = access.OK
	NotFound  = access.NotFound
	Conflict  = access.Conflict
	Gone      = access.Gone
	Refused   = access.Refused
	Throttled = access.Throttled
	Unknown   = access.Unknown
)

// KeyValue is a key with its value; a watch reports removals without one.
type KeyValue struct {
	Key   string
	Value json.RawMessage
	Rev   uint64
}

// StoreResult answers a StoreOp.
type StoreResult struct {
	Outcome      Outcome
	Rev          uint64
	LeaseID      uint64
	KVs          []KeyValue
	More         bool
	FailedKeys   []string // Conflict: the keys whose preconditions failed
	RetryAfterMS int64    // Throttled by the member's own rate limit: when to try again
	QueuedMS     int64    // how long the request waited for that rate limit
}

// CloudOpKind is an operation of the cloud.
type CloudOpKind int

// The operations of the cloud.
const (
	CloudCatalog CloudOpKind = iota
	CloudList
	CloudProvision
	CloudRelease
)

// Urgency orders requests to the cloud, the most urgent first: tasks wait for
// provisioning, late releases only cost money, and lists are repeated.
func (k CloudOpKind) Urgency() int {
	switch k {
	case CloudProvision, CloudCatalog:
		return 0
	case CloudRelease:
		return 1
	}
	return 2
}

// CloudOp is a request to the cloud. IdempotencyKey makes a repeated CloudProvision safe.
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

// CloudMachine is a machine in the list of the cloud.
type CloudMachine struct {
	ID, Addr, Type, Zone string
	Spot                 bool
	State                string // booting, running, failed
	AgeS                 float64
}

// CloudResult answers a CloudOp.
type CloudResult struct {
	Outcome  Outcome // NotFound: no capacity
	Types    []MachineType
	Machines []string
	List     []CloudMachine
	More     bool
}

// TaskStatus is an attempt of a task as a worker reports it.
type TaskStatus struct {
	Task         string
	Attempt      uint64
	State        string // fetching, running, waiting, saving, exited
	Reason       string // done, stopped, error, no_room, busy, unknown
	Checkpointed bool
}

// Heartbeat is a worker's report of itself and of all its tasks. Incarnation is that of
// the worker's process, higher for a later one; Seq orders the heartbeats of one; Token is
// the fencing token that the worker obeys.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Incarnation, Seq, Token   uint64
	TerminationNoticeS        *float64
	Tasks                     []TaskStatus
}

// CommandKind is the kind of a command to a worker.
type CommandKind string

// The commands.
const (
	CommandStart  CommandKind = "start"
	CommandStop   CommandKind = "stop"
	CommandForget CommandKind = "forget"
)

// Command is a command to a worker.
type Command struct {
	Kind    CommandKind
	Task    string
	Attempt uint64
	GraceS  float64
}

// HeartbeatResponse answers a heartbeat. An accepted one renews the worker's lease.
type HeartbeatResponse struct {
	Accepted   bool   // 200
	RedirectTo string // 421: the member to send heartbeats to; empty with !Accepted: 503
	Token      uint64
	Commands   []Command
}

// UserRequestKind is the kind of a user's request.
type UserRequestKind int

// The requests of users.
const (
	SubmitJob UserRequestKind = iota
	QueryJob
	CancelJob
)

// UserRequest is a user's request. A submission with a malformed body still carries
// its ID if that could be read: a repeated submission of a known job is answered with
// the job's state, whatever its body is.
type UserRequest struct {
	Kind      UserRequestKind `msgpack:"Kind"`
	ID        string          `msgpack:"ID"`
	Job       *Job            `msgpack:"Job"`
	Malformed string          `msgpack:"Bad"` // why the submission is malformed
	// Preconditions are further conditions of a submission, for subsystems beside the
	// core: if one fails, the job is not accepted (409).
	Preconditions []Precondition `msgpack:"Guards"`
	// Relayed means that a peer relayed the request: it is not relayed again.
	Relayed bool `msgpack:"Relayed"`
}

// UserResponse answers a UserRequest. Status is that of HTTP.
type UserResponse struct {
	Status      int      `msgpack:"Status"`
	Error       string   `msgpack:"Error"`
	ID          string   `msgpack:"ID"`
	State       JobState `msgpack:"State"`
	Done        int      `msgpack:"Done"`
	Running     int      `msgpack:"Running"`
	RetryAfterS int      `msgpack:"RetryS"` // seconds until the request may be repeated; 0: not given
	// For subsystems beside the core; users do not see them.
	FailureReason string `msgpack:"Failed"` // why the core cancelled the job
	WorkflowRun   string `msgpack:"Run"`    // the workflow run that the job is a step of

	retryableAtPeer bool // the fault is this member's access to the state service: a peer may do better
}

// RelayRequest is a user's request that a peer is to answer.
type RelayRequest struct {
	ID      uint64
	Peer    string
	Request UserRequest
}

// DirectCommand is a set of commands sent to a worker without waiting for its heartbeat.
type DirectCommand struct {
	ID          uint64
	Addr        string
	Machine     string
	Token       uint64
	Incarnation uint64
	Commands    []Command
}

// DirectCommandResult answers a DirectCommand: OK when the worker carried it out, Conflict
// when it refused all of it, Unknown when it may have been or may still be carried out.
// Heartbeat is the worker's state after it, nil if unknown.
type DirectCommandResult struct {
	Outcome   Outcome
	Heartbeat *Heartbeat
}

// PeerMessage is what each member sends to all others, in msgpack.
type PeerMessage struct {
	From               string
	WallMS             int64
	ShardRequestedFrom string               // the member that owns the sender's shard and is to release it
	RolloutCounts      rollout.HealthCounts // input of the rollouts' health gates, since the sender's start
	ServesUsers        bool                 // users' requests may be relayed to the sender
	TeamUsage          quota.UsageSnapshot  // by team, used and requested resources in the sender's shards
	OmitsSummaries     bool                 // without summaries: the last ones remain valid
	OwnedShards        []PeerShard
}

// WithoutSummaries is a copy of the message without its summaries, for peers that are not
// among the SummaryRecipients.
func (p *PeerMessage) WithoutSummaries() *PeerMessage {
	stripped := *p
	stripped.OmitsSummaries = true
	stripped.OwnedShards = slices.Clone(p.OwnedShards)
	for i := range stripped.OwnedShards {
		stripped.OwnedShards[i].Summary = nil
	}
	return &stripped
}

// PeerShard is a shard as its owner sees it.
type PeerShard struct {
	Shard             string
	Summary           availability.Summary
	Demands           []CapacityDemand
	TaskCounts        map[string]TaskCounts
	DisruptionDemands map[string]disruption.Demand // by team, for rollouts
	MachinesToRelease []string                     // machines that the leader is to release
}

// TaskCounts is the progress of a job's tasks in one shard.
type TaskCounts struct {
	Running int `msgpack:"r"`
	Done    int `msgpack:"d"`
}

// CapacityDemand is work that a shard's machines cannot finish in time.
type CapacityDemand struct {
	Job           string `json:"Job"      msgpack:"job"`
	Tasks         int    `json:"Count"    msgpack:"n"`
	DeadlineMS    int64  `json:"Deadline" msgpack:"dl"`   // time of day, ms
	TaskRuntimeMS int64  `json:"Length"   msgpack:"len"`  // of a task, without fetching its image
	SpotOnly      bool   `json:"SpotOnly" msgpack:"spot"` // on-demand machines could run it, at a higher price
}

// LogLevel is the severity of a log line.
type LogLevel int

// The log levels, lowest first.
const (
	Debug LogLevel = iota
	Info
	Warn
)

// LogLine is a log line: a fixed message, and attributes as keys and values in turn.
type LogLine struct {
	Level   LogLevel
	Message string
	Args    []any
}

// Outputs is what the core wants done. The caller takes all of it after each
// input, and passes results back under the IDs of the requests; responses are by the
// reply ID that came with the request.
type Outputs struct {
	StoreOps           []StoreOp
	CloudOps           []CloudOp
	DirectCommands     []DirectCommand
	HeartbeatResponses map[uint64]HeartbeatResponse
	UserResponses      map[uint64]UserResponse
	PeerMessage        *PeerMessage // to all other members; nil: none now
	SummaryRecipients  []string     // of PeerMessage: members that get its summaries; nil: all
	Relays             []RelayRequest
	Logs               []LogLine
}
