package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// A queued response of the state service is processed before any queued
// heartbeats, and heartbeats before user requests. No input is lost.
func TestResponsesAreTakenBeforeHeartbeatsAndUserRequests(t *testing.T) {
	queues := newInputQueues()
	var got []string
	inputOf := func(s string) coreInput { return func(scheduler.Now) { got = append(got, s) } }
	for range 100 {
		queues.userRequests <- inputOf("user")
		queues.heartbeats <- inputOf("heartbeat")
	}
	for i := range 101 {
		if i == 50 {
			queues.responses <- inputOf("response")
		}
		f, _, ok := queues.next(t.Context(), nil)
		if !ok {
			t.Fatal("next: got no input, want one")
		}
		f(scheduler.Now{})
	}
	if got[50] != "response" || slices.Index(got, "user") != -1 || len(got) != 101 {
		t.Errorf("got order %v, want 101 inputs: the response at index 50, heartbeats elsewhere", got)
	}
	for f := queues.poll(); f != nil; f = queues.poll() {
		f(scheduler.Now{})
	}
	if len(got) != 201 {
		t.Errorf("got %d inputs, want 201", len(got))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, _, ok := queues.next(ctx, nil); ok {
		t.Error("next after its context ended: got an input, want none")
	}
}

// A user request that finds the queue full is refused at once, with a retry time.
func TestFullUserQueueIsRejectedAtOnceWithRetryAfter(t *testing.T) {
	n := &Node{
		queues:  newInputQueues(),
		health:  newHealth(1 << 40),
		pending: newPendingRequests(),
	}
	for range userQueueSize {
		n.queues.userRequests <- func(scheduler.Now) {}
	}
	a, ok := n.HandleUserRequest(scheduler.UserRequest{Kind: scheduler.QueryJob, ID: "job-000001"}, time.Hour)
	if !ok || a.Status != 503 || a.RetryAfterS < 1 {
		t.Errorf("got %+v, %v, want status 503 with a retry time", a, ok)
	}
}

// BenchmarkStoreResponseBehindHeartbeats measures how long a response of the
// state service waits while all machines send heartbeats at once. The loop takes
// ten microseconds for each heartbeat.
func BenchmarkStoreResponseBehindHeartbeats(b *testing.B) {
	for _, machines := range []int{0, 800, 10_000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			queues := newInputQueues()
			ctx := b.Context()
			process := func(scheduler.Now) {
				startedAt := time.Now()
				for {
					if time.Since(startedAt) >= 10*time.Microsecond {
						return
					}
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
