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
type Now struct{ Steady, Wall int64 }

// Urgency orders requests when the rate budget is short.
type Urgency int

// The urgencies, most urgent first.
const (
	Holds    Urgency = iota // holds, claims, watches
	Answers                 // accepts, cancels, results that users wait for
	Reads                   // polls
	Progress                // whatever can wait
)

// StoreKind is an operation of the state service.
type StoreKind int

// The operations of the state service.
const (
	StoreGet StoreKind = iota
	StoreList
	StoreTxn
	StoreHold
	StoreExtend
	StoreWatch
)

// Guard is a condition of a transaction: the key's revision, 0 for none.
type Guard struct {
	Key string `msgpack:"Key"`
	Rev uint64 `msgpack:"Rev"`
}

// Change is a put or, without a value, a removal.
type Change struct {
	Key   string
	Value json.RawMessage
	Hold  uint64
}

// StoreOp is a request to the state service.
type StoreOp struct {
	ID      uint64
	Kind    StoreKind
	Urgency Urgency
	Key     string // the key, or the prefix
	From    string // StoreList: read on behind this key
	Rev     uint64 // StoreWatch: changes behind this revision
	Hold    uint64
	MS      int64 // life of a hold, or how long a watch waits
	Guards  []Guard
	Changes []Change
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

// Item is a key with its value; a watch reports removals without one.
type Item struct {
	Key   string
	Value json.RawMessage
	Rev   uint64
}

// StoreResult answers a StoreOp.
type StoreResult struct {
	Outcome Outcome
	Rev     uint64
	Hold    uint64
	Items   []Item
	More    bool
	Failed  []string // Conflict: the keys whose guards failed
	RetryMS int64    // Throttled by the member's own budget: when there is room again
	QueueMS int64    // how long the request waited for its turn in that budget
}

// CloudKind is an operation of the cloud.
type CloudKind int

// The operations of the cloud.
const (
	CloudCatalog CloudKind = iota
	CloudList
	CloudRent
	CloudRelease
)

// Urgency orders requests to the cloud: work waits for rentals, returns only
// cost money, and lists come again.
func (k CloudKind) Urgency() int {
	switch k {
	case CloudRent, CloudCatalog:
		return 0
	case CloudRelease:
		return 1
	}
	return 2
}

// CloudOp is a request to the cloud.
type CloudOp struct {
	ID       uint64
	Kind     CloudKind
	From     string
	Request  string
	Type     string
	Zone     string
	Spot     bool
	Count    int
	Machines []string
}

// Listed is a machine in the cloud's list.
type Listed struct {
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
	List     []Listed
	More     bool
}

// TaskReport is a task as a worker reports it.
type TaskReport struct {
	Task    string
	Attempt uint64
	State   string // fetching, running, waiting, saving, exited
	Why     string // done, stopped, error, no_room, busy, unknown
	Saved   bool
}

// Report is a worker's report.
type Report struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Session, Seq, Token       uint64
	NoticeS                   *float64
	Tasks                     []TaskReport
}

// CommandKind is what a worker is told to do.
type CommandKind string

// The commands.
const (
	Start  CommandKind = "start"
	Stop   CommandKind = "stop"
	Forget CommandKind = "forget"
)

// Command is a command to a worker.
type Command struct {
	Kind    CommandKind
	Task    string
	Attempt uint64
	GraceS  float64
}

// WorkerAnswer answers a report.
type WorkerAnswer struct {
	Accepted bool   // 200
	Redirect string // 421: the member to report to; empty with !Accepted: 503
	Token    uint64
	Commands []Command
}

// UserKind is what a user asks for.
type UserKind int

// The requests of users.
const (
	Submit UserKind = iota
	Query
	Cancel
)

