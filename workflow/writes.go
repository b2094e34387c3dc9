package workflow

import (
	"encoding/json"
	"fmt"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// giveUp records that a run ends without its outputs, before anything of it is
// stopped: from then on nothing of it is submitted, by anybody.
func (h *Host) giveUp(d *driven, state State, why string) {
	rec := d.rec
	rec.State, rec.Error = state, clip(why)
	h.write(d, []scheduler.Change{{Key: liveKey(d.id), Value: extension.Encode(rec)}}, nil, func(uint64) {
		delete(h.runs, d.id) // looked at anew, as after a claim
		h.Log("run given up", "run", d.id, "state", state, "why", rec.Error)
	})
}

// clip bounds a reason: it goes into records and lines.
func clip(s string) string {
	if len(s) > 1000 {
		return s[:1000] + "..."
	}
	return s
}

// finish writes the run's one answer and removes what lives of it.
func (h *Host) finish(d *driven) {
	f := finalRecord{State: Done, Accepted: d.rec.Accepted, Ended: h.Now.Wall, Jobs: d.finished}
	switch d.rec.State {
	case Failing:
		f.State, f.Error = Failed, d.rec.Error
	case Cancelling:
		f.State, f.Error = Cancelled, d.rec.Error
	default:
		f.Outputs = d.run.Outputs()
	}
	value := extension.Encode(f)
	if len(value) > h.p.ValueBytes {
		h.giveUp(d, Failing, fmt.Sprintf("the outputs take %d bytes, more than the state service's %d", len(value), h.p.ValueBytes))
		return
	}
	// Pages of what is over go first where all do not fit one transaction:
	// without them a successor only asks more.
	if n := len(d.pages); n > 0 && d.rec.Pages+2+n > h.p.TxnOps {
		k := min(n, h.p.TxnOps-1)
		var changes []scheduler.Change
		for i := n - k; i < n; i++ {
			changes = append(changes, scheduler.Change{Key: pageKey(d.id, "s", i)})
		}
		h.write(d, changes, nil, func(uint64) { d.pages = d.pages[:n-k] })
		return
	}
	changes := []scheduler.Change{{Key: finalKey(d.id), Value: value}, {Key: liveKey(d.id)}}
	for i := range d.rec.Pages {
		changes = append(changes, scheduler.Change{Key: pageKey(d.id, "d", i)})
	}
	for i := range d.pages {
		changes = append(changes, scheduler.Change{Key: pageKey(d.id, "s", i)})
	}
	h.write(d, changes, []scheduler.Guard{{Key: finalKey(d.id)}}, func(uint64) {
		delete(h.runs, d.id)
		switch f.State {
		case Done:
			h.Counters.Finished++
		case Failed:
			h.Counters.Failed++
		default:
			h.Counters.Cancelled++
		}
		h.Log("run over", "run", d.id, "state", f.State, "jobs", f.Jobs)
	})
}

// write changes what the store has of a run, under its record and the claim. A
// write of unknown outcome is settled by the next view: a record that changed
// has another revision, and one that is gone ends the run here.
func (h *Host) write(d *driven, changes []scheduler.Change, guards []scheduler.Guard, done func(rev uint64)) {
	d.busy = true
	guards = append(guards, scheduler.Guard{Key: liveKey(d.id), Rev: d.rev}, scheduler.Guard{Key: scheduler.ShardKey(d.rec.Shard), Rev: h.view.Claims[d.rec.Shard]})
	h.Ask(scheduler.StoreOp{Kind: scheduler.StoreTxn, Urgency: scheduler.Answers, Guards: guards, Changes: changes}, func(r scheduler.StoreResult) {
		d.busy = false
		if h.runs[d.id] != d {
			return
		}
		if r.Outcome == scheduler.OK {
			done(r.Rev)
			return
		}
		d.retryAt = h.Now.Steady + 300
	})
}

// noteEvery is how often what is over is noted, in reports of the workers: it
// only saves a successor questions.
const noteEvery = 2

// note writes the paths of calls that are over.
func (h *Host) note(d *driven) {
	if d.busy || d.writing || d.stored == len(d.done) || h.Now.Steady < d.noteAt || h.runs[d.id] != d || d.ending() {
		return
	}
	n, from, upTo := d.nextPage(h.p.ValueBytes)
	if upTo == from {
		d.noteAt = h.Now.Steady + 60_000 // a path longer than a page
		return
	}
	var old uint64
	if n < len(d.pages) {
		old = d.pages[n].rev
	}
	key := pageKey(d.id, "s", n)
	d.writing, d.noteAt = true, h.Now.Steady+int64(noteEvery*h.p.ReportS*1000)
	op := scheduler.StoreOp{
		Kind: scheduler.StoreTxn, Urgency: scheduler.Progress,
		Guards: []scheduler.Guard{
			{Key: scheduler.ShardKey(d.rec.Shard), Rev: h.view.Claims[d.rec.Shard]},
			{Key: liveKey(d.id), Rev: d.rev},
			{Key: key, Rev: old},
		},
		Changes: []scheduler.Change{{Key: key, Value: extension.Encode(d.done[from:upTo])}},
	}
	h.Ask(op, func(r scheduler.StoreResult) {
		d.writing = false
		switch r.Outcome {
		case scheduler.OK:
			d.setPage(n, pageState{r.Rev, upTo})
			d.stored = upTo
		case scheduler.Unknown, scheduler.Conflict:
			h.reread(d, key, n, from)
		}
	})
}

// reread reads a page of which nobody said what it has now.
func (h *Host) reread(d *driven, key string, n, from int) {
	d.writing = true
	h.Get(scheduler.Progress, key, func(it scheduler.Item, ok bool) {
		d.writing = false
		var paths []string
		if ok && it.Rev != 0 && json.Unmarshal(it.Value, &paths) == nil {
			d.setPage(n, pageState{it.Rev, from + len(paths)})
		}
	})
}

// nextPage is the page that is written next and which calls it gets. The last
// page is filled up; a full one is never written again.
func (d *driven) nextPage(valueBytes int) (n, from, upTo int) {
	n = len(d.pages)
	if n > 0 {
		n--
		if n > 0 {
			from = d.pages[n-1].upTo
		}
	}
	upTo = d.fill(from, valueBytes)
	if n < len(d.pages) && upTo == d.pages[n].upTo {
		n, from = n+1, upTo
		upTo = d.fill(from, valueBytes)
	}
	return n, from, upTo
}

// fill is up to which call a page holds what is over, from a call on.
func (d *driven) fill(from, valueBytes int) (upTo int) {
	size := len("[]")
	upTo = from
	for _, p := range d.done[from:] {
		if size += len(extension.Encode(p)) + len(","); size > valueBytes {
			break
		}
		upTo++
	}
	return upTo
}

func (d *driven) setPage(n int, page pageState) {
	if n == len(d.pages) {
		d.pages = append(d.pages, pageState{})
	}
	d.pages[n] = page
}
