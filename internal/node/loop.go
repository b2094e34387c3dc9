package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// tick is the interval of the core's timer. Each tick wakes the process: for a
// controller with a CPU share of 12 % of a core, ticks at twice the rate took a
// quarter of that share.
const tick = 100 * time.Millisecond

// enqueueResponse queues a response to the core for the loop. After the loop has
// ended, the response is dropped.
func (n *Node) enqueueResponse(f coreInput) { n.enqueue(n.queues.responses, f) }

func (n *Node) enqueue(queue chan coreInput, f coreInput) {
	select {
	case queue <- f:
	case <-n.stopped:
	}
}

// loop passes inputs to the core until ctx ends. It owns the core.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		input, due, ok := n.queues.next(ctx, ticker.C)
		if !ok {
			return
		}
		if input == nil {
			n.tickCore(due)
		} else {
			n.runBatch(input)
		}
		n.dispatchOutputs(n.core.TakeOutputs())
		// A due tick runs before the next batch, because it renews leases.
		select {
		case due := <-ticker.C:
			n.tickCore(due)
			n.dispatchOutputs(n.core.TakeOutputs())
		default:
		}
	}
}

func (n *Node) tickCore(due time.Time) {
	n.health.observeTick(due, time.Now())
	n.core.Tick(n.now())
}

// runBatch passes an input and the queued inputs after it to the core, so that
// they share one dispatch of the outputs.
func (n *Node) runBatch(input coreInput) {
	for i := 0; input != nil; i++ {
		input(n.now())
		if i == maxInputBatch {
			return
		}
		input = n.queues.poll()
	}
}

var slogLevels = map[scheduler.LogLevel]slog.Level{
	scheduler.Debug: slog.LevelDebug,
	scheduler.Info:  slog.LevelInfo,
	scheduler.Warn:  slog.LevelWarn,
}

// dispatchOutputs carries out the core's outputs. It never blocks the loop.
func (n *Node) dispatchOutputs(o scheduler.Outputs) {
	for _, line := range o.Logs {
		n.logger.Log(context.Background(), slogLevels[line.Level], line.Message, line.Args...)
	}
	for id, response := range o.HeartbeatResponses {
		n.pending.heartbeats.deliver(id, response)
	}
	for id, response := range o.UserResponses {
		n.pending.users.deliver(id, response)
	}
	for _, op := range o.StoreOps {
		n.clients.store.Send(op)
	}
	for _, op := range o.CloudOps {
		n.clients.cloud.Send(op)
	}
	for _, command := range o.DirectCommands {
		go n.sendDirectCommand(command)
	}
	for _, relay := range o.Relays {
		go n.sendRelay(relay)
	}
	if o.PeerMessage != nil {
		n.clients.peers.Send(o.PeerMessage, o.SummaryRecipients)
	}
	n.usable.Store(n.core.IsReadyForUsers())
}

// directCommandTimeout bounds a request with commands to a worker. After a
// timeout it is unknown whether the worker received them.
const directCommandTimeout = 2 * time.Second

func (n *Node) sendDirectCommand(command scheduler.DirectCommand) {
	status, body := n.clients.workers.Do(command.Addr, wire.DirectCommandRequest(command), directCommandTimeout)
	result := wire.ParseDirectCommandResult(status, body)
	n.enqueueResponse(func(now scheduler.Now) { n.core.HandleDirectCommandResult(now, command.ID, result) })
}

func (n *Node) sendRelay(relay scheduler.RelayRequest) {
	response, ok := n.clients.peers.Relay(relay)
	n.enqueueResponse(func(now scheduler.Now) { n.core.HandleRelayResult(now, relay.ID, response, ok) })
}
