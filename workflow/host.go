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
	ReportS    float64
	// Limits bound the documents of runs: a member holds those that it drives.
	Limits cwl.Limits
}

// Outputs is what a host wants done. The caller takes all of it after each
// input.
type Outputs = extension.Outputs[Data, Answer]

// Host keeps the runs of a member.
type Host struct {
	p Params
	extension.Base[Data, DataResult, Answer]

	view     scheduler.View
	over     map[string]bool // of the jobs that were asked about
	runs     map[string]*driven
	loading  int
	Counters Counters
}

// Counters counts what operators watch.
type Counters struct{ Accepted, Finished, Failed, Cancelled, Jobs, Loaded uint64 }

// driven is a run that this member drives.
type driven struct {
	id      string
	rec     liveRecord
	rev     uint64
	run     *Run
	sub     *Submission
	numbers map[string]int
	calls   map[string]*callState // begun and not over
	known   map[string]bool       // over, as the store's pages say
	busy    bool                  // a load or a write on its record is under way
	retryAt int64

	done     []string // paths of calls that are over, in the order noted
	stored   int      // of them, how many the store has for certain
	pages    []pageState
	writing  bool
	noteAt   int64
	finished int
}

type pageState struct {
	rev  uint64
	upTo int // calls up to this one are in it or before it
}

// NewHost returns a host without runs.
func NewHost(p Params) *Host {
	return &Host{p: p, over: map[string]bool{}, runs: map[string]*driven{}}
}

// Watched lists the jobs whose end is waited for; the next View is to be asked
// about them.
func (h *Host) Watched() []string {
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

// loadsAtOnce bounds how many runs are read at the same time after a claim:
// their reads share the member's part of the store's rate with everything else.
const loadsAtOnce = 8

// Tick takes how the core stands, and goes on with all runs of the shards that
// this member holds.
func (h *Host) Tick(now scheduler.Now, v scheduler.View) {
	h.Now, h.view = now, v
	clear(h.over)
	for _, id := range v.Over {
		h.over[id] = true
	}
	if !v.Authority {
		return
	}
	alive := map[string]bool{}
	for _, it := range v.Records {
		id := strings.TrimPrefix(it.Key, LivePrefix)
		var rec liveRecord
		if json.Unmarshal(it.Value, &rec) != nil || v.Claims[rec.Shard] == 0 {
			continue
		}
		alive[id] = true
		d := h.runs[id]
		if d == nil {
			if h.loading >= loadsAtOnce {
				continue
			}
			d = &driven{id: id, calls: map[string]*callState{}, known: map[string]bool{}}
			h.runs[id] = d
			d.rec, d.rev = rec, it.Rev
			h.load(d)
		} else if it.Rev > d.rev {
			if rec.State != d.rec.State {
				// Given up: what was started is looked for from the
				// beginning, by whoever drives the run now.
				delete(h.runs, id)
				continue
			}
			d.rec, d.rev = rec, it.Rev
		}
	}
	for _, id := range sortedKeys(h.runs) {
		d := h.runs[id]
		if !alive[id] {
			// Over, or no longer ours: whoever holds the shard goes on from
			// the store.
			delete(h.runs, id)
			continue
		}
		h.step(d)
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

// ending tells whether the run is given up and only stops what it started.
func (d *driven) ending() bool { return d.rec.State != Running }

// step goes on with a run as far as it can.
func (h *Host) step(d *driven) {
	if d.busy || h.Now.Steady < d.retryAt {
		return
	}
	if d.run != nil {
		d.adopt(d.run.Fresh())
	}
	for _, path := range sortedKeys(d.calls) {
		if c := d.calls[path]; c != nil && h.Now.Steady >= c.retryAt {
			h.stepCall(d, c)
		}
	}
	if d.run != nil {
		// What a call's end made ready at once.
		d.adopt(d.run.Fresh())
	}
	switch {
	case d.ending():
		if len(d.calls) == 0 {
			h.finish(d)
		}
	case d.run.Over() && d.run.Err() != nil:
		h.giveUp(d, Failing, d.run.Err().Error())
	case d.run.Over():
		h.finish(d)
	}
	h.note(d)
}
