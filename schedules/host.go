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
type Outputs = extension.Outputs[Flow, Answer]

// Counters counts what operators watch.
type Counters struct{ Decided, Runs, Skipped, Loaded uint64 }

// Host keeps the schedules of a member.
type Host struct {
	p Params
	extension.Base[Flow, FlowResult, Answer]

	view   scheduler.View
	shards map[string]*shard
	due    queue
	tokens float64
	last   int64

	Counters Counters
}

// shard is a shard that this member holds.
type shard struct {
	name    string
	token   uint64 // of the claim that it was read under
	seq     int
	rev     uint64 // of its mark
	loading bool
	entries map[string]*entry
}

// entry is a schedule that this member drives.
type entry struct {
	shard     *shard
	name      string
	def       defRecord
	defRev    uint64
	cur, old  *version // ready for use
	prog      progRecord
	progRev   uint64
	busy      bool  // a read or a write is under way
	at        int64 // when it is due next, ms of the time of day
	index     int   // in the queue; -1: not in it
	submitted map[string]bool
	asked     string // the job before, if it is known to be over
}

// NewHost returns a host without schedules.
func NewHost(p Params) *Host {
	return &Host{p: p, shards: map[string]*shard{}}
}

// Watched lists the jobs whose end is waited for: none, since a schedule asks
// about the run before only when the next one is due.
func (h *Host) Watched() []string { return nil }

// wall is the time of day that has come on every member's clock: this one may
// be ahead of others by twice the platform's bound.
func (h *Host) wall() int64 { return h.Now.Wall - int64(2*h.p.ClockErrorMS) }

// Tick takes how the core stands and decides what is due.
func (h *Host) Tick(now scheduler.Now, v scheduler.View) {
	h.Now, h.view = now, v
	if h.last != 0 {
		h.tokens = min(h.tokens+h.p.Rate*float64(now.Steady-h.last)/1000, max(1, h.p.Rate))
	} else {
		h.tokens = max(1, h.p.Rate)
	}
	h.last = now.Steady
	if !v.Authority {
		return
	}
	for name, s := range h.shards {
		if v.Claims[name] == 0 {
			h.drop(s) // whoever holds it goes on from the store
		} else {
			s.token = v.Claims[name]
		}
	}
	for _, it := range v.Records {
		name := strings.TrimPrefix(it.Key, MarkPrefix)
		if v.Claims[name] == 0 {
			continue
		}
		var rec markRecord
		if json.Unmarshal(it.Value, &rec) != nil {
			continue
		}
		h.follow(name, rec, it.Rev)
	}
	h.decideDue()
}

func (h *Host) drop(s *shard) {
	delete(h.shards, s.name)
	for _, e := range s.entries {
		h.unqueue(e)
	}
}
