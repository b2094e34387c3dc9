package node

import (
	"context"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// coreInput passes one input to the core. The loop calls it.
type coreInput func(scheduler.Now)

// inputQueues are the loop's inputs, most urgent first. Claims and the
// controller's lease depend on responses of the state service, the cloud, workers
// and peers, so these precede new heartbeats. Workers' leases depend on
// heartbeats, so these precede users' requests. A burst of heartbeats from
// hundreds of machines, or of requests from users who all reconnect, delays only
// inputs of its own queue and of less urgent ones.
type inputQueues struct {
	responses, heartbeats, userRequests chan coreInput
}

// Queue capacities. Responses and heartbeats are never dropped: the excess waits
// in the connections' goroutines, whose number the sockets bound. User requests
// beyond the capacity are refused with a retry time, since a longer queue would
// only delay the requests after them.
const (
	responseQueueSize  = 256
	heartbeatQueueSize = 256
	userQueueSize      = 1024
)

// maxInputBatch bounds the inputs after the first that share one dispatch of the
// outputs, and thereby the delay of a tick.
const maxInputBatch = 256

func newInputQueues() inputQueues {
	return inputQueues{
		responses:    make(chan coreInput, responseQueueSize),
		heartbeats:   make(chan coreInput, heartbeatQueueSize),
		userRequests: make(chan coreInput, userQueueSize),
	}
}

// next returns the most urgent input; if none is queued, it waits for one or for
// a tick. A nil input means that the tick due at that time has fired. ok is false
// when ctx has ended.
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

// poll returns the most urgent queued input, or nil.
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
