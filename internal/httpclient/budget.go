package httpclient

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// urgencyLevels is the number of queues in a Budget. Urgency 0 is the most
// urgent.
const urgencyLevels = 4

// queuedRequest is a request in a queue of a Budget.
type queuedRequest struct {
	writeOps  int
	deadline  time.Time // dropped if still queued after this; zero: never
	send      func()
	onDropped func(time.Duration)
}

// isExpired reports whether the request's deadline has passed.
func (q *queuedRequest) isExpired(now time.Time) bool {
	return !q.deadline.IsZero() && now.After(q.deadline)
}

// Budget limits the rate of requests and sends the most urgent first. Each
// controller has a share of a service's limits, so that all controllers together
// stay within them. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	queues   [urgencyLevels][]queuedRequest
	wake     chan struct{}
	requests *rate.Limiter
	writes   *rate.Limiter
}

// NewBudget returns a budget of requests per second, and, if writes is above 0,
// of writes per second with bursts of up to maxWriteBurst. It sends until ctx
// ends; requests queued at that time are neither sent nor dropped.
func NewBudget(ctx context.Context, requests, writes float64, maxWriteBurst int) *Budget {
	b := &Budget{wake: make(chan struct{}, 1), requests: rate.NewLimiter(rate.Limit(requests), max(1, int(requests)))}
	if writes > 0 {
		b.writes = rate.NewLimiter(rate.Limit(writes), max(maxWriteBurst, int(writes)))
	}
	go b.loop(ctx)
	return b
}

// Enqueue queues a request that changes writeOps keys; urgency 0 is the most
// urgent. Either send or onDropped is called, on a separate goroutine. send is
// called when the budget allows the request. onDropped is called when the request
// would wait or has waited longer than maxWait; its argument is the expected
// wait, or 0 if that is unknown. With a maxWait of 0, a request waits without a
// limit and onDropped may be nil.
func (b *Budget) Enqueue(
	urgency, writeOps int,
	maxWait time.Duration,
	send func(),
	onDropped func(wait time.Duration),
) {
	request := queuedRequest{writeOps: writeOps, send: send, onDropped: onDropped}
	if maxWait > 0 {
		request.deadline = time.Now().Add(maxWait)
	}
	b.mu.Lock()
	urgency = min(max(urgency, 0), len(b.queues)-1)
	if maxWait > 0 {
		if wait := b.estimateWait(urgency, writeOps); wait > maxWait {
			// The request would be dropped at its deadline, so the caller is
			// notified at once.
			b.mu.Unlock()
			go onDropped(wait)
			return
		}
	}
	b.queues[urgency] = append(b.queues[urgency], request)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// estimateWait returns how long a new request would wait for the queued requests
// that precede it. The caller holds mu.
func (b *Budget) estimateWait(urgency, writeOps int) time.Duration {
	requests, writes := 1.0, float64(writeOps)
	for _, queue := range b.queues[:urgency+1] {
		requests += float64(len(queue))
		for _, queued := range queue {
			writes += float64(queued.writeOps)
		}
	}
	waitS := (requests - b.requests.Tokens()) / float64(b.requests.Limit())
	if b.limitsWrites(writeOps) {
		waitS = max(waitS, (writes-b.writes.Tokens())/float64(b.writes.Limit()))
	}
	return time.Duration(max(0, waitS) * float64(time.Second))
}

// dequeue removes the most urgent request if the budget allows it. Otherwise it
// returns the time until the budget allows it, or -1 if no request is queued. An
// expired request is returned with a nil send. No tokens are reserved for a
// queued request: a large write at the head of the queue once delayed lease
// renewals for longer than the leases lasted.
func (b *Budget) dequeue(now time.Time) (request queuedRequest, ok bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	urgency, found := b.mostUrgent()
	if !found {
		return queuedRequest{}, false, -1
	}
	request = b.queues[urgency][0]
	if request.isExpired(now) {
		request.send = nil
		b.removeFirst(urgency)
		return request, true, 0
	}
	if wait := b.delayUntilAllowed(now, request.writeOps); wait > 0 {
		return queuedRequest{}, false, wait
	}
	b.requests.AllowN(now, 1)
	if b.limitsWrites(request.writeOps) {
		b.writes.AllowN(now, min(request.writeOps, b.writes.Burst()))
	}
	b.removeFirst(urgency)
	return request, true, 0
}

// mostUrgent returns the urgency of the first non-empty queue.
func (b *Budget) mostUrgent() (urgency int, found bool) {
	for urgency := range b.queues {
		if len(b.queues[urgency]) > 0 {
			return urgency, true
		}
	}
	return 0, false
}

// removeFirst removes a queue's first request, and clears its slot, since the
// underlying array would retain the references.
func (b *Budget) removeFirst(urgency int) {
	queue := b.queues[urgency]
	queue[0] = queuedRequest{}
	b.queues[urgency] = queue[1:]
}

// limitsWrites reports whether the write budget applies to a request.
func (b *Budget) limitsWrites(writeOps int) bool { return b.writes != nil && writeOps > 0 }

// delayUntilAllowed returns the time until the budget allows a request, or 0 if
// it allows it now. A write of more keys than the burst is allowed when the burst
// is full.
func (b *Budget) delayUntilAllowed(now time.Time, writeOps int) time.Duration {
	delayS := (1 - b.requests.TokensAt(now)) / float64(b.requests.Limit())
	if b.limitsWrites(writeOps) {
		needed := float64(min(writeOps, b.writes.Burst()))
		delayS = max(delayS, (needed-b.writes.TokensAt(now))/float64(b.writes.Limit()))
	}
	if delayS <= 0 {
		return 0
	}
	return max(time.Millisecond, time.Duration(delayS*float64(time.Second)))
}

// loop sends the requests that the budget allows, and sleeps until it allows more
// or a request is queued.
func (b *Budget) loop(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		request, ok, wait := b.dequeue(time.Now())
		switch {
		case ok && request.send != nil:
			go request.send()
			continue
		case ok:
			go request.onDropped(0)
			continue
		case wait > 0:
			timer.Reset(wait)
		default:
			timer.Stop()
		}
		select {
		case <-b.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}
