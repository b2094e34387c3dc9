package workflow

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Params are the settings of a host.
type Params struct {
	Members    []string // member IDs in a fixed order; each is also the name of a shard
	Teams      map[string]scheduler.Team
	ValueBytes int // limit of a value in the state service
	TxnOps     int // limit of changes in a transaction
	HeartbeatS float64
	// Limits bounds the documents of runs, because a member keeps the runs that it drives in memory.
	Limits cwl.Limits
}

// Outputs are the requests, responses and log lines of a host. The caller takes all of them after
// each input.
type Outputs = extension.Outputs[Data, Response]

// Host manages the runs of a member.
type Host struct {
	params Params
	extension.Base[Data, DataResult, Response]

	view      scheduler.ExtensionView
	endedJobs map[string]bool // watched jobs that the last view reports as ended
	runs      map[string]*activeRun
	loading   int // number of runs whose records are being read
	Counters  Counters
}

// Counters count a host's events for the member's metrics.
type Counters struct{ Accepted, Finished, Failed, Cancelled, JobsSubmitted, Loaded uint64 }

// activeRun is a run that this member drives.
type activeRun struct {
	id           string
	record       liveRecord
	revision     uint64
	evaluation   *Run
	submission   *Submission
	jobNumbers   map[string]int
	calls        map[string]*callState // unfinished calls by path
	recordedDone map[string]bool       // set of donePaths
	busy         bool                  // a load or a write of its records is in progress
	retryAt      int64                 // monotonic time in ms; no step is taken before it

	donePaths       []string // paths of completed calls, in order of completion
	storedCount     int      // number of leading donePaths that are confirmed in the store
	donePages       []pageState
	writing         bool
	nextDoneWriteAt int64
	finishedCalls   int // completed and failed calls
}

// pageState is a stored page of donePaths.
type pageState struct {
	revision uint64
	upTo     int // this page and the earlier ones hold donePaths[:upTo]
}

// NewHost returns a host without runs.
func NewHost(p Params) *Host {
	return &Host{params: p, endedJobs: map[string]bool{}, runs: map[string]*activeRun{}}
}

// WatchedJobs lists the jobs whose end the runs wait for. The next ExtensionView must cover them.
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

// maxConcurrentLoads bounds the runs that are read concurrently after a claim. Their reads compete
// with all other requests for the member's share of the state service's rate limit.
const maxConcurrentLoads = 8

// Tick applies a view of the core's state, and advances all runs of the shards that this member
// owns.
func (h *Host) Tick(now scheduler.Now, v scheduler.ExtensionView) {
	h.Now, h.view = now, v
	clear(h.endedJobs)
	for _, id := range v.EndedJobs {
		h.endedJobs[id] = true
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
				// The run failed or was cancelled. The next tick loads it again and explores the
				// workflow from its first step for calls that may have been started.
				delete(h.runs, id)
				continue
			}
			d.record, d.revision = rec, kv.Rev
		}
	}
	for _, id := range sortedKeys(h.runs) {
		d := h.runs[id]
		if !liveRuns[id] {
			// The run has ended, or another member owns its shard and continues from the store.
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

// isEnding reports whether the run failed or was cancelled, and now only stops its jobs.
func (d *activeRun) isEnding() bool { return d.record.State != Running }

// advanceRun takes all steps of a run that are possible now.
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
		// Calls that became ready when another one ended.
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
