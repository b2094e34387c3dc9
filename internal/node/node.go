// Package node runs a controller in a process: it connects the scheduler's core
// to sockets, timers and the extensions for workflows and schedules.
//
// The package owns the process's listeners, its clients of the state service, the
// cloud, the peers and the workers, and one goroutine, the loop, which alone
// calls the core. The other goroutines wait for sockets and pass inputs to the
// loop through inputQueues. Each extension has a loop of its own, which works the
// same way.
//
// It assumes that the settings are valid and that ctx ends at most once.
//
// It guarantees that nothing blocks the loop. Inputs are processed by urgency:
// responses, then heartbeats, then users' requests. Each external request gets a
// response, an immediate refusal or a timeout. The process keeps no state across
// a restart: durable state is in the state service.
//
// It handles bursts of heartbeats or user requests with bounded queues, and sheds
// submissions while memory is short. Package connlimit bounds stalled clients,
// and every client of a service has a timeout.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/grebedock/grebedock/internal/cloud"
	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/connlimit"
	"github.com/grebedock/grebedock/internal/features"
	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/peer"
	"github.com/grebedock/grebedock/internal/statestore"
	"github.com/grebedock/grebedock/scheduler"
)

// Node is a running controller. Its exported methods are safe for concurrent
// use.
type Node struct {
	settings           *config.File
	logger             *slog.Logger
	startedAt          time.Time
	stopped            <-chan struct{}
	queues             inputQueues
	usable             atomic.Bool
	health             *health
	connectionLimiters []*connlimit.Limiter
	clients            clients
	workflows          *workflowRunner // nil: switched off
	schedules          *scheduleRunner // nil: switched off

	// Owned by the loop.
	core    *scheduler.Controller
	pending pendingRequests
}

// clients are the clients of every service that a controller sends requests to.
type clients struct {
	store   *statestore.Client
	cloud   *cloud.Client
	peers   *peer.Clients
	workers *httpclient.MultiHostClient
}

// connsPerWorker bounds the connections to one worker.
const connsPerWorker = 2

// Run runs a controller until ctx ends or a listener fails.
func Run(ctx context.Context, settings *config.File, enabled features.Set, logger *slog.Logger) error {
	n := &Node{
		settings:  settings,
		logger:    logger,
		startedAt: time.Now(),
		health:    newHealth(settings.Cluster.Limits.HeapBytes()),
		queues:    newInputQueues(),
		stopped:   ctx.Done(),
		pending:   newPendingRequests(),
	}
	p := n.coreParams(enabled)
	n.core = scheduler.New(p, rand.Uint64(), n.now())
	if enabled.Workflows.Enabled {
		n.workflows = newWorkflowRunner(n, settings, enabled.Workflows.DataDir)
	}
	if enabled.Schedules.Enabled {
		n.schedules = newScheduleRunner(n, settings)
	}
	n.clients = n.newClients(ctx, p.MaxPendingRelays)
	return n.serve(ctx, enabled)
}

func (n *Node) newClients(ctx context.Context, maxRelays int) clients {
	return clients{
		store:   statestore.New(ctx, n.settings, n.routeStoreResult),
		cloud:   cloud.New(ctx, n.settings, n.enqueueCloudResult),
		peers:   peer.NewClients(n.settings.Peers, maxRelays),
		workers: httpclient.NewMultiHostClient(connsPerWorker),
	}
}

// routeStoreResult passes a result of the state service to the component that
// made the request: an extension, whose request IDs carry its flag, or the core.
func (n *Node) routeStoreResult(id uint64, r scheduler.StoreResult) {
	switch {
	case id&workflowRequestFlag != 0:
		n.workflows.enqueueStoreResult(id, r)
	case id&scheduleRequestFlag != 0:
		n.schedules.enqueueStoreResult(id, r)
	default:
		n.enqueueResponse(func(now scheduler.Now) { n.core.HandleStoreResult(now, id, r) })
	}
}

func (n *Node) enqueueCloudResult(id uint64, r scheduler.CloudResult) {
	n.enqueueResponse(func(now scheduler.Now) { n.core.HandleCloudResult(now, id, r) })
}

// now returns the core's time. The monotonic part counts from the start of the
// process and is never 0.
func (n *Node) now() scheduler.Now {
	t := time.Now()
	return scheduler.Now{MonotonicMS: t.Sub(n.startedAt).Milliseconds() + 1, WallMS: t.UnixMilli()}
}
