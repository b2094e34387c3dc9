package availability

import (
	"slices"
	"sort"
)

// Entry is Count tasks of one group that run one after the other in a queue, each of them by Deadline.
type Entry struct {
	Deadline int64
	Length   int64 // of one task
	Count    int64
}

func (e Entry) totalLength() int64 { return e.Length * e.Count }

// Queue is a non-preemptive earliest-deadline queue of speed 1. What runs at its head cannot be stopped, so nothing
// admitted starts before EarliestStart. The zero value is an empty queue that can start at 0.
type Queue struct {
	EarliestStart int64
	entries       []Entry
	totalLength   int64 // of all entries
}

// Reset empties the queue for another round with another earliest start. It keeps its memory: a planner that fills a
// thousand queues a second makes no garbage.
func (q *Queue) Reset(earliestStart int64) {
	q.EarliestStart, q.entries, q.totalLength = earliestStart, q.entries[:0], 0
}

// Entries returns the admitted entries in the order in which they would run. The caller must not change them, and they
// are good until the next Admit or Reset.
func (q *Queue) Entries() []Entry { return q.entries }

// End is when the last admitted task would end.
func (q *Queue) End() int64 { return q.EarliestStart + q.totalLength }

// LastDeadline is the latest deadline that was admitted; ok is false if none was.
func (q *Queue) LastDeadline() (deadline int64, ok bool) {
	if n := len(q.entries); n > 0 {
		return q.entries[n-1].Deadline, true
	}
	return 0, false
}

// MayAdmit reports, at little cost, whether a task might be admitted: if not, Admit admits none. l(δ) is at most the
// time from EarliestStart to δ, and at most what the queue has free up to its last deadline, or behind it.
func (q *Queue) MayAdmit(deadline, length int64) bool {
	if deadline-q.EarliestStart < length {
		return false
	}
	n := len(q.entries)
	return n == 0 || max(deadline, q.entries[n-1].Deadline)-q.End() >= length
}

// insertionIndex is where a task with this deadline would be inserted: behind every entry with the same or an earlier
// deadline.
func (q *Queue) insertionIndex(deadline int64) int {
	return sort.Search(len(q.entries), func(i int) bool { return q.entries[i].Deadline > deadline })
}

// insertionWindow returns when the tasks before the insertion point of a deadline have ended (the paper's e), and the
// latest start of the tasks behind it that still keeps all their deadlines (the paper's x). ok is false if there is
// nothing behind it.
func (q *Queue) insertionWindow(deadline int64) (predecessorsEnd, latestStart int64, ok bool) {
	index := q.insertionIndex(deadline)
	predecessorsEnd = q.EarliestStart
	for _, entry := range q.entries[:index] {
		predecessorsEnd += entry.totalLength()
	}
	for i := len(q.entries) - 1; i >= index; i-- {
		entry := q.entries[i]
		end := entry.Deadline
		if ok && latestStart < end {
			end = latestStart
		}
		latestStart, ok = end-entry.totalLength(), true
	}
	return predecessorsEnd, latestStart, ok
}

// Available is l(δ) = min(δ, x) − e: how long the queue can work for a new task that must end by a deadline, with every
// admitted deadline kept. See insertionWindow for e and x.
func (q *Queue) Available(deadline int64) int64 {
	if n := len(q.entries); n == 0 || q.entries[n-1].Deadline <= deadline {
		return max(0, deadline-q.End()) // nothing is behind it
	}
	predecessorsEnd, latestStart, ok := q.insertionWindow(deadline)
	end := deadline
	if ok && latestStart < end {
		end = latestStart
	}
	return max(0, end-predecessorsEnd)
}

// Admit adds as many of count tasks as the queue can end by a deadline without breaking one that it already holds, and
// returns their number.
func (q *Queue) Admit(deadline, length, count int64) int64 {
	length = max(length, 1)
	n := min(count, q.Available(deadline)/length)
	if n <= 0 {
		return 0
	}
	index := q.insertionIndex(deadline)
	q.entries = append(q.entries, Entry{})
	copy(q.entries[index+1:], q.entries[index:])
	q.entries[index] = Entry{Deadline: deadline, Length: length, Count: n}
	q.totalLength += n * length
	return n
}

// Samples returns the breakpoints of l(δ) up to a horizon: the queue's earliest start, and for each entry the end of
// what is before an insertion point, the latest start of what is behind it, and the deadline that moves the insertion
// point.
func (q *Queue) Samples(horizon int64) []Sample {
	if q.EarliestStart >= horizon {
		return []Sample{{TimeMS: horizon}}
	}
	times := make([]int64, 0, 2+6*len(q.entries))
	times = append(times, q.EarliestStart, horizon)
	for _, e := range q.entries {
		// l(δ) jumps where δ passes an entry's deadline, unless the entries leave no slack: a sample just before it
		// keeps the function a minimum of the true one on both sides.
		times = append(times, e.Deadline-1, e.Deadline)
		if predecessorsEnd, latestStart, ok := q.insertionWindow(e.Deadline - 1); ok {
			times = append(times, predecessorsEnd, latestStart)
		}
		if predecessorsEnd, latestStart, ok := q.insertionWindow(e.Deadline); ok {
			times = append(times, predecessorsEnd, latestStart)
		} else {
			times = append(times, predecessorsEnd)
		}
	}
	slices.Sort(times)
	samples := make([]Sample, 0, len(times))
	for _, t := range times {
		isRepeated := len(samples) > 0 && samples[len(samples)-1].TimeMS == t
		if t < q.EarliestStart || t > horizon || isRepeated {
			continue
		}
		samples = append(samples, Sample{TimeMS: t, AvailableMS: q.Available(t)})
	}
	return samples
}
