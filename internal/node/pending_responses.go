package node

import (
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// pendingResponses are the requests that a loop has accepted and not responded
// to, by ID. They are owned by the loop.
type pendingResponses[T any] map[uint64]chan T

// deliver passes a response to the goroutine that waits for it. A response after
// the timeout is dropped.
func (p pendingResponses[T]) deliver(id uint64, response T) {
	if ch := p[id]; ch != nil {
		delete(p, id)
		ch <- response
	}
}

// exchange is one request to a loop, as seen by the goroutine that waits for the
// response.
type exchange[T any] struct {
	response chan T
	pending  pendingResponses[T]
	id       uint64 // owned by the loop
}

func newExchange[T any](pending pendingResponses[T]) *exchange[T] {
	return &exchange[T]{response: make(chan T, 1), pending: pending}
}

// register makes the exchange wait for the response with this ID. The loop calls
// it.
func (e *exchange[T]) register(id uint64) {
	e.id = id
	e.pending[id] = e.response
}

// wait returns the response, or false after the timeout or when the loop has
// ended. enqueue adds an input to the queue that the request used.
func (e *exchange[T]) wait(timeout time.Duration, stopped <-chan struct{}, enqueue func(coreInput)) (T, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case response := <-e.response:
		return response, true
	case <-timer.C:
		enqueue(func(scheduler.Now) { delete(e.pending, e.id) })
	case <-stopped:
	}
	var none T
	return none, false
}
