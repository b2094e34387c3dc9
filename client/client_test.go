package client

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
)

// fakeMember is a stand-in that answers by a script, and notes when it was asked.
type fakeMember struct {
	addr         string
	mu           sync.Mutex
	requestTimes []time.Time
}

func (m *fakeMember) requestedAt() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]time.Time(nil), m.requestTimes...)
}

func startFakeMember(t *testing.T, respond func(n int, c *fiber.Ctx) error) *fakeMember {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &fakeMember{addr: ln.Addr().String()}
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.All("/*", func(c *fiber.Ctx) error {
		m.mu.Lock()
		m.requestTimes = append(m.requestTimes, time.Now())
		n := len(m.requestTimes)
		m.mu.Unlock()
		return respond(n, c)
	})
	go func() { _ = app.Listener(ln) }()
	t.Cleanup(func() { _ = app.ShutdownWithTimeout(time.Second) })
	return m
}

func respondPending(_ int, c *fiber.Ctx) error {
	return c.Status(201).JSON(fiber.Map{"ref": "job-000001", "stance": "pending"})
}

func newClient(t *testing.T, scale float64, members ...string) *Client {
	t.Helper()
	c, err := New(members...)
	if err != nil {
		t.Fatal(err)
	}
	c.failover.TimeScale = scale
	return c
}

var aJob = Job{ID: "job-000001", Team: "ops", Tasks: 3, CPUs: 1, MemoryGB: 1}

// A member that is gone costs nothing but the next one's answer.
func TestUnreachableMemberFailsOverToNext(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := ln.Addr().String()
	ln.Close()
	m := startFakeMember(t, respondPending)
	s, err := newClient(t, 1, unreachable, m.addr).Submit(t.Context(), aJob)
	if err != nil || s.State != Pending || s.ID != "job-000001" || len(m.requestedAt()) != 1 {
		t.Errorf("%+v, %v, %d requests", s, err, len(m.requestedAt()))
	}
}

// Retry-After is heeded, and nobody is asked sooner than after a pause.
func TestRetryWaitsForRetryAfter(t *testing.T) {
	m := startFakeMember(t, func(n int, c *fiber.Ctx) error {
		switch n {
		case 1:
			c.Set("Retry-After", "5")
			return c.SendStatus(503)
		case 2:
			return c.SendStatus(500)
		}
		return respondPending(n, c)
	})
	if _, err := newClient(t, 0.02, m.addr).Submit(t.Context(), aJob); err != nil {
		t.Fatal(err)
	}
	at := m.requestedAt()
	if len(at) != 3 || at[1].Sub(at[0]) < 100*time.Millisecond || at[2].Sub(at[1]) < 20*time.Millisecond {
		t.Errorf("asked at %v", at)
	}
}

// What asking again does not change is not asked again; what nobody answers ends
// with an error that says so.
func TestFinalStatusIsNotRetried(t *testing.T) {
	for status, check := range map[int]func(error) bool{
		404: func(err error) bool { return errors.Is(err, ErrNotFound) },
		422: func(err error) bool {
			var r *RejectedError
			return errors.As(err, &r) && r.Status == 422 && r.Reason == "unknown team"
		},
		400: func(err error) bool { var r *RejectedError; return errors.As(err, &r) },
	} {
		m := startFakeMember(
			t,
			func(_ int, c *fiber.Ctx) error { return c.Status(status).JSON(fiber.Map{"error": "unknown team"}) },
		)
		if _, err := newClient(t, 1, m.addr).Cancel(t.Context(), "job-000001"); !check(err) || len(m.requestedAt()) != 1 {
			t.Errorf("%d gives %v after %d requests", status, err, len(m.requestedAt()))
		}
	}
	m := startFakeMember(t, func(_ int, c *fiber.Ctx) error { return c.SendStatus(503) })
	var unavailable *UnavailableError
	if _, err := newClient(t, 0.01, m.addr).Job(t.Context(), "job-000001"); !errors.As(err, &unavailable) ||
		unavailable.Attempts < 3 {
		t.Errorf("503 for ever gives %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := newClient(t, 1, m.addr).Job(ctx, "job-000001"); !errors.Is(err, context.Canceled) {
		t.Errorf("an ended context gives %v", err)
	}
}

// Wrong jobs are refused before anybody is asked.
func TestInvalidJobIsRejectedWithoutRequest(t *testing.T) {
	m := startFakeMember(t, respondPending)
	c := newClient(t, 1, m.addr)
	for _, change := range []func(*Job){
		func(j *Job) { j.ID = "x" }, func(j *Job) { j.Kind = "x" }, func(j *Job) { j.Priority = "x" }, func(j *Job) { j.Tasks = 0 },
	} {
		j := aJob
		change(&j)
		if _, err := c.Submit(t.Context(), j); err == nil {
			t.Errorf("%+v is sent", j)
		}
	}
	if len(m.requestedAt()) > 0 {
		t.Errorf("%d requests", len(m.requestedAt()))
	}
	if _, err := New("nowhere"); err == nil {
		t.Error("an address without a port is taken")
	}
}

// Wait goes on while nobody answers, and ends with the job.
func TestWaitSurvivesUnavailableMembers(t *testing.T) {
	m := startFakeMember(t, func(n int, c *fiber.Ctx) error {
		switch {
		case n < 20:
			return c.SendStatus(503)
		case n < 22:
			return c.JSON(fiber.Map{"ref": "job-000001", "stance": "running", "done": 1, "running": 2})
		}
		return c.JSON(fiber.Map{"ref": "job-000001", "stance": "done", "done": 3, "running": 0})
	})
	var seen []State
	s, err := newClient(
		t,
		0.002,
		m.addr,
	).Wait(
		t.Context(),
		"job-000001",
		time.Millisecond,
		func(s Status) { seen = append(seen, s.State) },
	)
	if err != nil || s.State != Done || s.Done != 3 || len(seen) != 3 || seen[0] != Running {
		t.Errorf("%+v, %v, saw %v", s, err, seen)
	}
}
