package availability

import (
	"slices"
	"sort"
)

// Entry is Count tasks of one group that run one after the other in a queue. Each of them ends by Deadline.
type Entry struct {
	Deadline int64
	Length   int64 // length of one task
	Count    int64
}

func (e Entry) totalLength() int64 { return e.Length * e.Count }

// Queue is a non-preemptive earliest-deadline queue of speed 1. The running task at its head cannot be stopped, so
// admitted tasks start at EarliestStart or later. The zero value is an empty queue with an earliest start of 0.
type Queue struct {
	EarliestStart int64
	entries       []Entry
	totalLength   int64 // total length of all entries
}

// Reset empties the queue for another round with another earliest start. It reuses the memory, so that a planner that
// fills a thousand queues per second creates no garbage.
func (q *Queue) Reset(earliestStart int64) {
	q.EarliestStart, q.entries, q.totalLength = earliestStart, q.entries[:0], 0
}

// Entries returns the admitted entries in the order in which they would run. The caller must not modify them. They are
// valid until the next Admit or Reset.
func (q *Queue) Entries() []Entry { return q.entries }

// End returns the time at which the last admitted task would end.
func (q *Queue) End() int64 { return q.EarliestStart + q.totalLength }

// LastDeadline returns the latest admitted deadline. ok is false if the queue is empty.
func (q *Queue) LastDeadline() (deadline int64, ok bool) {
	if n := len(q.entries); n > 0 {
		return q.entries[n-1].Deadline, true
	}
	return 0, false
}

// MayAdmit is an inexpensive check whether a task might be admitted: if it returns false, Admit admits none. l(δ) is at
// most the time from EarliestStart to δ, and at most the free time up to the later of δ and the last deadline.
func (q *Queue) MayAdmit(deadline, length int64) bool {
	if deadline-q.EarliestStart < length {
		return false
	}
	n := len(q.entries)
	return n == 0 || max(deadline, q.entries[n-1].Deadline)-q.End() >= length
}

// insertionIndex returns the index at which a task with this deadline would be inserted: after every entry with the
// same or an earlier deadline.
func (q *Queue) insertionIndex(deadline int64) int {
	return sort.Search(len(q.entries), func(i int) bool { return q.entries[i].Deadline > deadline })
}

// insertionWindow returns the time at which the tasks before the insertion point of a deadline have ended (the paper's
// e), and the latest start of the tasks after it that keeps all their deadlines (the paper's x). ok is false if there
// are no tasks after it.
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

// Available returns l(δ) = min(δ, x) − e: the time that the queue has for a new task that must end by a deadline, while
// it keeps every admitted deadline. See insertionWindow for e and x.
func (q *Queue) Available(deadline int64) int64 {
	if n := len(q.entries); n == 0 || q.entries[n-1].Deadline <= deadline {
		return max(0, deadline-q.End()) // no tasks after the insertion point
	}
	predecessorsEnd, latestStart, ok := q.insertionWindow(deadline)
	end := deadline
	if ok && latestStart < end {
		end = latestStart
	}
	return max(0, end-predecessorsEnd)
}

// Admit adds as many of count tasks as the queue can end by a deadline without missing an admitted deadline, and
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

// Samples returns the breakpoints of l(δ) up to a horizon. These are the queue's earliest start and, for each entry,
// the end of the tasks before an insertion point, the latest start of those after it, and the deadline at which the
// insertion point moves.
func (q *Queue) Samples(horizon int64) []Sample {
	if q.EarliestStart >= horizon {
		return []Sample{{TimeMS: horizon}}
	}
	times := make([]int64, 0, 2+6*len(q.entries))
	times = append(times, q.EarliestStart, horizon)
	for _, e := range q.entries {
		// l(δ) jumps where δ passes an entry's deadline, unless the entries leave no slack. A sample just before the
		// deadline keeps the sampled function at or below l(δ) on both sides.
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
