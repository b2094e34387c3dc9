// Package httpclient makes HTTP requests to the services that a controller uses,
// within a rate budget and most urgent first.
package httpclient

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/grebedock/grebedock/internal/wire"
)

// Client talks to one service.
type Client struct{ host *fasthttp.HostClient }

// NewClient returns a client for the service at addr.
func NewClient(addr string, conns int) *Client {
	return &Client{host: &fasthttp.HostClient{
		Addr: addr, MaxConns: conns, MaxIdleConnDuration: time.Minute, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true, MaxIdemponentCallAttempts: 1, RetryIfErr: noRetry,
	}}
}

// Do makes a request. Without an answer in time the status is 0: the request
// may have been executed.
func (c *Client) Do(r wire.Request, timeout time.Duration) (int, []byte) {
	return roundTrip(c.host, c.host.Addr, r, "application/json", timeout)
}

// DoType is Do with a content type.
func (c *Client) DoType(r wire.Request, contentType string, timeout time.Duration) (int, []byte) {
	return roundTrip(c.host, c.host.Addr, r, contentType, timeout)
}

// MultiHostClient talks to many hosts, a few requests to each.
type MultiHostClient struct{ http *fasthttp.Client }

// NewMultiHostClient returns a client for any address, with so many connections to each.
func NewMultiHostClient(conns int) *MultiHostClient {
	return &MultiHostClient{
		http: &fasthttp.Client{MaxConnsPerHost: conns, MaxIdleConnDuration: 30 * time.Second, NoDefaultUserAgentHeader: true,
			MaxIdemponentCallAttempts: 1, RetryIfErr: noRetry},
	}
}

// Do makes a request to a host.
func (c *MultiHostClient) Do(addr string, r wire.Request, timeout time.Duration) (int, []byte) {
	return roundTrip(c.http, addr, r, "application/json", timeout)
}

// Response is an answer; Status 0 means that there was none in time.
type Response struct {
	Status      int
	Body        []byte
	RetryAfterS int // what Retry-After says, 0 if nothing
}

// DoWithRetryAfter makes a request to a host and tells when it wants to be asked again.
func (c *MultiHostClient) DoWithRetryAfter(addr string, r wire.Request, timeout time.Duration) Response {
	var response Response
	response.Status, response.Body = roundTripInspecting(
		c.http,
		addr,
		r,
		"application/json",
		timeout,
		func(res *fasthttp.Response) {
			response.RetryAfterS, _ = strconv.Atoi(string(res.Header.Peek(fasthttp.HeaderRetryAfter)))
		},
	)
	return response
}

// noRetry: a request that may have been executed is settled by its asker, so
// none is sent twice on its own.
func noRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

type timeoutDoer interface {
	DoTimeout(*fasthttp.Request, *fasthttp.Response, time.Duration) error
}

func roundTrip(c timeoutDoer, addr string, r wire.Request, contentType string, timeout time.Duration) (int, []byte) {
	return roundTripInspecting(c, addr, r, contentType, timeout, func(*fasthttp.Response) {})
}

func roundTripInspecting(
	c timeoutDoer,
	addr string,
	r wire.Request,
	contentType string,
	timeout time.Duration,
	inspect func(*fasthttp.Response),
) (int, []byte) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + addr + r.Path)
	req.Header.SetMethod(r.Method)
	if r.Body != nil {
		req.Header.SetContentType(contentType)
		req.SetBodyRaw(r.Body)
	}
	if err := c.DoTimeout(req, res, timeout); err != nil {
		return 0, nil
	}
	inspect(res)
	// The response's buffer is used again.
	return res.StatusCode(), append([]byte(nil), res.Body()...)
}

// queuedRequest is a request that waits for its turn.
type queuedRequest struct {
	writeOps  int
	deadline  time.Time // dropped when it waits past this; zero: never
	send      func()
	onDropped func(time.Duration)
}

// Budget lets requests through at a rate, most urgent first. Each member has
// its part of a service's limits, so that all together stay within them.
type Budget struct {
	mu       sync.Mutex
	queues   [4][]queuedRequest
	wake     chan struct{}
	requests *rate.Limiter
	writes   *rate.Limiter
}

// NewBudget returns a budget of requests, and of writes if writes is above 0.
func NewBudget(ctx context.Context, requests, writes float64, maxWriteBurst int) *Budget {
	b := &Budget{wake: make(chan struct{}, 1), requests: rate.NewLimiter(rate.Limit(requests), max(1, int(requests)))}
	if writes > 0 {
		b.writes = rate.NewLimiter(rate.Limit(writes), max(maxWriteBurst, int(writes)))
	}
	go b.loop(ctx)
	return b
}

// Enqueue queues a request. run is called on its own goroutine when it may go,
// drop when it would wait, or waited, longer than patience: with how long that
// is, if it is known.
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
			// It would be dropped when its time is up; whoever asks is better
			// told now.
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

// estimateWait is how long a request would wait behind those that go before it.
func (b *Budget) estimateWait(urgency, writeOps int) time.Duration {
	requests, writes := 1.0, float64(writeOps)
	for _, q := range b.queues[:urgency+1] {
		for _, j := range q {
			requests++
			writes += float64(j.writeOps)
		}
	}
	waitS := (requests - b.requests.Tokens()) / float64(b.requests.Limit())
	if b.writes != nil && writeOps > 0 {
		waitS = max(waitS, (writes-b.writes.Tokens())/float64(b.writes.Limit()))
	}
	return time.Duration(max(0, waitS) * float64(time.Second))
}

// dequeue removes the most urgent request if there is room for it, or says when
// there will be. Nothing is set aside for one that waits: a large write that was
// first in line once held up holds for longer than they lasted.
func (b *Budget) dequeue(now time.Time) (request queuedRequest, ok bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.queues {
		queue := b.queues[i]
		if len(queue) == 0 {
			continue
		}
		request := queue[0]
		expired := !request.deadline.IsZero() && now.After(request.deadline)
		if !expired {
			if wait := b.delayUntilAllowed(now, request.writeOps); wait > 0 {
				return queuedRequest{}, false, wait
			}
			b.requests.AllowN(now, 1)
			if request.writeOps > 0 && b.writes != nil {
				b.writes.AllowN(now, min(request.writeOps, b.writes.Burst()))
			}
		}
		queue[0] = queuedRequest{}
		b.queues[i] = queue[1:]
		if expired {
			request.send = nil
		}
		return request, true, 0
	}
	return queuedRequest{}, false, -1
}

// delayUntilAllowed is how long it takes until a request may go, 0 if it may now.
func (b *Budget) delayUntilAllowed(now time.Time, writeOps int) time.Duration {
	delayS := (1 - b.requests.TokensAt(now)) / float64(b.requests.Limit())
	if b.writes != nil && writeOps > 0 {
		delayS = max(delayS, (float64(min(writeOps, b.writes.Burst()))-b.writes.TokensAt(now))/float64(b.writes.Limit()))
	}
	if delayS <= 0 {
		return 0
	}
	return max(time.Millisecond, time.Duration(delayS*float64(time.Second)))
}

func (b *Budget) loop(ctx context.Context) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
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
			t.Reset(wait)
		default:
			t.Stop()
		}
		select {
		case <-b.wake:
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
