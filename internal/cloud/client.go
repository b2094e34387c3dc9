// Package cloud sends the core's requests to the cloud: for the catalog of
// machine types, for the list of instances, to provision and to release.
//
// It owns the connections to the cloud and this controller's share of its rate.
//
// It may assume that nearly all requests are the fleet leader's, and that the
// caller's request IDs are unique while a request is open.
//
// It promises one result for each request while its context lasts, and never
// sends one twice: whether one without a response was executed is for the core
// to find out, by idempotency keys and the list of instances. It is built for a
// cloud that is slow, that does not respond, or that refuses.
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

// leaderRateShare is the share of the cloud's rate that one controller may use.
// Nearly all requests are the fleet leader's; the others read the catalog once,
// and a new leader may follow an old one at once.
const leaderRateShare = 0.75

// timeout bounds a request, apart from its wait for the budget.
const timeout = 4 * time.Second

// Client sends requests to the cloud. It is safe for concurrent use.
type Client struct {
	client   *httpclient.Client
	budget   *httpclient.Budget
	onResult func(uint64, scheduler.CloudResult)
}

// New returns a client that sends until ctx ends. onResult receives the ID and
// the result of each request, on a goroutine of its own.
func New(ctx context.Context, settings *config.File, onResult func(uint64, scheduler.CloudResult)) *Client {
	return &Client{
		client:   httpclient.NewClient(settings.External.Cloud, maxConns),
		budget:   httpclient.NewBudget(ctx, settings.Cluster.Cloud.RPS*leaderRateShare, 0, 0),
		onResult: onResult,
	}
}

// Send queues a request within the budget, by its urgency, and returns at once.
// It waits for as long as it takes.
func (c *Client) Send(op scheduler.CloudOp) {
	send := func() {
		status, body := c.client.Do(wire.CloudRequest(op), timeout)
		c.onResult(op.ID, wire.ParseCloudResult(op, status, body))
	}
	c.budget.Enqueue(op.Kind.Urgency(), 0, 0, send, nil)
}
