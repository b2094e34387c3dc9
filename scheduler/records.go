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

// Keys of the state service. Everything live is under one prefix, which every
// member keeps a replica of (stateCache) and watches; progress and terminal
// states are read only when they are needed, so that neither grows a member's
// memory. Keys and the JSON forms of records are fixed: members of different
// versions share them.
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

// JobState is the state of a job as users see it.
type JobState string

// The states of a job.
const (
	Pending   JobState = "pending"
	Running   JobState = "running"
	Done      JobState = "done"
	Cancelled JobState = "cancelled"
)

// IsTerminal reports whether a job in this state never changes again.
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

// Job is what a user submitted. Its fields are those of the record in the store and of
// relayed requests; durations are in seconds.
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

	// WorkflowRun is the workflow run that the job is a step of.
	WorkflowRun string `json:"run,omitempty"        msgpack:"Run"`
	// MaxTaskErrors fails the job when one of its tasks exited so often with an error; 0: never.
	MaxTaskErrors int `json:"max_errors,omitempty" msgpack:"MaxErrors"`
	// AtMostOnce fails the job instead of starting again a task that may have begun.
	AtMostOnce bool `json:"once,omitempty"       msgpack:"Once"`
}

// requiresOneShard reports whether the job's tasks constrain each other's machines or
// starts, so that one shard must own them all.
func (j *Job) requiresOneShard() bool { return j.OneZone || j.Spread || j.Kind == Gang }

// Range is the tasks [Lo, Hi) of a job and the shard that runs them.
type Range struct {
	Lo            int    `json:"lo"`
	Hi            int    `json:"hi"`
	Shard         string `json:"shard"`
	MovedFromPeer bool   `json:"moved,omitempty"` // from another member's shard: is not moved again
}

// jobRecord is a live job in the store. Its ranges are those with unfinished tasks;
// the last to finish replaces it by a terminalRecord.
type jobRecord struct {
	Job          Job     `json:"job"`
	AcceptedAtMS int64   `json:"at"` // time of day, ms
	Ranges       []Range `json:"ranges"`
	MayHaveBegun bool    `json:"begun,omitempty"` // of a job with AtMostOnce: tasks may have begun
}

// terminalRecord is what the store keeps of a job that is over.
type terminalRecord struct {
	State         JobState `json:"state"`
	Tasks         int      `json:"tasks"`
	FailureReason string   `json:"failed,omitempty"` // why the core cancelled it; empty: a user did, or it is done
	WorkflowRun   string   `json:"run,omitempty"`
}

// progressRecord is the finished tasks of some ranges of a shard: by range, a bitmap
// whose first bit is the task Lo.
type progressRecord struct {
	DoneBitmaps map[string][]byte `json:"done"`
}

// claimRecord is a member's claim to a shard. It is attached to the owner's lease; its
// revision is the fencing token of commands to the shard's workers.
type claimRecord struct {
	Owner string `json:"holder"`
	Nonce uint64 `json:"nonce,string"`
}

// MachineType is a type of machine that the cloud provisions.
type MachineType struct {
	Name           string                 `json:"name"       msgpack:"n"`
	Resources      availability.Resources `json:"room"       msgpack:"r"`
	ImageFetchGBps float64                `json:"fetch"      msgpack:"f"`
	Price          float64                `json:"price"      msgpack:"p"`
	SpotPrice      float64                `json:"spot_price" msgpack:"s"`
	BootS          float64                `json:"boot"       msgpack:"b"`
	Zones          []string               `json:"zones"      msgpack:"z"`
}

// catalogRecord keeps the machine types, so that members that start during an outage
// of the cloud can still decide.
type catalogRecord struct {
	Types []MachineType `json:"types"`
}

// mustEncode encodes a record as a value of the store. Records hold nothing that JSON
// cannot express, so an error is a fault in the program.
func mustEncode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("scheduler: record %T does not encode: %v", v, err))
	}
	return b
}

// TaskName is the name of a job's nth task, from 0, on the workers.
func TaskName(job string, n int) string { return fmt.Sprintf("%s/%d", job, n) }

// parseTaskName is the inverse of TaskName. It accepts at most eight digits.
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

// bitset is a set of small non-negative numbers, in the form that progress records have.
type bitset []byte

func newBitset(n int) bitset { return make(bitset, (n+7)/8) }

func (b bitset) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
func (b bitset) set(i int)      { b[i/8] |= 1 << (i % 8) }
func (b bitset) clear(i int)    { b[i/8] &^= 1 << (i % 8) }

// sortedByKey visits a map in the order of its keys, so that the same inputs give the
// same outputs and a simulated scenario can be repeated. Entries that the loop removes
// before they are reached are not visited.
func sortedByKey[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

// secondsToMS rounds to milliseconds. Durations beyond 68 years, infinity among them,
// count as that.
func secondsToMS(seconds float64) int64 {
	if seconds > math.MaxInt32 {
		seconds = math.MaxInt32
	}
	return int64(math.Round(seconds * 1000))
}
