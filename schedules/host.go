package schedules

import (
	"encoding/json"
	"strings"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Params is what a host needs of the settings.
type Params struct {
	Members      []string // in order; each has a shard of its name
	Teams        map[string]scheduler.Team
	ValueBytes   int
	TxnOps       int
	ClockErrorMS float64
	// Rate bounds decisions a second: a part of the member's share of the
	// state service's changes, so that a full hour leaves interactive jobs
	// theirs.
	Rate float64
}

// Outputs is what a host wants done.
type Outputs = extension.Outputs[WorkflowRequest, Response]

// Counters counts what operators watch.
type Counters struct{ Decided, Runs, Skipped, Loaded uint64 }

// Host keeps the schedules of a member.
type Host struct {
	params Params
	extension.Base[WorkflowRequest, WorkflowResult, Response]

	view       scheduler.ExtensionView
	shards     map[string]*shard
	due        dueQueue
	tokens     float64
	lastTickMS int64

	Counters Counters
}

// shard is a shard that this member holds.
type shard struct {
	name     string
	token    uint64 // of the claim that it was read under
	sequence int
	indexRev uint64 // of its mark
	loading  bool
	entries  map[string]*entry
}

// entry is a schedule that this member drives.
type entry struct {
	shard             *shard
	name              string
	definition        definitionRecord
	definitionRev     uint64
	current, previous *version // ready for use
	progress          progressRecord
	progressRev       uint64
	busy              bool  // a read or a write is under way
	dueAt             int64 // when it is due next, ms of the time of day
	index             int   // in the queue; -1: not in it
	submitted         map[string]bool
	precedingRun      string // the job before, if it is known to be over
}

// NewHost returns a host without schedules.
func NewHost(p Params) *Host {
	return &Host{params: p, shards: map[string]*shard{}}
}

// WatchedJobs lists the jobs whose end is waited for: none, since a schedule asks
// about the run before only when the next one is due.
func (h *Host) WatchedJobs() []string { return nil }

// certainWallMS is the time of day that has come on every member's clock: this one may
// be ahead of others by twice the platform's bound.
func (h *Host) certainWallMS() int64 { return h.Now.WallMS - int64(2*h.params.ClockErrorMS) }

// Tick takes how the core stands and decides what is due.
func (h *Host) Tick(now scheduler.Now, v scheduler.ExtensionView) {
	h.Now, h.view = now, v
	if h.lastTickMS != 0 {
		h.tokens = min(h.tokens+h.params.Rate*float64(now.MonotonicMS-h.lastTickMS)/1000, max(1, h.params.Rate))
	} else {
		h.tokens = max(1, h.params.Rate)
	}
	h.lastTickMS = now.MonotonicMS
	if !v.HasAuthority {
		return
	}
	for name, s := range h.shards {
		if v.ClaimTokens[name] == 0 {
			h.dropShard(s) // whoever holds it goes on from the store
		} else {
			s.token = v.ClaimTokens[name]
		}
	}
	for _, it := range v.KVs {
		name := strings.TrimPrefix(it.Key, ChangeIndexPrefix)
		if v.ClaimTokens[name] == 0 {
			continue
		}
		var rec changeIndexRecord
		if json.Unmarshal(it.Value, &rec) != nil {
			continue
		}
		h.applyChangeIndex(name, rec, it.Rev)
	}
	h.decideDue()
}

func (h *Host) dropShard(s *shard) {
	delete(h.shards, s.name)
	for _, e := range s.entries {
		h.dequeue(e)
	}
}
