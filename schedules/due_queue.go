package schedules

import (
	"container/heap"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// dueQueue is a heap of entries, ordered by due time, then by priority. The cost of a tick therefore depends on
// the number of due schedules, not on the number of all schedules.
type dueQueue []*entry

func (q dueQueue) Len() int { return len(q) }

func (q dueQueue) Less(i, j int) bool {
	if q[i].dueAt != q[j].dueAt {
		return q[i].dueAt < q[j].dueAt
	}
	if a, b := q[i].priority(), q[j].priority(); a != b {
		return a > b
	}
	return q[i].name < q[j].name
}

func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	e.index = -1
	return e
}

func (e *entry) priority() scheduler.Priority {
	return prioritiesByName[e.definition.Spec.Job.Priority]
}

func (h *Host) dequeue(e *entry) {
	if e.index >= 0 {
		heap.Remove(&h.due, e.index)
	}
}

// decidedUpTo returns the time (Unix ms) up to which all moments of an entry are decided. Moments before its
// oldest known version took effect count as decided.
func (e *entry) decidedUpTo() int64 {
	since := e.definition.SinceMS
	if e.previous != nil {
		since = e.previous.SinceMS
	}
	return max(e.progress.DecidedUpToMS, since-1)
}

// moment is a time at which a schedule is due.
type moment struct {
	at      int64    // Unix ms
	version *version // the version in effect at that time
	reason  string
}

// nextMoment returns the first moment after a time (Unix ms). ok is false if there is none.
func (e *entry) nextMoment(after int64) (m moment, ok bool) {
	if e.previous != nil && after < e.current.SinceMS-1 {
		if m, ok = e.previous.nextMoment(after); ok && m.at < e.current.SinceMS {
			return m, true
		}
	}
	return e.current.nextMoment(max(after, e.current.SinceMS-1))
}

func (v *version) nextMoment(after int64) (m moment, ok bool) {
	next, ok := v.Spec.Next(time.UnixMilli(after))
	return moment{at: next.At.UnixMilli(), version: v, reason: next.Reason}, ok
}

// enqueueNext queues an entry for its next moment, unless it is paused or its definition is invalid.
func (h *Host) enqueueNext(e *entry) {
	h.dequeue(e)
	if e.current == nil || e.definition.Paused {
		return
	}
	if m, ok := e.nextMoment(e.decidedUpTo()); ok {
		h.enqueueAt(e, m.at)
	}
}

func (h *Host) enqueueAt(e *entry, wallMS int64) {
	h.dequeue(e)
	e.dueAt = wallMS
	heap.Push(&h.due, e)
}
