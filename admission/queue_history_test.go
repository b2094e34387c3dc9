package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// requestState is the state of a request in a history.
type requestState string

const (
	waiting requestState = "waiting"
	served  requestState = "served"
	shed    requestState = "shed"
	drained requestState = "drained"
)

// queueHistory adds requests to a queue and completes its transactions, in any order.
type queueHistory struct {
	t          *rapid.T
	limits     Limits
	queue      *Queue[int]
	now        int64
	states     map[int]requestState
	priorities map[int]int
	inFlight   [][]Request[int]
	lastValue  int
	shedCount  int
}

func newQueueHistory(t *rapid.T) *queueHistory {
	limits := testLimits()
	limits.ChangesPerSecond = rapid.SampledFrom([]float64{1, 10, 100}).Draw(t, "rate")
	return &queueHistory{
		t:          t,
		limits:     limits,
		queue:      NewQueue[int](limits),
		states:     map[int]requestState{},
		priorities: map[int]int{},
	}
}

// leaveQueue records that a waiting request was served, shed or drained.
func (h *queueHistory) leaveQueue(request Request[int], state requestState) {
	if got := h.states[request.Value]; got != waiting {
		h.t.Fatalf("request %d becomes %s while it is %s", request.Value, state, got)
	}
	h.states[request.Value] = state
}

// serve checks a transaction and records it as in flight.
func (h *queueHistory) serve(batch []Request[int]) {
	changes, preconditions, bytes, lowestPriority := 0, 0, 0, 0
	for _, request := range batch {
		h.leaveQueue(request, served)
		changes += request.Changes
		preconditions += request.Preconditions
		bytes += request.Bytes
		lowestPriority = max(lowestPriority, request.Priority)
	}
	exceeded := changes > h.limits.MaxChanges ||
		preconditions > h.limits.MaxPreconditions ||
		bytes > h.limits.MaxBytes
	if len(batch) > 1 && exceeded {
		h.t.Fatalf("transaction exceeds a limit: %d changes, %d preconditions, %d bytes", changes, preconditions, bytes)
	}
	for value, state := range h.states {
		if state == waiting && h.priorities[value] < lowestPriority {
			h.t.Fatalf("priority %d is served while request %d of priority %d waits",
				lowestPriority, value, h.priorities[value])
		}
	}
	if len(batch) > 0 {
		h.inFlight = append(h.inFlight, batch)
	}
	if len(h.inFlight) > h.limits.MaxInFlight {
		h.t.Fatalf("%d transactions in flight, limit %d", len(h.inFlight), h.limits.MaxInFlight)
	}
}

func (h *queueHistory) enqueue() {
	h.lastValue++
	request := Request[int]{
		Team:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(h.t, "team"),
		Priority:      rapid.IntRange(0, 3).Draw(h.t, "priority"),
		Changes:       1,
		Preconditions: 2,
		Bytes:         rapid.IntRange(100, 16<<10).Draw(h.t, "bytes"),
		Value:         h.lastValue,
	}
	h.states[request.Value], h.priorities[request.Value] = waiting, request.Priority
	overBound := h.queue.queuedChanges > h.queue.maxQueuedChanges() // caused by requeued requests
	for _, s := range h.queue.Enqueue(h.now, request, rapid.Float64Range(0, 0.999).Draw(h.t, "jitter")) {
		h.shedCount++
		h.leaveQueue(s.Request, shed)
		if s.RetryAfterS < 1 || s.RetryAfterS > h.limits.MaxRetryAfterS {
			h.t.Fatalf("request %d is shed with Retry-After %d s, want 1 to %d s",
				s.Request.Value, s.RetryAfterS, h.limits.MaxRetryAfterS)
		}
		if s.Request.Priority < request.Priority && !overBound {
			h.t.Fatalf("priority %d is shed for priority %d", s.Request.Priority, request.Priority)
		}
	}
	maxQueued := max(h.limits.MaxChanges, int(h.limits.ChangesPerSecond*float64(h.limits.MaxWaitMS)/1000))
	if got := h.queue.queuedChanges; got > maxQueued {
		h.t.Fatalf("%d changes are queued, limit %d", got, maxQueued)
	}
}

// completeOne completes a transaction and sometimes requeues its requests.
func (h *queueHistory) completeOne() {
	if len(h.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.inFlight)-1).Draw(h.t, "transaction")
	batch := h.inFlight[i]
	h.inFlight = append(h.inFlight[:i:i], h.inFlight[i+1:]...)
	tookMS := rapid.Int64Range(1, 3000).Draw(h.t, "took")
	h.queue.Complete(batch, tookMS, rapid.Bool().Draw(h.t, "processed"))
	if rapid.IntRange(0, 4).Draw(h.t, "requeue") != 0 {
		return
	}
	for _, request := range batch {
		h.states[request.Value] = waiting
	}
	h.queue.Requeue(batch)
}

func (h *queueHistory) drain() {
	for _, request := range h.queue.Drain() {
		h.leaveQueue(request, drained)
	}
}

func (h *queueHistory) step() {
	h.now += rapid.Int64Range(0, 300).Draw(h.t, "ms")
	switch rapid.IntRange(0, 6).Draw(h.t, "event") {
	case 0, 1, 2:
		h.enqueue()
	case 3:
		h.serve(h.queue.NextBatch())
	case 4, 5:
		h.completeOne()
	case 6:
		if rapid.IntRange(0, 9).Draw(h.t, "drain") == 0 {
			h.drain()
		}
	}
}

// finish serves all waiting requests and checks that none remain.
func (h *queueHistory) finish() {
	for _, batch := range h.inFlight {
		h.queue.Complete(batch, 10, true)
	}
	for batch := h.queue.NextBatch(); len(batch) > 0; batch = h.queue.NextBatch() {
		h.inFlight = nil
		h.serve(batch)
		h.queue.Complete(batch, 10, true)
	}
	for value, state := range h.states {
		if state == waiting {
			h.t.Fatalf("request %d still waits", value)
		}
	}
	if q := h.queue; q.queuedChanges != 0 || q.inFlight != 0 || q.inFlightChanges != 0 {
		h.t.Fatalf("got %d changes queued, %d transactions in flight with %d changes, want none",
			q.queuedChanges, q.inFlight, q.inFlightChanges)
	}
}

// Tests that each submission is served or shed exactly once, for any submissions and any order in which
// transactions end. No transaction exceeds a limit, no lower priority is served while a higher one waits, and
// the queue and the transactions in flight stay bounded.
func TestEachRequestIsServedOrShedOnce(t *testing.T) {
	shedCount := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newQueueHistory(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			h.step()
		}
		h.finish()
		shedCount += h.shedCount
	})
	if shedCount == 0 {
		t.Error("no request was shed in any history")
	}
}
