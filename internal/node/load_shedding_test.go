package node

import (
	"testing"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// At its memory limit a controller refuses submissions at once, with a retry
// time. It still accepts queries and cancellations of accepted jobs.
func TestMemoryShortageRejectsOnlySubmissions(t *testing.T) {
	submit := scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: "job-000001"}
	at := time.Now()
	h := newHealth(1e12)
	h.observeTick(at, at)
	if a, ok := h.rejectIfMemoryShort(submit); ok {
		t.Fatalf("below the limit: got %+v, want no refusal", a)
	}
	h.memoryLimit = 1
	h.observeTick(at, at.Add(10*time.Millisecond))
	if _, ok := h.rejectIfMemoryShort(submit); ok {
		t.Fatal("got a refusal 10 ms after a memory sample, want at most one sample per second")
	}
	h.observeTick(at, at.Add(2*time.Second))
	if a, ok := h.rejectIfMemoryShort(submit); !ok || a.Status != 503 || a.RetryAfterS < 1 || a.ID != submit.ID {
		t.Errorf("above the limit: got %+v, %v, want status 503 with a retry time", a, ok)
	}
	for _, kind := range []scheduler.UserRequestKind{scheduler.QueryJob, scheduler.CancelJob} {
		if a, ok := h.rejectIfMemoryShort(scheduler.UserRequest{Kind: kind, ID: submit.ID}); ok {
			t.Errorf("request of kind %d: got %+v, want no refusal", kind, a)
		}
	}
}
