package node

import (
	"context"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// coreInput gives the core one input. The loop calls it.
type coreInput func(scheduler.Now)

// inputQueues are the loop's inputs, most urgent first. Responses of the state
// service, the cloud, workers and peers come before new heartbeats, since claims
// and the controller's lease depend on them; heartbeats come before users'
// requests, since workers' leases depend on them. Hundreds of machines that send
// heartbeats at once, or users who all come back, queue behind one another and
// not in front of the rest.
type inputQueues struct {
	responses, heartbeats, userRequests chan coreInput
}

// Depths of the queues. A response is never dropped, nor is a heartbeat: more of
// them wait in their connections' goroutines, which the sockets bound. Users
// past their depth are told to retry: waiting longer, each would only take the
// place of the next.
const (
	responseQueueSize  = 256
	heartbeatQueueSize = 256
	userQueueSize      = 1024
)

// maxInputBatch bounds the inputs after the first that share one dispatch of
// the outputs, and with it the delay of a tick.
const maxInputBatch = 256

func newInputQueues() inputQueues {
	return inputQueues{
		responses:    make(chan coreInput, responseQueueSize),
		heartbeats:   make(chan coreInput, heartbeatQueueSize),
		userRequests: make(chan coreInput, userQueueSize),
	}
}

// next returns the most urgent input; if none waits, it waits for one or for a
// tick. An input of nil means that the tick that was due then has come; ok is
// false when ctx has ended.
func (q *inputQueues) next(ctx context.Context, ticks <-chan time.Time) (input coreInput, due time.Time, ok bool) {
	if input := q.poll(); input != nil {
		return input, time.Time{}, true
	}
	select {
	case <-ctx.Done():
		return nil, time.Time{}, false
	case input = <-q.responses:
	case input = <-q.heartbeats:
	case input = <-q.userRequests:
	case due = <-ticks:
	}
	return input, due, true
}

// poll returns the most urgent input that waits, or nil.
func (q *inputQueues) poll() coreInput {
	for _, queue := range []chan coreInput{q.responses, q.heartbeats, q.userRequests} {
		select {
		case input := <-queue:
			return input
		default:
		}
	}
	return nil
}
