package workflow

import (
	"encoding/json"
	"fmt"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// failRun records that a run ends without outputs, before any of its jobs is cancelled. After this
// write, no member submits a job of the run.
func (h *Host) failRun(d *activeRun, state State, reason string) {
	rec := d.record
	rec.State, rec.Error = state, truncateReason(reason)
	h.writeRun(d, []scheduler.Change{{Key: liveKey(d.id), Value: extension.Encode(rec)}}, nil, func(uint64) {
		delete(h.runs, d.id) // the next tick loads it again, as after a claim
		h.Log("run failed; cancelling its jobs", "run", d.id, "state", state, "why", rec.Error)
	})
}

// truncateReason bounds the length of a failure reason, which is stored, logged and sent to users.
func truncateReason(s string) string {
	if len(s) > 1000 {
		return s[:1000] + "..."
	}
	return s
}

// finishRun writes the run's final record, and deletes its live record and its pages.
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
	// If one transaction cannot hold all changes, the pages of completed calls are deleted first.
	// Without them, the next owner of the shard only sends more queries.
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
		h.Log("run finished", "run", d.id, "state", final.State, "jobs", final.Jobs)
	})
}

// writeRun changes the stored records of a run, with its live record and the shard's claim as
// preconditions. The next view resolves a write of unknown outcome: a changed live record has a new
// revision, and without a live record the member drops the run.
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

// doneWriteHeartbeats is the interval between writes of completed calls, in heartbeat intervals of
// the workers. These writes only save the next owner of the shard some queries.
const doneWriteHeartbeats = 2

// writeDonePaths writes the paths of completed calls that are not stored yet.
func (h *Host) writeDonePaths(d *activeRun) {
	if d.busy || d.writing || d.storedCount == len(d.donePaths) || h.Now.MonotonicMS < d.nextDoneWriteAt ||
		h.runs[d.id] != d ||
		d.isEnding() {
		return
	}
	n, from, upTo := d.nextDonePage(h.params.ValueBytes)
	if upTo == from {
		d.nextDoneWriteAt = h.Now.MonotonicMS + 60_000 // the next path is longer than a page
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

// rereadDonePage reads a page of done paths after a write of unknown outcome or a conflict, to get
// its current revision.
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

// nextDonePage returns the index of the page to write next and the range of donePaths in it. It
// extends the last page until that is full; a full page is never rewritten.
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

// fillPage returns the end of the longest range of donePaths that starts at from and fits in a page.
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
