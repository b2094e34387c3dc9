// Package statestore sends the core's requests to the state service.
//
// The package owns the connections to the service and this controller's share of
// its rate limits. It keeps no copy of stored data: the core has the state cache.
//
// It assumes that the other controllers stay within their shares, and that the
// caller's request IDs are unique while a request is open.
//
// It guarantees one result for each request until its context ends, and never
// sends a request twice: the core determines whether a write without a response
// took effect. It handles a service that is slow, does not respond, or throttles
// requests.
package statestore

import (
	"context"
	"time"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// watchConns is the number of connections for watches. Watches have a separate
// client, so that long polls never delay a lease renewal.
const watchConns = 2

// Client sends requests to the state service. It is safe for concurrent use.
type Client struct {
	requestClient, watchClient *httpclient.Client
	budget                     *httpclient.Budget
	onResult                   func(uint64, scheduler.StoreResult)
}

// New returns a client that sends until ctx ends. It calls onResult with the ID
// and the result of each request, on a separate goroutine.
func New(ctx context.Context, settings *config.File, onResult func(uint64, scheduler.StoreResult)) *Client {
	controllers := float64(len(settings.Peers) + 1)
	limits := settings.Cluster.State
	addr := settings.External.State
	requestConns := max(4, settings.Cluster.Limits.MaxSockets/10)
	return &Client{
		requestClient: httpclient.NewClient(addr, requestConns),
		watchClient:   httpclient.NewClient(addr, watchConns),
		budget:        httpclient.NewBudget(ctx, limits.RPS/controllers, limits.WriteRPS/controllers, limits.TxnOps),
		onResult:      onResult,
	}
}

// timeout bounds a request. The service normally responds within hundredths of a
// second, and occasionally takes a few tenths.
const timeout = access.RequestTimeout

// Send queues a request within the budget and returns at once. A read or a user's
// request that would wait longer than timeout is throttled instead. Requests that
// leases and claims depend on wait without a limit.
func (s *Client) Send(op scheduler.StoreOp) {
	client, limit := s.requestClient, timeout
	if op.Kind == scheduler.StoreWatch {
		client, limit = s.watchClient, timeout+time.Duration(op.DurationMS)*time.Millisecond
	}
	maxWait := time.Duration(0)
	if op.Urgency == scheduler.UrgencyRead || op.Urgency == scheduler.UrgencyUser {
		maxWait = timeout
	}
	queuedAt := time.Now()
	send := func() {
		queuedFor := time.Since(queuedAt)
		status, body := client.Do(wire.StoreRequest(op), limit)
		result := wire.ParseStoreResult(op, status, body)
		result.QueuedMS = queuedFor.Milliseconds()
		s.onResult(op.ID, result)
	}
	onDropped := func(wait time.Duration) {
		s.onResult(op.ID, scheduler.StoreResult{Outcome: scheduler.Throttled, RetryAfterMS: wait.Milliseconds()})
	}
	s.budget.Enqueue(int(op.Urgency), len(op.Changes), maxWait, send, onDropped)
}
