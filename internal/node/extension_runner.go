package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Marks of the store's requests of extensions: they share the client and its
// budget, and their answers find their way back.
const (
	workflowRequestFlag = 1 << 63
	scheduleRequestFlag = 1 << 62
)

// stateMachine is an extension of the core: requests Q of its own kind with
// results R, and answers A to users.
type stateMachine[Q, R, A any] interface {
	Tick(scheduler.Now, scheduler.ExtensionView)
	WatchedJobs() []string
	StoreDone(scheduler.Now, uint64, scheduler.StoreResult)
	CoreDone(scheduler.Now, uint64, scheduler.UserResponse)
	RequestDone(scheduler.Now, uint64, R)
	Take() extension.Outputs[Q, A]
}

// counterSample is a metric of an extension as it stands.
type counterSample struct {
	desc  *prometheus.Desc
	event string // its label; "": it has none
	value uint64
}

// extensionRunner runs an extension on a loop of its own, which owns it: what it works
// out may take longer than the core's loop can wait.
type extensionRunner[Q, R, A any] struct {
	node            *Node
	machine         stateMachine[Q, R, A]
	requestFlag     uint64
	prefix          string                 // of its records in the mirror
	perform         func(Q) R              // carries out a request of the extension's own kind; may wait
	counters        func() []counterSample // called by the loop
	counterSnapshot atomic.Pointer[[]counterSample]
	inputs          chan func(scheduler.Now)
	// Owned by the loop.
	lastReplyID  uint64
	pendingUsers map[uint64]chan A
}

// initialize makes a runner ready for use once its fields are set.
func (s *extensionRunner[Q, R, A]) initialize() *extensionRunner[Q, R, A] {
	s.inputs, s.pendingUsers = make(chan func(scheduler.Now), inputQueueSize), map[uint64]chan A{}
	s.snapshotCounters()
	return s
}

// inputQueueSize bounds the inputs that wait for an extension's loop.
const inputQueueSize = 256

func (s *extensionRunner[Q, R, A]) enqueue(f func(scheduler.Now)) {
	select {
	case s.inputs <- f:
	case <-s.node.stopped:
	}
}

// viewInterval is how often an extension sees how the core stands: what ended is
// seen that much later.
const viewInterval = 2 * tick

// coreRequestTimeout bounds a request to the core, as a user's would be.
const coreRequestTimeout = 5 * time.Second

func (s *extensionRunner[Q, R, A]) loop(ctx context.Context) {
	t := time.NewTicker(viewInterval)
	defer t.Stop()
	viewPending := false
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.inputs:
			f(s.node.now())
		case <-t.C:
			if viewPending {
				continue
			}
			viewPending = true
			watched := s.machine.WatchedJobs()
			// Never both wait for each other: the core's loop hands the view
			// to a goroutine.
			go s.node.enqueueResponse(func(now scheduler.Now) {
				v := s.node.core.ExtensionView(now, s.prefix, watched)
				go s.enqueue(func(now scheduler.Now) {
					viewPending = false
					s.machine.Tick(now, v)
				})
			})
		}
		s.dispatchOutputs()
	}
}

// dispatchOutputs carries out what the extension wants done.
func (s *extensionRunner[Q, R, A]) dispatchOutputs() {
	o := s.machine.Take()
	s.snapshotCounters()
	for _, r := range o.Requests {
		go func() {
			result := s.perform(r.Body)
			s.enqueue(func(now scheduler.Now) { s.machine.RequestDone(now, r.ID, result) })
		}()
	}
	for _, l := range o.Logs {
		s.node.logger.Log(context.Background(), slog.LevelInfo, l.Message, l.Args...)
	}
	for id, a := range o.Responses {
		if ch := s.pendingUsers[id]; ch != nil {
			delete(s.pendingUsers, id)
			ch <- a
		}
	}
	for _, op := range o.Store {
		op.ID |= s.requestFlag
		s.node.store.Send(op)
	}
	for _, c := range o.Core {
		go func() {
			a, ok := s.node.HandleUserRequest(c.UserRequest, coreRequestTimeout)
			if !ok {
				a = scheduler.UserResponse{Status: 503, ID: c.UserRequest.ID, RetryAfterS: 1}
			}
			s.enqueue(func(now scheduler.Now) { s.machine.CoreDone(now, c.ID, a) })
		}()
	}
}

// storeDone takes the answer to a request that has the extension's mark.
func (s *extensionRunner[Q, R, A]) storeDone(id uint64, r scheduler.StoreResult) {
	s.enqueue(func(now scheduler.Now) { s.machine.StoreDone(now, id&^s.requestFlag, r) })
}

// awaitResponse asks the extension on somebody's behalf.
func (s *extensionRunner[Q, R, A]) awaitResponse(timeout time.Duration, submit func(scheduler.Now, uint64)) (A, bool) {
	ch := make(chan A, 1)
	var id uint64
	s.enqueue(func(now scheduler.Now) {
		s.lastReplyID++
		id = s.lastReplyID
		s.pendingUsers[id] = ch
		submit(now, id)
	})
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case a := <-ch:
		return a, true
	case <-t.C:
		s.enqueue(func(scheduler.Now) { delete(s.pendingUsers, id) })
	case <-s.node.stopped:
	}
	var zero A
	return zero, false
}

// snapshotCounters notes the metrics as they stand, for whoever collects them.
func (s *extensionRunner[Q, R, A]) snapshotCounters() {
	cs := s.counters()
	s.counterSnapshot.Store(&cs)
}

// Describe gives the metrics' descriptions.
func (s *extensionRunner[Q, R, A]) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range *s.counterSnapshot.Load() {
		ch <- c.desc
	}
}

// Collect gives the metrics as they stand.
func (s *extensionRunner[Q, R, A]) Collect(ch chan<- prometheus.Metric) {
	for _, c := range *s.counterSnapshot.Load() {
		var labels []string
		if c.event != "" {
			labels = []string{c.event}
		}
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(c.value), labels...)
	}
}
