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

// Now is the time at which an input happened: the steady clock for leases and
// authority, the time of day for what members compare with each other. Both in
// milliseconds.
type Now struct{ MonotonicMS, WallMS int64 }

// Urgency orders requests when the rate budget is short.
type Urgency int

// The urgencies, most urgent first.
const (
	UrgencyLease      Urgency = iota // holds, claims, watches
	UrgencyUser                      // accepts, cancels, results that users wait for
	UrgencyRead                      // polls
	UrgencyBackground                // whatever can wait
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

// Precondition is a condition of a transaction: the key's revision, 0 for none.
type Precondition struct {
	Key      string `msgpack:"Key"`
	Revision uint64 `msgpack:"Rev"`
}

// Change is a put or, without a value, a removal.
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
	StartAfter    string // StoreList: read on behind this key
	Rev           uint64 // StoreWatch: changes behind this revision
	LeaseID       uint64
	DurationMS    int64 // life of a hold, or how long a watch waits
	Preconditions []Precondition
	Changes       []Change
}

// Outcome is how a request ended.
type Outcome = access.Outcome

// The outcomes. Refused and Throttled mean that the request was certainly not
// executed, Unknown that it may have been or may yet be. A watch is Gone if its
// revision is too old, a put if its hold is over.
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
	FailedKeys   []string // Conflict: the keys whose guards failed
	RetryAfterMS int64    // Throttled by the member's own budget: when there is room again
	QueuedMS     int64    // how long the request waited for its turn in that budget
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

// Urgency orders requests to the cloud: work waits for rentals, returns only
// cost money, and lists come again.
func (k CloudOpKind) Urgency() int {
	switch k {
	case CloudProvision, CloudCatalog:
		return 0
	case CloudRelease:
		return 1
	}
	return 2
}

// CloudOp is a request to the cloud.
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

// CloudResult answers a CloudOp.
type CloudResult struct {
	Outcome  Outcome // NotFound: no capacity
	Types    []MachineType
	Machines []string
	List     []CloudMachine
	More     bool
}

// TaskStatus is a task as a worker reports it.
type TaskStatus struct {
	Task         string
	Attempt      uint64
	State        string // fetching, running, waiting, saving, exited
	Reason       string // done, stopped, error, no_room, busy, unknown
	Checkpointed bool
}

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Incarnation, Seq, Token   uint64
	TerminationNoticeS        *float64
	Tasks                     []TaskStatus
}

// CommandKind is what a worker is told to do.
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

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	Accepted   bool   // 200
	RedirectTo string // 421: the member to report to; empty with !Accepted: 503
	Token      uint64
	Commands   []Command
}

// UserRequestKind is what a user asks for.
type UserRequestKind int

// The requests of users.
const (
	SubmitJob UserRequestKind = iota
	QueryJob
	CancelJob
)

// UserRequest is a user's request. A submission whose body was no good still
// carries its id if that could be read: a job that is known is known whatever
// a repeated body says.
type UserRequest struct {
	Kind      UserRequestKind `msgpack:"Kind"`
	ID        string          `msgpack:"ID"`
	Job       *Job            `msgpack:"Job"`
	Malformed string          `msgpack:"Bad"` // why the submission is malformed
	// Preconditions are further conditions of a submission, for subsystems beside the
	// core: with one that fails the job is not accepted (409).
	Preconditions []Precondition `msgpack:"Guards"`
	// Relayed says that a peer asks on its user's behalf: it is not passed on
	// again.
	Relayed bool `msgpack:"Relayed"`
}

// UserResponse answers a user.
type UserResponse struct {
	Status      int      `msgpack:"Status"`
	Error       string   `msgpack:"Error"`
	ID          string   `msgpack:"ID"`
	State       JobState `msgpack:"State"`
	Done        int      `msgpack:"Done"`
	Running     int      `msgpack:"Running"`
	RetryAfterS int      `msgpack:"RetryS"` // >0: when to come back
	// For subsystems beside the core; users are not told.
	FailureReason string `msgpack:"Failed"` // why a cancelled job was given up
	WorkflowRun   string `msgpack:"Run"`    // the run that the job is a step of

	retryableAtPeer bool // the state service, or what comes from it, is missing here: a peer may have it
}

// RelayRequest is a user's request that a peer is asked to answer.
type RelayRequest struct {
	ID      uint64
	Peer    string
	Request UserRequest
}

// DirectCommand is a set of commands sent straight to a worker.
type DirectCommand struct {
	ID          uint64
	Addr        string
	Machine     string
	Token       uint64
	Incarnation uint64
	Commands    []Command
}

// DirectCommandResult answers a Do: OK when the worker carried it out, Conflict when it
// refused all of it, Unknown when it may have been or may yet be carried out.
type DirectCommandResult struct {
	Outcome   Outcome
	Heartbeat *Heartbeat
}

// PeerMessage is what members tell each other, in msgpack.
type PeerMessage struct {
	From               string
	WallMS             int64
	ShardRequestedFrom string               // the member that is asked to hand the sender's shard back
	RolloutCounts      rollout.HealthCounts // what gates of rollouts count, since the sender's start
	ServesUsers        bool                 // the sender has the state service: requests may be relayed to it
	TeamUsage          quota.UsageSnapshot  // what teams use and wait for in the sender's shards
	OmitsSummaries     bool                 // without summaries: the last ones stand
	OwnedShards        []PeerShard
}

// WithoutSummaries is the message without its summaries, for peers whose turn it is not.
func (p *PeerMessage) WithoutSummaries() *PeerMessage {
	stripped := *p
	stripped.OmitsSummaries = true
	stripped.OwnedShards = slices.Clone(p.OwnedShards)
	for i := range stripped.OwnedShards {
		stripped.OwnedShards[i].Summary = nil
	}
	return &stripped
}

// PeerShard is a shard as its holder sees it.
type PeerShard struct {
	Shard             string
	Summary           availability.Summary
	Demands           []CapacityDemand
	TaskCounts        map[string]TaskCounts
	DisruptionDemands map[string]disruption.Demand // by team: what it would stop, and what runs
	MachinesToRelease []string                     // machines that the lead is to return
}

// TaskCounts is how far a job's tasks in one shard are.
type TaskCounts struct {
	Running int `msgpack:"r"`
	Done    int `msgpack:"d"`
}

// CapacityDemand is work that a shard's machines cannot end in time.
type CapacityDemand struct {
	Job           string `json:"Job"      msgpack:"job"`
	Tasks         int    `json:"Count"    msgpack:"n"`
	DeadlineMS    int64  `json:"Deadline" msgpack:"dl"`   // time of day, ms
	TaskRuntimeMS int64  `json:"Length"   msgpack:"len"`  // of a task, without its image
	SpotOnly      bool   `json:"SpotOnly" msgpack:"spot"` // ordinary machines serve it, at a higher price
}

// LogLevel is how much a log line matters.
type LogLevel int

// The levels.
const (
	Debug LogLevel = iota
	Info
	Warn
)

// LogLine is something an operator may want to know.
type LogLine struct {
	Level   LogLevel
	Message string
	Args    []any
}

// Outputs is what the core wants done. The caller takes all of it after each
// input.
type Outputs struct {
	StoreOps           []StoreOp
	CloudOps           []CloudOp
	DirectCommands     []DirectCommand
	HeartbeatResponses map[uint64]HeartbeatResponse
	UserResponses      map[uint64]UserResponse
	PeerMessage        *PeerMessage // to all others
	SummaryRecipients  []string     // those of them that get the summaries too; nil: all
	Relays             []RelayRequest
	Logs               []LogLine
}
