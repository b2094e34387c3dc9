package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Flags in the IDs of the extensions' requests to the state service. Extensions
// share the core's client and its budget; the flag routes results back to them.
const (
	workflowRequestFlag = 1 << 63
	scheduleRequestFlag = 1 << 62
)

// inputQueueSize bounds the inputs queued for an extension's loop.
const inputQueueSize = 256

// viewInterval is how often an extension receives a view of the core, and thus
// the delay with which it detects the end of a job.
const viewInterval = 2 * tick

// coreRequestTimeout bounds a request to the core, as for a user's request.
const coreRequestTimeout = 5 * time.Second

// stateMachine is an extension of the core. It makes requests Q of its own kind,
// which have results R, and responds to users with A. It is not safe for
// concurrent use.
type stateMachine[Q, R, A any] interface {
	Tick(scheduler.Now, scheduler.ExtensionView)
	WatchedJobs() []string
	StoreDone(scheduler.Now, uint64, scheduler.StoreResult)
	CoreDone(scheduler.Now, uint64, scheduler.UserResponse)
	RequestDone(scheduler.Now, uint64, R)
	Take() extension.Outputs[Q, A]
}

// counterSample is the value of an extension's counter.
type counterSample struct {
	desc  *prometheus.Desc
	event string // value of the label; "" if the metric has no label
	value uint64
}

// extensionConfig holds the parameters that differ between extensions' runners.
type extensionConfig[Q, R any] struct {
	requestFlag uint64
	prefix      string                 // prefix of the extension's keys in the state cache
	perform     func(Q) R              // carries out a request of the extension's own kind; may block
	counters    func() []counterSample // called by the loop
}

// extensionRunner runs an extension on a loop of its own, which owns it: the
// extension's computations may take longer than the core's loop can wait.
type extensionRunner[Q, R, A any] struct {
	extensionConfig[Q, R]
	node            *Node
	machine         stateMachine[Q, R, A]
	inputs          chan coreInput
	counterSnapshot atomic.Pointer[[]counterSample]

	// Owned by the loop.
	lastRequestID uint64
	pendingUsers  pendingResponses[A]
	viewPending   bool
}

func newExtensionRunner[Q, R, A any](
	node *Node,
	machine stateMachine[Q, R, A],
	config extensionConfig[Q, R],
) *extensionRunner[Q, R, A] {
	r := &extensionRunner[Q, R, A]{
		extensionConfig: config,
		node:            node,
		machine:         machine,
		inputs:          make(chan coreInput, inputQueueSize),
		pendingUsers:    pendingResponses[A]{},
	}
	r.snapshotCounters()
	return r
}

func (r *extensionRunner[Q, R, A]) enqueue(f coreInput) { r.node.enqueue(r.inputs, f) }

// loop passes inputs to the extension until ctx ends. It owns the extension.
func (r *extensionRunner[Q, R, A]) loop(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-r.inputs:
			input(r.node.now())
		case <-ticker.C:
			if r.viewPending {
				continue
			}
			r.requestView()
		}
		r.dispatchOutputs()
	}
}

// requestView makes the core's loop create a view, and ticks the extension with
// it. Separate goroutines pass the view between the two loops, so that neither
// loop waits for the other.
func (r *extensionRunner[Q, R, A]) requestView() {
	r.viewPending = true
	watched := r.machine.WatchedJobs()
	go r.node.enqueueResponse(func(now scheduler.Now) {
		view := r.node.core.ExtensionView(now, r.prefix, watched)
		go r.enqueue(func(now scheduler.Now) {
			r.viewPending = false
			r.machine.Tick(now, view)
		})
	})
}

// dispatchOutputs carries out the extension's outputs.
func (r *extensionRunner[Q, R, A]) dispatchOutputs() {
	o := r.machine.Take()
	r.snapshotCounters()
	for _, request := range o.Requests {
		go r.performRequest(request)
	}
	for _, line := range o.Logs {
		r.node.logger.Log(context.Background(), slog.LevelInfo, line.Message, line.Args...)
	}
	for id, response := range o.Responses {
		r.pendingUsers.deliver(id, response)
	}
	for _, op := range o.Store {
		op.ID |= r.requestFlag
		r.node.clients.store.Send(op)
	}
	for _, request := range o.Core {
		go r.sendToCore(request)
	}
}

func (r *extensionRunner[Q, R, A]) performRequest(request extension.Request[Q]) {
	result := r.perform(request.Body)
	r.enqueue(func(now scheduler.Now) { r.machine.RequestDone(now, request.ID, result) })
}

// sendToCore makes a request to the core in the same way as a user. If the core
// does not respond in time, the extension receives the same refusal as a user
// would, and retries.
func (r *extensionRunner[Q, R, A]) sendToCore(request extension.CoreRequest) {
	response, ok := r.node.HandleUserRequest(request.UserRequest, coreRequestTimeout)
	if !ok {
		response = scheduler.UserResponse{
			Status:      http.StatusServiceUnavailable,
			ID:          request.UserRequest.ID,
			RetryAfterS: 1,
		}
	}
	r.enqueue(func(now scheduler.Now) { r.machine.CoreDone(now, request.ID, response) })
}

// enqueueStoreResult queues the result of a request whose ID carries the
// extension's flag.
func (r *extensionRunner[Q, R, A]) enqueueStoreResult(id uint64, result scheduler.StoreResult) {
	r.enqueue(func(now scheduler.Now) { r.machine.StoreDone(now, id&^r.requestFlag, result) })
}

// awaitResponse starts a request to the extension on its loop and waits for the
// response. It returns false if the extension does not respond in time.
func (r *extensionRunner[Q, R, A]) awaitResponse(
	timeout time.Duration,
	submit func(now scheduler.Now, id uint64),
) (A, bool) {
	e := newExchange(r.pendingUsers)
	r.enqueue(func(now scheduler.Now) {
		r.lastRequestID++
		e.register(r.lastRequestID)
		submit(now, e.id)
	})
	return e.wait(timeout, r.node.stopped, r.enqueue)
}

// snapshotCounters copies the counters for the metrics collector.
func (r *extensionRunner[Q, R, A]) snapshotCounters() {
	samples := r.counters()
	r.counterSnapshot.Store(&samples)
}

// Describe sends the descriptions of the metrics.
func (r *extensionRunner[Q, R, A]) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range *r.counterSnapshot.Load() {
		ch <- c.desc
	}
}

// Collect sends the values of the metrics.
func (r *extensionRunner[Q, R, A]) Collect(ch chan<- prometheus.Metric) {
	for _, c := range *r.counterSnapshot.Load() {
		var labels []string
		if c.event != "" {
			labels = []string{c.event}
		}
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(c.value), labels...)
	}
}
