package schedules

import (
	"container/heap"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// queue orders entries by when they are due, so that a tick costs what is due
// and not what exists.
type queue []*entry

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	if a, b := q[i].rank(), q[j].rank(); a != b {
		return a > b
	}
	return q[i].name < q[j].name
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push and Pop are the heap's.
func (q *queue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop takes the last.
func (q *queue) Pop() any {
	o := *q
	e := o[len(o)-1]
	*q = o[:len(o)-1]
	e.index = -1
	return e
}

func (e *entry) rank() scheduler.Priority { return priorities[e.def.Spec.Job.Priority] }

func (h *Host) unqueue(e *entry) {
	if e.index >= 0 {
		heap.Remove(&h.due, e.index)
	}
}

// after is the time up to which an entry has decided, or must not.
func (e *entry) after() int64 {
	since := e.def.Since
	if e.old != nil {
		since = e.old.Since
	}
	return max(e.prog.UpTo, since-1)
}

// moment is a moment with the version that it goes by.
type moment struct {
	at  int64
	v   *version
	why string
}

// nextMoment is the first moment after a time.
func (e *entry) nextMoment(after int64) (m moment, ok bool) {
	if e.old != nil && after < e.cur.Since-1 {
		if x, is := e.old.Spec.Next(time.UnixMilli(after)); is && x.At.UnixMilli() < e.cur.Since {
			return moment{x.At.UnixMilli(), e.old, x.Why}, true
		}
	}
	x, is := e.cur.Spec.Next(time.UnixMilli(max(after, e.cur.Since-1)))
	return moment{x.At.UnixMilli(), e.cur, x.Why}, is
}

// plan puts an entry where it is due next.
func (h *Host) plan(e *entry) {
	h.unqueue(e)
	if e.cur == nil || e.def.Paused {
		return
	}
	if m, ok := e.nextMoment(e.after()); ok {
		h.enqueueAt(e, m.at)
	}
}

func (h *Host) enqueueAt(e *entry, at int64) {
	h.unqueue(e)
	e.at = at
	heap.Push(&h.due, e)
}
