package schedules

import (
	"encoding/json"
	"strings"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Params holds the settings of a host.
type Params struct {
	Members      []string // IDs in the same order on all members; each is also the name of a shard
	Teams        map[string]scheduler.Team
	ValueBytes   int     // maximum size of a value in the state service
	TxnOps       int     // maximum number of changes in a transaction
	ClockErrorMS float64 // bound on the error of each member's clock
	// Rate bounds decisions per second. It is a fraction of the member's share of the state service's write
	// rate. The rest remains available to interactive jobs when many schedules are due on the hour.
	Rate float64
}

// Outputs holds the requests and responses of a host.
type Outputs = extension.Outputs[WorkflowRequest, Response]

// Counters counts the moments that a host decided, the runs and skips among them, and its loads of shards.
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

// shard is the state of a shard that this member owns.
type shard struct {
	name     string
	token    uint64 // fencing token of the claim
	sequence int    // sequence number of the change index that was applied last
	indexRev uint64 // revision of that change index
	loading  bool
	entries  map[string]*entry
}

// entry is a schedule of an owned shard.
type entry struct {
	shard             *shard
	name              string
	definition        definitionRecord
	definitionRev     uint64
	current, previous *version // validated; nil: missing or invalid
	progress          progressRecord
	progressRev       uint64
	inFlight          bool            // a read, a write, or a request about the preceding run is in flight
	dueAt             int64           // Unix ms
	index             int             // position in the due queue; -1: not queued
	submitted         map[string]bool // pending runs that were accepted or rejected, by ID
	precedingRun      string          // ID of the preceding run if it has ended, or precedingRunActive; empty: unknown
}

// precedingRunActive is the value of entry.precedingRun while the preceding run has not ended.
const precedingRunActive = "-"

// NewHost returns a host without schedules. Tick loads the schedules of the shards that the member owns.
func NewHost(p Params) *Host {
	return &Host{params: p, shards: map[string]*shard{}}
}

// WatchedJobs returns the jobs whose end the host waits for. There are none: the host queries a preceding run
// only when the next moment is due.
func (h *Host) WatchedJobs() []string { return nil }

// minMemberWallMS returns a time (Unix ms) that has passed on every member's clock. The clock of this member may
// be ahead of another one by twice the platform's bound on clock errors.
func (h *Host) minMemberWallMS() int64 { return h.Now.WallMS - int64(2*h.params.ClockErrorMS) }

// Tick applies the core's view (claims and changed schedules), and decides the schedules that are due.
func (h *Host) Tick(now scheduler.Now, v scheduler.ExtensionView) {
	h.Now, h.view = now, v
	h.refillTokens()
	if !v.HasAuthority {
		return
	}
	for name, s := range h.shards {
		if v.ClaimTokens[name] == 0 {
			h.dropShard(s) // the new owner continues from the stored records
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

// refillTokens adds decision tokens for the time since the last tick. The burst is the tokens of one second, and
// at least one.
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

// owns reports whether this member still owns an entry. Responses may arrive after the entry was dropped.
func (h *Host) owns(e *entry) bool {
	return h.shards[e.shard.name] == e.shard && e.shard.entries[e.name] == e
}
