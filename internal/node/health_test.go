package node

import (
	"testing"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// At its bound of memory a member refuses new work at once and says when to come
// back; what users ask of accepted work goes on.
func TestShortMemoryRefusesNewWorkOnly(t *testing.T) {
	submit := scheduler.UserRequest{Kind: scheduler.Submit, ID: "job-000001"}
	at := time.Now()
	h := newHealth(1e12)
	h.ticked(at, at)
	if a, ok := h.refuses(submit); ok {
		t.Fatalf("with memory to spare: %+v", a)
	}
	h.limit = 1
	h.ticked(at, at.Add(10*time.Millisecond))
	if _, ok := h.refuses(submit); ok {
		t.Fatal("it looks more often than once a second")
	}
	h.ticked(at, at.Add(2*time.Second))
	if a, ok := h.refuses(submit); !ok || a.Status != 503 || a.RetryS < 1 || a.ID != submit.ID {
		t.Errorf("over the bound: %+v, %v", a, ok)
	}
	for _, kind := range []scheduler.UserKind{scheduler.Query, scheduler.Cancel} {
		if a, ok := h.refuses(scheduler.UserRequest{Kind: kind, ID: submit.ID}); ok {
			t.Errorf("kind %d is refused: %+v", kind, a)
		}
	}
}
