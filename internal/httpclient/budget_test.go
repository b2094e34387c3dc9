package httpclient

import (
	"context"
	"testing"
	"time"
)

// A request that would wait longer than its maxWait is dropped at once. A request
// that can wait is sent, and a more urgent one is sent before it.
func TestBudgetRejectsAtOnceWhatWouldExceedMaxWait(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	b := NewBudget(ctx, 20, 0, 0)
	sent, dropped := make(chan int, 100), make(chan int, 100)
	enqueue := func(urgency, n int, maxWait time.Duration) {
		b.Enqueue(urgency, 0, maxWait, func() { sent <- n }, func(time.Duration) { dropped <- n })
	}
	for i := range 60 {
		enqueue(1, i, 0) // a burst of one second, then two seconds more
	}
	start := time.Now()
	enqueue(1, 100, time.Second)
	select {
	case n := <-dropped:
		if n != 100 || time.Since(start) > 500*time.Millisecond {
			t.Errorf("dropped request %d after %v, want 100 within 500ms", n, time.Since(start))
		}
	case <-time.After(5 * time.Second):
		t.Fatal("a request that must wait 2s with a maxWait of 1s: not dropped within 5s, want it dropped")
	}
	enqueue(0, 200, time.Second)
	for {
		select {
		case n := <-sent:
			if n == 200 {
				return
			}
			if n == 59 {
				t.Fatal("the most urgent request was sent last, want it before request 59")
			}
		case n := <-dropped:
			t.Fatalf("got request %d dropped, want none dropped", n)
		}
	}
}

// A large write that waits for its budget does not delay more urgent requests.
// Such a delay made a lease renewal late, and the controller lost its shards.
func TestQueuedLargeWriteDoesNotDelayLeaseRenewal(t *testing.T) {
	b := NewBudget(t.Context(), 1000, 20, 40)
	sent := make(chan string, 10)
	enqueue := func(urgency, writeOps int, name string) {
		b.Enqueue(urgency, writeOps, 0, func() { sent <- name }, nil)
	}
	enqueue(3, 40, "burst")
	if n := <-sent; n != "burst" {
		t.Fatalf("first request sent: got %s, want burst", n)
	}
	enqueue(3, 40, "write") // must wait for two seconds
	time.Sleep(20 * time.Millisecond)
	enqueue(0, 0, "renewal")
	enqueue(0, 1, "claim")
	var order []string
	for range 3 {
		order = append(order, <-sent)
	}
	if order[2] != "write" {
		t.Errorf("got order %v, want the write last", order)
	}
}
