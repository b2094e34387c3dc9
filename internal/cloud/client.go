// Package cloud carries the core's requests to the cloud.
package cloud

import (
	"context"
	"time"

	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// Client is a client of the cloud.
type Client struct {
	client   *httpclient.Client
	budget   *httpclient.Budget
	onResult func(uint64, scheduler.CloudResult)
}

// New returns a client; done is called with each request's result.
func New(ctx context.Context, settings *config.File, onResult func(uint64, scheduler.CloudResult)) *Client {
	// Nearly all requests are the fleet lead's; the others ask for the machine
	// types once, and a new lead may follow an old one at once.
	return &Client{
		client:   httpclient.NewClient(settings.External.Cloud, 8),
		budget:   httpclient.NewBudget(ctx, settings.Cluster.Cloud.RPS*leaderRateShare, 0, 0),
		onResult: onResult,
	}
}

// leaderRateShare is how much of the cloud's rate one member may use.
const leaderRateShare = 0.75

// timeout bounds a request.
const timeout = 4 * time.Second

// Send queues a request within the budget.
func (c *Client) Send(op scheduler.CloudOp) {
	c.budget.Enqueue(op.Kind.Urgency(), 0, 0, func() {
		status, body := c.client.Do(wire.CloudRequest(op), timeout)
		c.onResult(op.ID, wire.ParseCloudResult(op, status, body))
	}, nil)
}
