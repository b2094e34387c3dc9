package workflow

import (
	"encoding/json"
	"fmt"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// failRun records that a run ends without outputs, before any of its jobs is stopped: from then on
// no member submits a job of it.
func (h *Host) failRun(d *activeRun, state State, reason string) {
	rec := d.record
	rec.State, rec.Error = state, truncateReason(reason)
	h.writeRun(d, []scheduler.Change{{Key: liveKey(d.id), Value: extension.Encode(rec)}}, nil, func(uint64) {
		delete(h.runs, d.id) // loaded again, as after a claim
		h.Log("run given up", "run", d.id, "state", state, "why", rec.Error)
	})
}

// truncateReason bounds the length of a reason, which goes into records and lines.
func truncateReason(s string) string {
	if len(s) > 1000 {
		return s[:1000] + "..."
	}
	return s
}

// finishRun writes the run's final result and deletes its live records.
func (h *Host) finishRun(d *activeRun) {
	final := finalRecord{State: Done, AcceptedMS: d.record.AcceptedMS, EndedMS: h.Now.WallMS, Jobs: d.finishedCalls}
	switch d.record.State {
	case Failing:
		final.State, final.Error = Failed, d.record.Error
	case Cancelling:
		final.State, final.Error = Cancelled, d.record.Error
	default:
		final.Outputs = d.evaluation.Outputs()
	}
	value := extension.Encode(final)
	if len(value) > h.params.ValueBytes {
		h.failRun(
			d,
			Failing,
			fmt.Sprintf("the outputs take %d bytes, more than the state service's %d", len(value), h.params.ValueBytes),
		)
		return
	}
	// Pages of finished calls are deleted first if one transaction cannot hold all: without them a
	// successor only sends more queries.
	if n := len(d.donePages); n > 0 && d.record.Pages+2+n > h.params.TxnOps {
		removable := min(n, h.params.TxnOps-1)
		var changes []scheduler.Change
		for i := n - removable; i < n; i++ {
			changes = append(changes, scheduler.Change{Key: pageKey(d.id, "s", i)})
		}
		h.writeRun(d, changes, nil, func(uint64) { d.donePages = d.donePages[:n-removable] })
		return
	}
	changes := []scheduler.Change{{Key: finalKey(d.id), Value: value}, {Key: liveKey(d.id)}}
	for i := range d.record.Pages {
		changes = append(changes, scheduler.Change{Key: pageKey(d.id, "d", i)})
	}
	for i := range d.donePages {
		changes = append(changes, scheduler.Change{Key: pageKey(d.id, "s", i)})
	}
	h.writeRun(d, changes, []scheduler.Precondition{{Key: finalKey(d.id)}}, func(uint64) {
		delete(h.runs, d.id)
		switch final.State {
		case Done:
			h.Counters.Finished++
		case Failed:
			h.Counters.Failed++
		default:
			h.Counters.Cancelled++
		}
		h.Log("run over", "run", d.id, "state", final.State, "jobs", final.Jobs)
	})
}

// writeRun changes the stored records of a run, with its live record and the claim as
// preconditions. The next view settles a write of unknown outcome: a changed record has another
// revision, and a missing one ends the run here.
func (h *Host) writeRun(
	d *activeRun,
	changes []scheduler.Change,
	preconditions []scheduler.Precondition,
	onWritten func(rev uint64),
) {
	d.busy = true
	preconditions = append(
		preconditions,
		scheduler.Precondition{Key: liveKey(d.id), Revision: d.revision},
		scheduler.Precondition{Key: scheduler.ClaimKey(d.record.Shard), Revision: h.view.ClaimTokens[d.record.Shard]},
	)
	h.SendStore(
		scheduler.StoreOp{
			Kind:          scheduler.StoreTxn,
			Urgency:       scheduler.UrgencyUser,
			Preconditions: preconditions,
			Changes:       changes,
		},
		func(r scheduler.StoreResult) {
			d.busy = false
			if h.runs[d.id] != d {
				return
			}
			if r.Outcome == scheduler.OK {
				onWritten(r.Rev)
				return
			}
			d.retryAt = h.Now.MonotonicMS + 300
		},
	)
}

// doneWriteHeartbeats is the interval, in heartbeat intervals of the workers, between writes of
// finished calls. They only save a successor queries.
const doneWriteHeartbeats = 2

// writeDonePaths writes the paths of calls that are over.
func (h *Host) writeDonePaths(d *activeRun) {
	if d.busy || d.writing || d.storedCount == len(d.donePaths) || h.Now.MonotonicMS < d.nextDoneWriteAt ||
		h.runs[d.id] != d ||
		d.isEnding() {
		return
	}
	n, from, upTo := d.nextDonePage(h.params.ValueBytes)
	if upTo == from {
		d.nextDoneWriteAt = h.Now.MonotonicMS + 60_000 // a path longer than a page
		return
	}
	var oldRevision uint64
	if n < len(d.donePages) {
		oldRevision = d.donePages[n].revision
	}
	key := pageKey(d.id, "s", n)
	d.writing, d.nextDoneWriteAt = true, h.Now.MonotonicMS+int64(doneWriteHeartbeats*h.params.HeartbeatS*1000)
	op := scheduler.StoreOp{
		Kind: scheduler.StoreTxn, Urgency: scheduler.UrgencyBackground,
		Preconditions: []scheduler.Precondition{
			{Key: scheduler.ClaimKey(d.record.Shard), Revision: h.view.ClaimTokens[d.record.Shard]},
			{Key: liveKey(d.id), Revision: d.revision},
			{Key: key, Revision: oldRevision},
		},
		Changes: []scheduler.Change{{Key: key, Value: extension.Encode(d.donePaths[from:upTo])}},
	}
	h.SendStore(op, func(r scheduler.StoreResult) {
		d.writing = false
		switch r.Outcome {
		case scheduler.OK:
			d.setPage(n, pageState{r.Rev, upTo})
			d.storedCount = upTo
		case scheduler.Unknown, scheduler.Conflict:
			h.rereadDonePage(d, key, n, from)
		}
	})
}

// rereadDonePage reads a page after a write of unknown outcome or a conflict.
func (h *Host) rereadDonePage(d *activeRun, key string, n, from int) {
	d.writing = true
	h.Get(scheduler.UrgencyBackground, key, func(it scheduler.KeyValue, ok bool) {
		d.writing = false
		var paths []string
		if ok && it.Rev != 0 && json.Unmarshal(it.Value, &paths) == nil {
			d.setPage(n, pageState{it.Rev, from + len(paths)})
		}
	})
}

// nextDonePage returns the page to write next and the range of calls in it. The last page is
// filled up; a full one is never written again.
func (d *activeRun) nextDonePage(valueBytes int) (n, from, upTo int) {
	n = len(d.donePages)
	if n > 0 {
		n--
		if n > 0 {
			from = d.donePages[n-1].upTo
		}
	}
	upTo = d.fillPage(from, valueBytes)
	if n < len(d.donePages) && upTo == d.donePages[n].upTo {
		n, from = n+1, upTo
		upTo = d.fillPage(from, valueBytes)
	}
	return n, from, upTo
}

// fillPage returns the end of the range of finished calls, beginning with from, that fits a page.
func (d *activeRun) fillPage(from, valueBytes int) (upTo int) {
	size := len("[]")
	upTo = from
	for _, p := range d.donePaths[from:] {
		if size += len(extension.Encode(p)) + len(","); size > valueBytes {
			break
		}
		upTo++
	}
	return upTo
}

func (d *activeRun) setPage(n int, page pageState) {
	if n == len(d.donePages) {
		d.donePages = append(d.donePages, pageState{})
	}
	d.donePages[n] = page
}
