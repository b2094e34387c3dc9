package schedules

import (
	"encoding/json"
	"strings"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Params are a host's settings.
type Params struct {
	Members      []string // in order; each gives its name to a shard
	Teams        map[string]scheduler.Team
	ValueBytes   int // of a value in the state service
	TxnOps       int // changes of a transaction
	ClockErrorMS float64
	// Rate bounds decisions per second. It is a part of the member's share of the state service's writes,
	// so that interactive jobs keep theirs when many schedules are due on the hour.
	Rate float64
}

// Outputs are the requests and responses of a host.
type Outputs = extension.Outputs[WorkflowRequest, Response]

// Counters are a host's metrics.
type Counters struct{ Decided, Runs, Skipped, Loaded uint64 }

// Host runs the schedules of the shards that a member owns.
type Host struct {
	params Params
	extension.Base[WorkflowRequest, WorkflowResult, Response]

	view           scheduler.ExtensionView
	shards         map[string]*shard
	due            dueQueue
	decisionTokens float64
	lastTickMS     int64

	Counters Counters
}

// shard is a shard that this member owns.
type shard struct {
	name     string
	token    uint64 // fencing token of the claim
	sequence int    // of the change index that was applied last
	indexRev uint64 // its revision
	loading  bool
	entries  map[string]*entry
}

// entry is a schedule of an owned shard.
type entry struct {
	shard             *shard
	name              string
	definition        definitionRecord
	definitionRev     uint64
	current, previous *version // validated; nil: none, or unusable
	progress          progressRecord
	progressRev       uint64
	inFlight          bool            // a read or a write is pending
	dueAt             int64           // time of day in milliseconds
	index             int             // in the due queue; -1: not in it
	submitted         map[string]bool // pending jobs that the core has taken or refused
	precedingRun      string          // the preceding job if it is over, or precedingRunBusy
}

// precedingRunActive stands for a preceding run that is not over.
const precedingRunActive = "-"

// NewHost returns a host without schedules; Tick has it load those of owned shards.
func NewHost(p Params) *Host {
	return &Host{params: p, shards: map[string]*shard{}}
}

// WatchedJobs returns the jobs whose end the host waits for: none, since it queries a preceding run only
// when the next moment is due.
func (h *Host) WatchedJobs() []string { return nil }

// minMemberWallMS returns the time of day that has come on every member's clock: this one may be ahead of
// others by twice the platform's bound.
func (h *Host) minMemberWallMS() int64 { return h.Now.WallMS - int64(2*h.params.ClockErrorMS) }

// Tick takes the core's view, follows claims and changes, and decides what is due.
func (h *Host) Tick(now scheduler.Now, v scheduler.ExtensionView) {
	h.Now, h.view = now, v
	h.refillTokens()
	if !v.HasAuthority {
		return
	}
	for name, s := range h.shards {
		if v.ClaimTokens[name] == 0 {
			h.dropShard(s) // its new owner continues from the store
		} else {
			s.token = v.ClaimTokens[name]
		}
	}
	for _, kv := range v.KVs {
		name := strings.TrimPrefix(kv.Key, ChangeIndexPrefix)
		if v.ClaimTokens[name] == 0 {
			continue
		}
		var index changeIndexRecord
		if json.Unmarshal(kv.Value, &index) == nil {
			h.applyChangeIndex(name, index, kv.Rev)
		}
	}
	h.decideDue()
}

// refillTokens adds the decisions that the time since the last tick allows, a second's at most.
func (h *Host) refillTokens() {
	burst := max(1, h.params.Rate)
	if h.lastTickMS == 0 {
		h.decisionTokens = burst
	} else {
		elapsedMS := float64(h.Now.MonotonicMS - h.lastTickMS)
		h.decisionTokens = min(h.decisionTokens+h.params.Rate*elapsedMS/1000, burst)
	}
	h.lastTickMS = h.Now.MonotonicMS
}

func (h *Host) dropShard(s *shard) {
	delete(h.shards, s.name)
	for _, e := range s.entries {
		h.dequeue(e)
	}
}

// owns reports whether an entry is still one of this member's: answers may come after it was dropped.
func (h *Host) owns(e *entry) bool {
	return h.shards[e.shard.name] == e.shard && e.shard.entries[e.name] == e
}
