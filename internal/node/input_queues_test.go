package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// However many reports and requests wait, an answer of the state service goes
// before them, and reports before requests; none is lost.
func TestResponsesAreTakenBeforeHeartbeatsAndUserRequests(t *testing.T) {
	l := newInputQueues()
	var got []string
	inputOf := func(s string) coreInput { return func(scheduler.Now) { got = append(got, s) } }
	for range 100 {
		l.userRequests <- inputOf("user")
		l.heartbeats <- inputOf("report")
	}
	for i := range 101 {
		if i == 50 {
			l.responses <- inputOf("answer")
		}
		f, _, ok := l.next(t.Context(), nil)
		if !ok {
			t.Fatal("nothing comes")
		}
		f(scheduler.Now{})
	}
	if got[50] != "answer" || slices.Index(got, "user") != -1 || len(got) != 101 {
		t.Errorf("order %v", got)
	}
	for f := l.poll(); f != nil; f = l.poll() {
		f(scheduler.Now{})
	}
	if len(got) != 201 {
		t.Errorf("%d of 201 inputs came", len(got))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, _, ok := l.next(ctx, nil); ok {
		t.Error("goes on after its end")
	}
}

// A user who finds no room is answered at once, with when to come back.
func TestFullUserQueueIsRejectedAtOnceWithRetryAfter(t *testing.T) {
	n := &Node{
		queues:       newInputQueues(),
		health:       newHealth(1 << 40),
		pendingUsers: map[uint64]chan scheduler.UserResponse{},
	}
	for range userQueueSize {
		n.queues.userRequests <- func(scheduler.Now) {}
	}
	a, ok := n.HandleUserRequest(scheduler.UserRequest{Kind: scheduler.QueryJob, ID: "job-000001"}, time.Hour)
	if !ok || a.Status != 503 || a.RetryAfterS < 1 {
		t.Errorf("answered %+v, %v", a, ok)
	}
}

// How long an answer of the state service waits behind a fleet that reports at
// once, in inputs of ten microseconds.
func BenchmarkStoreResponseBehindHeartbeats(b *testing.B) {
	for _, machines := range []int{0, 800, 10_000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			queues := newInputQueues()
			ctx := b.Context()
			process := func(scheduler.Now) {
				for at := time.Now(); time.Since(at) < 10*time.Microsecond; {
				}
			}
			go func() {
				for ctx.Err() == nil {
					for range machines {
						queues.heartbeats <- process
					}
					time.Sleep(time.Millisecond)
				}
			}()
			go func() {
				for {
					f, _, ok := queues.next(ctx, nil)
					if !ok {
						return
					}
					f(scheduler.Now{})
				}
			}()
			for b.Loop() {
				done := make(chan struct{})
				queues.responses <- func(scheduler.Now) { close(done) }
				<-done
			}
		})
	}
}
