package node

import (
	"testing"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// At its bound of memory a member refuses new work at once and says when to come
// back; what users ask of accepted work goes on.
func TestMemoryShortageRejectsOnlySubmissions(t *testing.T) {
	submit := scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: "job-000001"}
	at := time.Now()
	h := newHealth(1e12)
	h.observeTick(at, at)
	if a, ok := h.rejectIfMemoryShort(submit); ok {
		t.Fatalf("with memory to spare: %+v", a)
	}
	h.memoryLimit = 1
	h.observeTick(at, at.Add(10*time.Millisecond))
	if _, ok := h.rejectIfMemoryShort(submit); ok {
		t.Fatal("it looks more often than once a second")
	}
	h.observeTick(at, at.Add(2*time.Second))
	if a, ok := h.rejectIfMemoryShort(submit); !ok || a.Status != 503 || a.RetryAfterS < 1 || a.ID != submit.ID {
		t.Errorf("over the bound: %+v, %v", a, ok)
	}
	for _, kind := range []scheduler.UserRequestKind{scheduler.QueryJob, scheduler.CancelJob} {
		if a, ok := h.rejectIfMemoryShort(scheduler.UserRequest{Kind: kind, ID: submit.ID}); ok {
			t.Errorf("kind %d is refused: %+v", kind, a)
		}
	}
}
