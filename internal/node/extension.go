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
	workflowRequests = 1 << 63
	scheduleRequests = 1 << 62
)

// stateMachine is an extension of the core: requests Q of its own kind with
// results R, and answers A to users.
type stateMachine[Q, R, A any] interface {
	Tick(scheduler.Now, scheduler.View)
	Watched() []string
	StoreDone(scheduler.Now, uint64, scheduler.StoreResult)
	CoreDone(scheduler.Now, uint64, scheduler.UserAnswer)
	RequestDone(scheduler.Now, uint64, R)
	Take() extension.Outputs[Q, A]
}

// counter is a metric of an extension as it stands.
type counter struct {
	desc  *prometheus.Desc
	event string // its label; "": it has none
	n     uint64
}

// runner runs an extension on a loop of its own, which owns it: what it works
// out may take longer than the core's loop can wait.
type runner[Q, R, A any] struct {
	n        *Node
	machine  stateMachine[Q, R, A]
	mark     uint64
	prefix   string           // of its records in the mirror
	perform  func(Q) R        // carries out a request of the extension's own kind; may wait
	counters func() []counter // called by the loop
	counted  atomic.Pointer[[]counter]
	inputs   chan func(scheduler.Now)
	// Owned by the loop.
	replies uint64
	users   map[uint64]chan A
}

// ready makes a runner ready for use once its fields are set.
func (s *runner[Q, R, A]) ready() *runner[Q, R, A] {
	s.inputs, s.users = make(chan func(scheduler.Now), inputsWaiting), map[uint64]chan A{}
	s.count()
	return s
}

// inputsWaiting bounds the inputs that wait for an extension's loop.
const inputsWaiting = 256

func (s *runner[Q, R, A]) put(f func(scheduler.Now)) {
	select {
	case s.inputs <- f:
	case <-s.n.ended:
	}
}

// viewEvery is how often an extension sees how the core stands: what ended is
// seen that much later.
const viewEvery = 2 * tick

// corePatience bounds a request to the core, as a user's would be.
const corePatience = 5 * time.Second

func (s *runner[Q, R, A]) loop(ctx context.Context) {
	t := time.NewTicker(viewEvery)
	defer t.Stop()
	waiting := false
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.inputs:
			f(s.n.now())
		case <-t.C:
			if waiting {
				continue
			}
			waiting = true
			watched := s.machine.Watched()
			// Never both wait for each other: the core's loop hands the view
			// to a goroutine.
			go s.n.put(func(now scheduler.Now) {
				v := s.n.core.View(now, s.prefix, watched)
				go s.put(func(now scheduler.Now) {
					waiting = false
					s.machine.Tick(now, v)
				})
			})
		}
		s.emit()
	}
}

// emit carries out what the extension wants done.
func (s *runner[Q, R, A]) emit() {
	o := s.machine.Take()
	s.count()
	for _, r := range o.Requests {
		go func() {
			result := s.perform(r.Body)
			s.put(func(now scheduler.Now) { s.machine.RequestDone(now, r.ID, result) })
		}()
	}
	for _, l := range o.Logs {
		s.n.log.Log(context.Background(), slog.LevelInfo, l.Text, l.Args...)
	}
	for id, a := range o.Answers {
		if ch := s.users[id]; ch != nil {
			delete(s.users, id)
			ch <- a
		}
	}
	for _, op := range o.Store {
		op.ID |= s.mark
		s.n.store.Do(op)
	}
	for _, c := range o.Core {
		go func() {
			a, ok := s.n.User(c.Request, corePatience)
			if !ok {
				a = scheduler.UserAnswer{Status: 503, ID: c.Request.ID, RetryS: 1}
			}
			s.put(func(now scheduler.Now) { s.machine.CoreDone(now, c.ID, a) })
		}()
	}
}

// storeDone takes the answer to a request that has the extension's mark.
func (s *runner[Q, R, A]) storeDone(id uint64, r scheduler.StoreResult) {
	s.put(func(now scheduler.Now) { s.machine.StoreDone(now, id&^s.mark, r) })
}

// ask asks the extension on somebody's behalf.
func (s *runner[Q, R, A]) ask(patience time.Duration, f func(scheduler.Now, uint64)) (A, bool) {
	ch := make(chan A, 1)
	var id uint64
	s.put(func(now scheduler.Now) {
		s.replies++
		id = s.replies
		s.users[id] = ch
		f(now, id)
	})
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case a := <-ch:
		return a, true
	case <-t.C:
		s.put(func(scheduler.Now) { delete(s.users, id) })
	case <-s.n.ended:
	}
	var none A
	return none, false
}

// count notes the metrics as they stand, for whoever collects them.
func (s *runner[Q, R, A]) count() {
	cs := s.counters()
	s.counted.Store(&cs)
}

// Describe gives the metrics' descriptions.
func (s *runner[Q, R, A]) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range *s.counted.Load() {
		ch <- c.desc
	}
}

// Collect gives the metrics as they stand.
func (s *runner[Q, R, A]) Collect(ch chan<- prometheus.Metric) {
	for _, c := range *s.counted.Load() {
		var labels []string
		if c.event != "" {
			labels = []string{c.event}
		}
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(c.n), labels...)
	}
}
