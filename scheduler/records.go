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

// Keys in the state service. All live records are under one prefix. Every member watches
// this prefix and keeps a cache of it (stateCache). Members read progress and terminal
// states only when needed, so that these do not use memory in every member. The keys and
// the JSON encoding of the records are fixed because members of different versions share
// them.
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

// JobState is the state of a job as reported to users.
type JobState string

// The states of a job.
const (
	Pending   JobState = "pending"
	Running   JobState = "running"
	Done      JobState = "done"
	Cancelled JobState = "cancelled"
)

// IsTerminal reports whether the state is final.
func (s JobState) IsTerminal() bool { return s == Done || s == Cancelled }

// Priority is the priority of a job. Jobs with a higher priority are scheduled first.
type Priority int

// The priorities, lowest first.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// JobKind specifies how the tasks of a job run.
type JobKind string

// The kinds of jobs.
const (
	Array   JobKind = "array"   // each task runs to completion
	Service JobKind = "service" // tasks run until the job is cancelled
	Gang    JobKind = "gang"    // all tasks run at the same time or not at all
)

// Job is a job as submitted by a user. It is encoded in the stored record and in relayed
// requests. Durations are in seconds.
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

	// The following fields are set only by extensions, not in jobs of users.

	// WorkflowRun is the workflow run that the job belongs to.
	WorkflowRun string `json:"run,omitempty"        msgpack:"Run"`
	// MaxTaskErrors is the number of error exits of one task at which the job fails; 0: unlimited.
	MaxTaskErrors int `json:"max_errors,omitempty" msgpack:"MaxErrors"`
	// AtMostOnce fails the job instead of restarting a task that may have begun.
	AtMostOnce bool `json:"once,omitempty"       msgpack:"Once"`
}

// requiresOneShard reports whether one shard must own all tasks of the job, because the
// placement or start of each task depends on the others.
func (j *Job) requiresOneShard() bool { return j.OneZone || j.Spread || j.Kind == Gang }

// Range is the range [Lo, Hi) of a job's tasks, with the shard that runs them.
type Range struct {
	Lo            int    `json:"lo"`
	Hi            int    `json:"hi"`
	Shard         string `json:"shard"`
	MovedFromPeer bool   `json:"moved,omitempty"` // moved here from another member's shard; must not be moved again
}

// jobRecord is the stored record of a live job. It lists only ranges with unfinished tasks.
// When the last range finishes, a terminalRecord replaces the jobRecord.
type jobRecord struct {
	Job          Job     `json:"job"`
	AcceptedAtMS int64   `json:"at"` // wall-clock time in ms
	Ranges       []Range `json:"ranges"`
	MayHaveBegun bool    `json:"begun,omitempty"` // for AtMostOnce: tasks of the job may have begun
}

// unfinishedTasks returns the number of tasks in the ranges that the record lists.
func (rec *jobRecord) unfinishedTasks() (tasks int) {
	for _, bounds := range rec.Ranges {
		tasks += bounds.Hi - bounds.Lo
	}
	return tasks
}

// terminalRecord is the stored record of a job in a terminal state.
type terminalRecord struct {
	State         JobState `json:"state"`
	Tasks         int      `json:"tasks"`
	FailureReason string   `json:"failed,omitempty"` // why the Controller cancelled it; empty: done, or a user did
	WorkflowRun   string   `json:"run,omitempty"`
}

// progressRecord contains the done tasks of some ranges of a shard. Each range has a bitmap
// whose first bit represents the task Lo.
type progressRecord struct {
	DoneBitmaps map[string][]byte `json:"done"`
}

// claimRecord is a member's claim to a shard. It is attached to the owner's lease. Its
// revision is the fencing token of the commands to the shard's workers.
type claimRecord struct {
	Owner string `json:"holder"`
	Nonce uint64 `json:"nonce,string"`
}

// MachineType is a machine type that the cloud offers.
type MachineType struct {
	Name           string                 `json:"name"       msgpack:"n"`
	Resources      availability.Resources `json:"room"       msgpack:"r"`
	ImageFetchGBps float64                `json:"fetch"      msgpack:"f"`
	Price          float64                `json:"price"      msgpack:"p"`
	SpotPrice      float64                `json:"spot_price" msgpack:"s"`
	BootS          float64                `json:"boot"       msgpack:"b"`
	Zones          []string               `json:"zones"      msgpack:"z"`
}

// catalogRecord stores the machine types, so that members that start during an outage of
// the cloud can still make scheduling decisions.
type catalogRecord struct {
	Types []MachineType `json:"types"`
}

// mustEncode encodes a record as a value for the state service. It panics on an error. All
// record types can be encoded as JSON, so an error is a bug.
func mustEncode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("scheduler: cannot encode record %T: %v", v, err))
	}
	return b
}

// TaskName returns the name that workers use for a job's task n, counted from 0.
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

// bitset is a set of small non-negative integers, encoded as in progress records.
type bitset []byte

func newBitset(n int) bitset { return make(bitset, (n+7)/8) }

func (b bitset) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
func (b bitset) set(i int)      { b[i/8] |= 1 << (i % 8) }
func (b bitset) clear(i int)    { b[i/8] &^= 1 << (i % 8) }

// sortedByKey iterates over a map in key order, so that the same inputs give the same
// outputs and simulated scenarios are reproducible. It skips entries that the loop body
// removes before the iteration reaches them.
func sortedByKey[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

// secondsToMS converts seconds to milliseconds, rounded. It caps durations, including
// infinity, at 68 years.
func secondsToMS(seconds float64) int64 {
	if seconds > math.MaxInt32 {
		seconds = math.MaxInt32
	}
	return int64(math.Round(seconds * 1000))
}