// UserRequest is a user's request. A submission whose body was no good still
// carries its id if that could be read: a job that is known is known whatever
// a repeated body says.
type UserRequest struct {
	Kind UserKind `msgpack:"Kind"`
	ID   string   `msgpack:"ID"`
	Job  *Job     `msgpack:"Job"`
	Bad  string   `msgpack:"Bad"` // why the submission is malformed
	// Guards are further conditions of a submission, for subsystems beside the
	// core: with one that fails the job is not accepted (409).
	Guards []Guard `msgpack:"Guards"`
	// Relayed says that a peer asks on its user's behalf: it is not passed on
	// again.
	Relayed bool `msgpack:"Relayed"`
}

// UserAnswer answers a user.
type UserAnswer struct {
	Status  int    `msgpack:"Status"`
	Error   string `msgpack:"Error"`
	ID      string `msgpack:"ID"`
	State   State  `msgpack:"State"`
	Done    int    `msgpack:"Done"`
	Running int    `msgpack:"Running"`
	RetryS  int    `msgpack:"RetryS"` // >0: when to come back
	// For subsystems beside the core; users are not told.
	Failed string `msgpack:"Failed"` // why a cancelled job was given up
	Run    string `msgpack:"Run"`    // the run that the job is a step of

	fault bool // the state service, or what comes from it, is missing here: a peer may have it
}

// Relay is a user's request that a peer is asked to answer.
type Relay struct {
	ID      uint64
	Peer    string
	Request UserRequest
}

// Do is a set of commands sent straight to a worker.
type Do struct {
	ID       uint64
	Addr     string
	Machine  string
	Token    uint64
	Session  uint64
	Commands []Command
}

// DoResult answers a Do: OK when the worker carried it out, Conflict when it
// refused all of it, Unknown when it may have been or may yet be carried out.
type DoResult struct {
	Outcome Outcome
	Report  *Report
}

// PeerMessage is what members tell each other, in msgpack.
type PeerMessage struct {
	From   string
	Wall   int64
	Wants  string        // the member that is asked to hand the sender's shard back
	Tally  rollout.Tally // what gates of rollouts count, since the sender's start
	Serves bool          // the sender has the state service: requests may be relayed to it
	Teams  quota.Figures // what teams use and wait for in the sender's shards
	Brief  bool          // without summaries: the last ones stand
	Shards []ShardReport
}

// WithoutSummaries is the message without its summaries, for peers whose turn it is not.
func (p *PeerMessage) WithoutSummaries() *PeerMessage {
	out := *p
	out.Brief = true
	out.Shards = slices.Clone(p.Shards)
	for i := range out.Shards {
		out.Shards[i].Summary = nil
	}
	return &out
}

// ShardReport is a shard as its holder sees it.
type ShardReport struct {
	Shard      string
	Summary    availability.Summary
	Needs      []Need
	Running    map[string]Counts
	Disruption map[string]disruption.Demand // by team: what it would stop, and what runs
	Returns    []string                     // machines that the lead is to return
}

// Counts is how far a job's tasks in one shard are.
type Counts struct {
	Running int `msgpack:"r"`
	Done    int `msgpack:"d"`
}

// Need is work that a shard's machines cannot end in time.
type Need struct {
	Job      string `json:"Job" msgpack:"job"`
	Count    int    `json:"Count" msgpack:"n"`
	Deadline int64  `json:"Deadline" msgpack:"dl"`   // time of day, ms
	Length   int64  `json:"Length" msgpack:"len"`    // of a task, without its image
	SpotOnly bool   `json:"SpotOnly" msgpack:"spot"` // ordinary machines serve it, at a higher price
}

// Level is how much a log line matters.
type Level int

// The levels.
const (
	Debug Level = iota
	Info
	Warn
)

// LogLine is something an operator may want to know.
type LogLine struct {
	Level Level
	Text  string
	Args  []any
}

// Outputs is what the core wants done. The caller takes all of it after each
// input.
type Outputs struct {
	Store   []StoreOp
	Cloud   []CloudOp
	Do      []Do
	Workers map[uint64]WorkerAnswer
	Users   map[uint64]UserAnswer
	Peers   *PeerMessage // to all others
	Whole   []string     // those of them that get the summaries too; nil: all
	Relays  []Relay
	Logs    []LogLine
}
