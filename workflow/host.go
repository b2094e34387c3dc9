package workflow

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Params is what a host needs of the settings.
type Params struct {
	Members    []string // in order; each has a shard of its name
	Teams      map[string]scheduler.Team
	ValueBytes int
	TxnOps     int
	HeartbeatS float64
	// Limits bound the documents of runs: a member holds those that it drives.
	Limits cwl.Limits
}

// Outputs is what a host wants done. The caller takes all of it after each
// input.
type Outputs = extension.Outputs[Data, Response]

// Host keeps the runs of a member.
type Host struct {
	params Params
	extension.Base[Data, DataResult, Response]

	view     scheduler.ExtensionView
	jobsOver map[string]bool // of the jobs that were asked about
	runs     map[string]*activeRun
	loading  int
	Counters Counters
}

// Counters counts what operators watch.
type Counters struct{ Accepted, Finished, Failed, Cancelled, JobsSubmitted, Loaded uint64 }

// activeRun is a run that this member drives.
type activeRun struct {
	id           string
	record       liveRecord
	revision     uint64
	evaluation   *Run
	submission   *Submission
	jobNumbers   map[string]int
	calls        map[string]*callState // begun and not over
	recordedDone map[string]bool       // over, as the store's pages say
	busy         bool                  // a load or a write on its record is under way
	retryAt      int64

	donePaths       []string // paths of calls that are over, in the order noted
	storedCount     int      // of them, how many the store has for certain
	donePages       []pageState
	writing         bool
	nextDoneWriteAt int64
	finishedCalls   int
}

type pageState struct {
	revision uint64
	upTo     int // calls up to this one are in it or before it
}

// NewHost returns a host without runs.
func NewHost(p Params) *Host {
	return &Host{params: p, jobsOver: map[string]bool{}, runs: map[string]*activeRun{}}
}

// WatchedJobs lists the jobs whose end is waited for; the next View is to be asked
// about them.
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

// maxConcurrentLoads bounds how many runs are read at the same time after a claim:
// their reads share the member's part of the store's rate with everything else.
const maxConcurrentLoads = 8

// Tick takes how the core stands, and goes on with all runs of the shards that
// this member holds.
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
				// Given up: what was started is looked for from the
				// beginning, by whoever drives the run now.
				delete(h.runs, id)
				continue
			}
			d.record, d.revision = rec, kv.Rev
		}
	}
	for _, id := range sortedKeys(h.runs) {
		d := h.runs[id]
		if !liveRuns[id] {
			// Over, or no longer ours: whoever holds the shard goes on from
			// the store.
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

// isEnding tells whether the run is given up and only stops what it started.
func (d *activeRun) isEnding() bool { return d.record.State != Running }

// advanceRun goes on with a run as far as it can.
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
		// What a call's end made ready at once.
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
