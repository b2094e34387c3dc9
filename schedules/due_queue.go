package schedules

import (
	"container/heap"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// dueQueue orders entries by when they are due, so that a tick costs what is due
// and not what exists.
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

// Push and Pop are the heap's.
func (q *dueQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop takes the last.
func (q *dueQueue) Pop() any {
	o := *q
	e := o[len(o)-1]
	*q = o[:len(o)-1]
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

// decidedUpTo is the time up to which an entry has decided, or must not.
func (e *entry) decidedUpTo() int64 {
	since := e.definition.SinceMS
	if e.previous != nil {
		since = e.previous.SinceMS
	}
	return max(e.progress.DecidedUpToMS, since-1)
}

// moment is a moment with the version that it goes by.
type moment struct {
	at      int64
	version *version
	reason  string
}

// nextMoment is the first moment after a time.
func (e *entry) nextMoment(after int64) (m moment, ok bool) {
	if e.previous != nil && after < e.current.SinceMS-1 {
		if x, is := e.previous.Spec.Next(time.UnixMilli(after)); is && x.At.UnixMilli() < e.current.SinceMS {
			return moment{x.At.UnixMilli(), e.previous, x.Reason}, true
		}
	}
	x, is := e.current.Spec.Next(time.UnixMilli(max(after, e.current.SinceMS-1)))
	return moment{x.At.UnixMilli(), e.current, x.Reason}, is
}

// enqueueNext puts an entry where it is due next.
func (h *Host) enqueueNext(e *entry) {
	h.dequeue(e)
	if e.current == nil || e.definition.Paused {
		return
	}
	if m, ok := e.nextMoment(e.decidedUpTo()); ok {
		h.enqueueAt(e, m.at)
	}
}

func (h *Host) enqueueAt(e *entry, at int64) {
	h.dequeue(e)
	e.dueAt = at
	heap.Push(&h.due, e)
}
