package node

import (
	"context"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// coreInput is something that the core is told.
type coreInput func(scheduler.Now)

// inputQueues are the loop's inputs, most urgent first. What the state service, the
// cloud, workers and peers answer comes before new reports, since claims and
// holds hang on it, and reports come before users' requests, since leases hang
// on them. Hundreds of machines that report at once, or users who all come
// back, wait behind one another and not in front of the rest.
type inputQueues struct {
	responses, heartbeats, userRequests chan coreInput
}

// Depths of the lanes. An answer is never dropped; of the others more wait in
// their connections' goroutines, which the sockets bound. Users past theirs are
// told to come back: each took the place of the next for nothing.
const (
	responseQueueSize  = 256
	heartbeatQueueSize = 256
	userQueueSize      = 1024
)

func newInputQueues() inputQueues {
	return inputQueues{
		make(chan coreInput, responseQueueSize),
		make(chan coreInput, heartbeatQueueSize),
		make(chan coreInput, userQueueSize),
	}
}

// next takes what is most urgent, or waits for anything, or for a tick.
func (l *inputQueues) next(ctx context.Context, tick <-chan time.Time) (f coreInput, due time.Time, ok bool) {
	if f := l.poll(); f != nil {
		return f, time.Time{}, true
	}
	select {
	case <-ctx.Done():
		return nil, time.Time{}, false
	case f = <-l.responses:
	case f = <-l.heartbeats:
	case f = <-l.userRequests:
	case due = <-tick:
	}
	return f, due, true
}

// poll takes what is most urgent of what waits already, or nothing.
func (l *inputQueues) poll() coreInput {
	select {
	case f := <-l.responses:
		return f
	default:
	}
	select {
	case f := <-l.heartbeats:
		return f
	default:
	}
	select {
	case f := <-l.userRequests:
		return f
	default:
	}
	return nil
}

// maxInputBatch bounds how many inputs share the outputs' handling, and a tick's delay.
const maxInputBatch = 256
