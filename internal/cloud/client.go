// Package cloud sends the core's requests to the cloud: for the catalog of
// machine types, for the list of instances, to provision and to release.
//
// The package owns the connections to the cloud and this controller's share of
// its rate limit.
//
// It assumes that the fleet leader makes nearly all requests, and that the
// caller's request IDs are unique while a request is open.
//
// It guarantees one result for each request until its context ends, and never
// sends a request twice. The core determines whether a request without a response
// was executed, by idempotency keys and the list of instances. The package
// handles a cloud that is slow, does not respond, or refuses requests.
package cloud

import (
	"context"
	"time"

	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// maxConns bounds the connections to the cloud.
const maxConns = 8

// leaderRateShare is the share of the cloud's rate limit that one controller may
// use. The fleet leader makes nearly all requests. The rest is reserved because
// the other controllers read the catalog once, and a new leader may take over
// immediately.
const leaderRateShare = 0.75

// timeout bounds a request, excluding the time that it waits for the budget.
const timeout = 4 * time.Second

// Client sends requests to the cloud. It is safe for concurrent use.
type Client struct {
	client   *httpclient.Client
	budget   *httpclient.Budget
	onResult func(uint64, scheduler.CloudResult)
}

// New returns a client that sends until ctx ends. It calls onResult with the ID
// and the result of each request, on a separate goroutine.
func New(ctx context.Context, settings *config.File, onResult func(uint64, scheduler.CloudResult)) *Client {
	return &Client{
		client:   httpclient.NewClient(settings.External.Cloud, maxConns),
		budget:   httpclient.NewBudget(ctx, settings.Cluster.Cloud.RPS*leaderRateShare, 0, 0),
		onResult: onResult,
	}
}

// Send queues a request within the budget, by its urgency, and returns at once.
// The request waits for the budget without a limit.
func (c *Client) Send(op scheduler.CloudOp) {
	send := func() {
		status, body := c.client.Do(wire.CloudRequest(op), timeout)
		c.onResult(op.ID, wire.ParseCloudResult(op, status, body))
	}
	c.budget.Enqueue(op.Kind.Urgency(), 0, 0, send, nil)
}
