package client

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
)

// fakeMember is an HTTP server that returns scripted responses and records the times of requests.
type fakeMember struct {
	addr         string
	mu           sync.Mutex
	requestTimes []time.Time
}

func (m *fakeMember) requestedAt() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.requestTimes)
}

// recordRequest records the time of a request and returns the number of the request, starting from 1.
func (m *fakeMember) recordRequest() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requestTimes = append(m.requestTimes, time.Now())
	return len(m.requestTimes)
}

func startFakeMember(t *testing.T, respond func(n int, c *fiber.Ctx) error) *fakeMember {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &fakeMember{addr: listener.Addr().String()}
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.All("/*", func(c *fiber.Ctx) error { return respond(m.recordRequest(), c) })
	go func() { _ = app.Listener(listener) }()
	t.Cleanup(func() { _ = app.ShutdownWithTimeout(time.Second) })
	return m
}

// unreachableAddress returns an address on which no server listens.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func respondPending(_ int, c *fiber.Ctx) error {
	return c.Status(201).JSON(fiber.Map{"ref": testJob.ID, "stance": "pending"})
}

// newClient returns a client whose retry delays and retry timeout are scaled by timeScale.
func newClient(t *testing.T, timeScale float64, members ...string) *Client {
	t.Helper()
	c, err := New(members...)
	if err != nil {
		t.Fatal(err)
	}
	c.failover.TimeScale = timeScale
	return c
}

var testJob = Job{
	ID:            "job-000001",
	Team:          "ops",
	Tasks:         3,
	TaskResources: TaskResources{CPUs: 1, MemoryGB: 1},
}

// If a member is unreachable, the client sends the request to the next member without a further attempt.
func TestUnreachableMemberFailsOverToNext(t *testing.T) {
	member := startFakeMember(t, respondPending)
	status, err := newClient(t, 1, unreachableAddress(t), member.addr).Submit(t.Context(), testJob)
	if err != nil {
		t.Fatal(err)
	}
	if status.State != Pending || status.ID != testJob.ID {
		t.Errorf("got status %+v, want %s, %s", status, testJob.ID, Pending)
	}
	if got := len(member.requestedAt()); got != 1 {
		t.Errorf("got %d requests, want 1", got)
	}
}

// The client waits for the time in Retry-After before it retries. Without the header it waits at least a second.
func TestRetryWaitsForRetryAfter(t *testing.T) {
	member := startFakeMember(t, func(n int, c *fiber.Ctx) error {
		switch n {
		case 1:
			c.Set("Retry-After", "5")
			return c.SendStatus(503)
		case 2:
			return c.SendStatus(500)
		}
		return respondPending(n, c)
	})
	if _, err := newClient(t, 0.02, member.addr).Submit(t.Context(), testJob); err != nil {
		t.Fatal(err)
	}
	at := member.requestedAt()
	if len(at) != 3 {
		t.Fatalf("got requests at %v, want 3 requests", at)
	}
	if got, want := at[1].Sub(at[0]), 100*time.Millisecond; got < want {
		t.Errorf("after Retry-After: got a delay of %v, want at least %v", got, want)
	}
	if got, want := at[2].Sub(at[1]), 20*time.Millisecond; got < want {
		t.Errorf("without Retry-After: got a delay of %v, want at least %v", got, want)
	}
}

// A final response ends the call without a retry.
func TestFinalStatusIsNotRetried(t *testing.T) {
	isRejected := func(err error) bool {
		var rejected *RejectedError
		return errors.As(err, &rejected)
	}
	for _, tc := range []struct {
		name   string
		status int
		check  func(error) bool
	}{
		{"not found", 404, func(err error) bool { return errors.Is(err, ErrNotFound) }},
		{"unprocessable", 422, func(err error) bool {
			var rejected *RejectedError
			return errors.As(err, &rejected) && rejected.Status == 422 && rejected.Reason == "unknown team"
		}},
		{"bad request", 400, isRejected},
	} {
		t.Run(tc.name, func(t *testing.T) {
			member := startFakeMember(t, func(_ int, c *fiber.Ctx) error {
				return c.Status(tc.status).JSON(fiber.Map{"error": "unknown team"})
			})
			_, err := newClient(t, 1, member.addr).Cancel(t.Context(), testJob.ID)
			if !tc.check(err) {
				t.Errorf("status %d: got error %v", tc.status, err)
			}
			if got := len(member.requestedAt()); got != 1 {
				t.Errorf("status %d: got %d requests, want 1", tc.status, got)
			}
		})
	}
}

// Without a final response, a call returns an UnavailableError after several attempts, or the context's error
// when the context ends.
func TestCallEndsWithoutFinalResponse(t *testing.T) {
	member := startFakeMember(t, func(_ int, c *fiber.Ctx) error { return c.SendStatus(503) })
	t.Run("unavailable", func(t *testing.T) {
		_, err := newClient(t, 0.01, member.addr).Job(t.Context(), testJob.ID)
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) || unavailable.Attempts < 3 {
			t.Errorf("got error %v, want an UnavailableError after at least 3 attempts", err)
		}
	})
	t.Run("context cancelled", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := newClient(t, 1, member.addr).Job(ctx, testJob.ID); !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want %v", err, context.Canceled)
		}
	})
}

// An invalid job is rejected before the client sends a request.
func TestInvalidJobIsRejectedWithoutRequest(t *testing.T) {
	member := startFakeMember(t, respondPending)
	c := newClient(t, 1, member.addr)
	for _, tc := range []struct {
		name   string
		change func(*Job)
	}{
		{"ID", func(j *Job) { j.ID = "x" }},
		{"kind", func(j *Job) { j.Kind = "x" }},
		{"priority", func(j *Job) { j.Priority = "x" }},
		{"tasks", func(j *Job) { j.Tasks = 0 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job := testJob
			tc.change(&job)
			var rejected *RejectedError
			if _, err := c.Submit(t.Context(), job); !errors.As(err, &rejected) {
				t.Errorf("got error %v, want a RejectedError", err)
			}
		})
	}
	if got := len(member.requestedAt()); got > 0 {
		t.Errorf("got %d requests, want none", got)
	}
}

func TestNewRejectsAddressWithoutPort(t *testing.T) {
	if _, err := New("nowhere"); err == nil {
		t.Error("got no error, want one")
	}
}

// Wait continues to query while members are unavailable, and returns when the job is done.
func TestWaitSurvivesUnavailableMembers(t *testing.T) {
	member := startFakeMember(t, func(n int, c *fiber.Ctx) error {
		switch {
		case n < 20:
			return c.SendStatus(503)
		case n < 22:
			return c.JSON(fiber.Map{"ref": testJob.ID, "stance": "running", "done": 1, "running": 2})
		}
		return c.JSON(fiber.Map{"ref": testJob.ID, "stance": "done", "done": 3, "running": 0})
	})
	var seen []State
	progress := func(status Status) { seen = append(seen, status.State) }
	c := newClient(t, 0.002, member.addr)
	status, err := c.Wait(t.Context(), testJob.ID, time.Millisecond, progress)
	if err != nil || status.State != Done || status.Done != 3 {
		t.Errorf("got status %+v, error %v, want %s with 3 tasks done", status, err, Done)
	}
	if len(seen) != 3 || seen[0] != Running {
		t.Errorf("got progress %v, want 3 states, the first of them %s", seen, Running)
	}
}
