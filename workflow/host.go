package workflow

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Params are the settings that a host needs.
type Params struct {
	Members    []string // in order; each has a shard of its name
	Teams      map[string]scheduler.Team
	ValueBytes int
	TxnOps     int
	HeartbeatS float64
	// Limits bound the documents of runs, because a member keeps those that it drives in memory.
	Limits cwl.Limits
}

// Outputs are the requests and responses of a host. The caller takes all of them after each input.
type Outputs = extension.Outputs[Data, Response]

// Host keeps the runs of a member.
type Host struct {
	params Params
	extension.Base[Data, DataResult, Response]

	view     scheduler.ExtensionView
	jobsOver map[string]bool // ended jobs among the watched ones
	runs     map[string]*activeRun
	loading  int
	Counters Counters
}

// Counters are counts for operators' metrics.
type Counters struct{ Accepted, Finished, Failed, Cancelled, JobsSubmitted, Loaded uint64 }

// activeRun is a run that this member drives.
type activeRun struct {
	id           string
	record       liveRecord
	revision     uint64
	evaluation   *Run
	submission   *Submission
	jobNumbers   map[string]int
	calls        map[string]*callState // started and not over
	recordedDone map[string]bool       // over, according to the store's pages
	busy         bool                  // a load or a write of its record is in progress
	retryAt      int64

	donePaths       []string // paths of calls that are over, in the order recorded
	storedCount     int      // how many of them are certainly in the store
	donePages       []pageState
	writing         bool
	nextDoneWriteAt int64
	finishedCalls   int
}

type pageState struct {
	revision uint64
	upTo     int // calls before this index are in it or in earlier pages
}

// NewHost returns a host without runs.
func NewHost(p Params) *Host {
	return &Host{params: p, jobsOver: map[string]bool{}, runs: map[string]*activeRun{}}
}

// WatchedJobs lists the jobs whose end the runs wait for; the next ExtensionView must cover them.
func (h *Host) WatchedJobs() []string {
	var out []string
	for _, d := range h.runs {
		for _, c := range d.calls {
			if c.phase == running {
				out = append(out, c.job)
			}
		}
	}
	return out
}

// maxConcurrentLoads bounds the runs that are read concurrently after a claim: their reads share
// the member's share of the store's rate limit with everything else.
const maxConcurrentLoads = 8

// Tick takes a view of the core's state, and advances all runs of the shards that this member
// owns.
func (h *Host) Tick(now scheduler.Now, v scheduler.ExtensionView) {
	h.Now, h.view = now, v
	clear(h.jobsOver)
	for _, id := range v.EndedJobs {
		h.jobsOver[id] = true
	}
	if !v.HasAuthority {
		return
	}
	liveRuns := map[string]bool{}
	for _, kv := range v.KVs {
		id := strings.TrimPrefix(kv.Key, LivePrefix)
		var rec liveRecord
		if json.Unmarshal(kv.Value, &rec) != nil || v.ClaimTokens[rec.Shard] == 0 {
			continue
		}
		liveRuns[id] = true
		d := h.runs[id]
		if d == nil {
			if h.loading >= maxConcurrentLoads {
				continue
			}
			d = &activeRun{id: id, calls: map[string]*callState{}, recordedDone: map[string]bool{}}
			h.runs[id] = d
			d.record, d.revision = rec, kv.Rev
			h.loadRun(d)
		} else if kv.Rev > d.revision {
			if rec.State != d.record.State {
				// Given up: the member that drives the run now searches from the beginning for
				// what was started.
				delete(h.runs, id)
				continue
			}
			d.record, d.revision = rec, kv.Rev
		}
	}
	for _, id := range sortedKeys(h.runs) {
		d := h.runs[id]
		if !liveRuns[id] {
			// Over, or no longer ours: the owner of the shard continues from the store.
			delete(h.runs, id)
			continue
		}
		h.advanceRun(d)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// isEnding reports whether the run was given up and only stops what it started.
func (d *activeRun) isEnding() bool { return d.record.State != Running }

// advanceRun advances a run as far as possible.
func (h *Host) advanceRun(d *activeRun) {
	if d.busy || h.Now.MonotonicMS < d.retryAt {
		return
	}
	if d.evaluation != nil {
		d.addCalls(d.evaluation.TakeNewCalls())
	}
	for _, path := range sortedKeys(d.calls) {
		if c := d.calls[path]; c != nil && h.Now.MonotonicMS >= c.retryAt {
			h.advanceCall(d, c)
		}
	}
	if d.evaluation != nil {
		// Calls that became ready by the end of another one.
		d.addCalls(d.evaluation.TakeNewCalls())
	}
	switch {
	case d.isEnding():
		if len(d.calls) == 0 {
			h.finishRun(d)
		}
	case d.evaluation.IsOver() && d.evaluation.Err() != nil:
		h.failRun(d, Failing, d.evaluation.Err().Error())
	case d.evaluation.IsOver():
		h.finishRun(d)
	}
	h.writeDonePaths(d)
}
