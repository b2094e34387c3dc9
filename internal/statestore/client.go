// Package statestore carries the core's requests to the state service.
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

// Client is a client of the state service.
type Client struct {
	requestClient, watchClient *httpclient.Client
	budget                     *httpclient.Budget
	onResult                   func(uint64, scheduler.StoreResult)
}

// New returns a client; done is called with each request's result.
func New(ctx context.Context, settings *config.File, onResult func(uint64, scheduler.StoreResult)) *Client {
	controllers := float64(len(settings.Peers) + 1)
	limits := settings.Cluster.State
	return &Client{
		requestClient: httpclient.NewClient(settings.External.State, max(4, settings.Cluster.Limits.MaxSockets/10)),
		watchClient:   httpclient.NewClient(settings.External.State, 2),
		budget:        httpclient.NewBudget(ctx, limits.RPS/controllers, limits.WriteRPS/controllers, limits.TxnOps),
		onResult:      onResult,
	}
}

// timeout bounds a request; the service answers in hundredths of a second, now
// and then in a few tenths.
const timeout = access.RequestTimeout

// Send queues a request within the budget.
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
	s.budget.Enqueue(int(op.Urgency), len(op.Changes), maxWait, func() {
		queuedFor := time.Since(queuedAt)
		status, body := client.Do(wire.StoreRequest(op), limit)
		r := wire.ParseStoreResult(op, status, body)
		r.QueuedMS = queuedFor.Milliseconds()
		s.onResult(op.ID, r)
	}, func(wait time.Duration) {
		s.onResult(op.ID, scheduler.StoreResult{Outcome: scheduler.Throttled, RetryAfterMS: wait.Milliseconds()})
	})
}
