// Package store carries the core's requests to the state service.
package store

import (
	"context"
	"time"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/rest"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// Store is a client of the state service.
type Store struct {
	client, watch *rest.Client
	budget        *rest.Budget
	done          func(uint64, scheduler.StoreResult)
}

// New returns a client; done is called with each request's result.
func New(ctx context.Context, f *config.File, done func(uint64, scheduler.StoreResult)) *Store {
	members := float64(len(f.Others) + 1)
	st := f.Cluster.State
	return &Store{
		client: rest.NewClient(f.External.State, max(4, f.Cluster.Limits.MaxSockets/10)),
		watch:  rest.NewClient(f.External.State, 2),
		budget: rest.NewBudget(ctx, st.RPS/members, st.WriteRPS/members, st.TxnOps),
		done:   done,
	}
}

// timeout bounds a request; the service answers in hundredths of a second, now
// and then in a few tenths.
const timeout = access.Timeout

// Do queues a request within the budget.
func (s *Store) Do(op scheduler.StoreOp) {
	client, limit := s.client, timeout
	if op.Kind == scheduler.StoreWatch {
		client, limit = s.watch, timeout+time.Duration(op.MS)*time.Millisecond
	}
	patience := time.Duration(0)
	if op.Urgency == scheduler.Reads || op.Urgency == scheduler.Answers {
		patience = timeout
	}
	queued := time.Now()
	s.budget.Put(int(op.Urgency), len(op.Changes), patience, func() {
		waited := time.Since(queued)
		status, body := client.Do(wire.StoreRequest(op), limit)
		r := wire.StoreResult(op, status, body)
		r.QueueMS = waited.Milliseconds()
		s.done(op.ID, r)
	}, func(wait time.Duration) {
		s.done(op.ID, scheduler.StoreResult{Outcome: scheduler.Throttled, RetryMS: wait.Milliseconds()})
	})
}
