package scheduler

import (
	"cmp"
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
)

// Keys of the state service. Everything live stands under one prefix, which
// every member mirrors and watches; progress and final states are read only
// when they are needed, so that neither grows a member's memory.
const (
	livePrefix         = "l/"
	jobPrefix          = "l/j/"
	registryPrefix     = "l/m/"
	liveMachinesPrefix = "l/u/"
	claimPrefix        = "l/s/"
	teamPrefix         = "l/t/"
	leaderKey          = "l/lead"
	catalogKey         = "l/catalog"
	settingsKey        = "l/settings"
	extensionPrefix    = "l/x/"
	progressPrefix     = "p/"
	terminalPrefix     = "f/"
)

func jobKey(id string) string      { return jobPrefix + id }
func terminalKey(id string) string { return terminalPrefix + id }
func claimKey(id string) string    { return claimPrefix + id }
func teamKey(id string) string     { return teamPrefix + id }

// JobState is what users are told of a job.
type JobState string

// The states of a job.
const (
	Pending   JobState = "pending"
	Running   JobState = "running"
	Done      JobState = "done"
	Cancelled JobState = "cancelled"
)

// IsTerminal tells whether a job in this state never changes again.
func (s JobState) IsTerminal() bool { return s == Done || s == Cancelled }

// Priority orders jobs: a higher one goes first.
type Priority int

// The priorities, lowest first.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// JobKind is how a job's tasks run.
type JobKind string

// The kinds of jobs.
const (
	Array   JobKind = "array"   // each task runs to its end
	Service JobKind = "service" // tasks run until the job is cancelled
	Gang    JobKind = "gang"    // tasks run only all together
)

// Job is what a user submitted.
type Job struct {
	ID                  string                 `json:"id"                 msgpack:"ID"`
	Class               string                 `json:"class,omitempty"    msgpack:"Class"`
	Team                string                 `json:"team"               msgpack:"Team"`
	Kind                JobKind                `json:"kind"               msgpack:"Kind"`
	Priority            Priority               `json:"prio"               msgpack:"Priority"`
	Tasks               int                    `json:"tasks"              msgpack:"Tasks"`
	Request             availability.Resources `json:"req"                msgpack:"Request"`
	Image               string                 `json:"image,omitempty"    msgpack:"Image"`
	Types               []string               `json:"types,omitempty"    msgpack:"Types"`
	Zone                string                 `json:"zone,omitempty"     msgpack:"Zone"`
	OneZone             bool                   `json:"one_zone,omitempty" msgpack:"OneZone"`
	Spread              bool                   `json:"spread,omitempty"   msgpack:"Spread"`
	Spot                bool                   `json:"spot,omitempty"     msgpack:"Spot"`
	EstimateS           float64                `json:"est,omitempty"      msgpack:"EstimateS"`
	CheckpointIntervalS float64                `json:"ckpt,omitempty"     msgpack:"CheckpointS"`
	CheckpointDurationS float64                `json:"save,omitempty"     msgpack:"SaveS"`
	DeadlineS           float64                `json:"dl,omitempty"       msgpack:"DeadlineS"` // 0: none

	// What subsystems beside the core set; users' jobs have none of it.
	WorkflowRun   string `json:"run,omitempty"        msgpack:"Run"`       // the workflow run that the job is a step of
	MaxTaskErrors int    `json:"max_errors,omitempty" msgpack:"MaxErrors"` // the job fails when one of its tasks did so often; 0: never
	AtMostOnce    bool   `json:"once,omitempty"       msgpack:"Once"`      // a task that may have begun is not started again: the job fails
}

// requiresOneShard tells whether the job's tasks constrain each other's places or starts,
// so that one shard must hold them all.
func (j *Job) requiresOneShard() bool { return j.OneZone || j.Spread || j.Kind == Gang }

// Range is the tasks [Lo, Hi) of a job and the shard that runs them.
type Range struct {
	Lo            int    `json:"lo"`
	Hi            int    `json:"hi"`
	Shard         string `json:"shard"`
	MovedFromPeer bool   `json:"moved,omitempty"` // came from a peer: is not handed on
}

// jobRecord is a live job in the store. Its ranges are the ones with tasks
// left; the last to finish removes it and leaves a final record.
type jobRecord struct {
	Job          Job     `json:"job"`
	AcceptedAtMS int64   `json:"at"` // time of day, ms
	Ranges       []Range `json:"ranges"`
	MayHaveBegun bool    `json:"begun,omitempty"` // Once: tasks of it may have begun
}

// terminalRecord is all that is kept of a job that is over.
type terminalRecord struct {
	State         JobState `json:"state"`
	Tasks         int      `json:"tasks"`
	FailureReason string   `json:"failed,omitempty"` // why it was given up; its State is Cancelled
	WorkflowRun   string   `json:"run,omitempty"`
}

// progressRecord is the finished tasks of some ranges of a shard: a bitmap from
// Lo on for each, named as the range is.
type progressRecord struct {
	DoneBitmaps map[string][]byte `json:"done"`
}

// claimRecord is a claim. It hangs on the holder's hold; its revision is the
// token that the shard's workers obey.
type claimRecord struct {
	Owner string `json:"holder"`
	Nonce uint64 `json:"nonce,string"`
}

// MachineType is a type of machine that the cloud rents.
type MachineType struct {
	Name           string                 `json:"name"       msgpack:"n"`
	Resources      availability.Resources `json:"room"       msgpack:"r"`
	ImageFetchGBps float64                `json:"fetch"      msgpack:"f"`
	Price          float64                `json:"price"      msgpack:"p"`
	SpotPrice      float64                `json:"spot_price" msgpack:"s"`
	BootS          float64                `json:"boot"       msgpack:"b"`
	Zones          []string               `json:"zones"      msgpack:"z"`
}

// catalogRecord keeps the machine types, so that members that start while the
// cloud is away can still decide.
type catalogRecord struct {
	Types []MachineType `json:"types"`
}

// mustEncode turns a record of ours into a value of the store. Records hold
// nothing that JSON cannot, so an error is a fault in the program.
func mustEncode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("scheduler: record %T does not encode: %v", v, err))
	}
	return b
}

// TaskName is a task's name on the workers.
func TaskName(job string, n int) string { return fmt.Sprintf("%s/%d", job, n) }

func taskName(job string, n int) string { return TaskName(job, n) }

// parseTaskName is the inverse of taskName.
func parseTaskName(s string) (job string, n int, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 1 || i == len(s)-1 || len(s)-i > 9 {
		return "", 0, false
	}
	for _, c := range s[i+1:] {
		if c < '0' || c > '9' {
			return "", 0, false
		}
		n = n*10 + int(c-'0')
	}
	return s[:i], n, true
}

// bitset is a set of small numbers.
type bitset []byte

func newBitset(n int) bitset { return make(bitset, (n+7)/8) }

func (b bitset) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
func (b bitset) set(i int)      { b[i/8] |= 1 << (i % 8) }
func (b bitset) clear(i int)    { b[i/8] &^= 1 << (i % 8) }

// sortedByKey visits a map by its keys, so that the same inputs give the same
// outputs: a day of the simulation can be played again. What the loop removes
// is not visited.
func sortedByKey[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

func secondsToMS(seconds float64) int64 {
	if seconds > math.MaxInt32 {
		seconds = math.MaxInt32
	}
	return int64(math.Round(seconds * 1000))
}
