package connlimit

import (
	"flag"
	"testing"
	"time"
)

// TestMain fixes the seed, so that every run has the same inputs and the same
// result. With fewer steps, slots and bytes seldom run out.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "14", "rapid.steps": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

var testClasses = []Class{
	{Name: "health", Prefix: "GET /up ", ReservedShare: 0.125},
	{Name: "workers", Prefix: "POST /v1/report ", ReservedShare: 0.5},
	{Name: "users", ReservedShare: 0.375},
}

// The idle connections of a class below its share are kept while another class
// exceeds its own: idle users cannot take workers' slots.
func TestReservedSlotsAreNotTakenByOtherClasses(t *testing.T) {
	tb := New(
		Limits{Slots: 16, Header: time.Second, Body: time.Second, Response: time.Second, Idle: time.Hour},
		testClasses,
	)
	openIdle := func(line string) *Entry {
		e, _, _ := tb.Open(0, nil)
		tb.ReceiveBytes(0, e, []byte(line))
		tb.Transition(0, e, Serving)
		tb.Transition(0, e, Idle)
		return e
	}
	var workers []*Entry
	for range 8 {
		workers = append(workers, openIdle("POST /v1/report HTTP/1.1"))
	}
	health := openIdle("GET /up HTTP/1.1")
	for range 100 {
		openIdle("GET /work/job-000001 HTTP/1.1")
	}
	for _, e := range append(workers, health) {
		if e.closed {
			t.Fatalf("a slot of class %s was given to users, want it kept", testClasses[e.class].Name)
		}
	}
}

// After the process was suspended, every connection appears late at once,
// although the bytes that clients sent in the meantime only wait to be read.
func TestProcessSuspensionDoesNotExpireConnections(t *testing.T) {
	tb := New(
		Limits{Slots: 4, Header: time.Second, Body: time.Second, Response: time.Second, Idle: 10 * time.Second},
		testClasses,
	)
	tb.Sweep(time.Millisecond)
	e, _, _ := tb.Open(100*time.Millisecond, nil)
	tb.ReceiveBytes(100*time.Millisecond, e, []byte("POST"))
	if closed := tb.Sweep(20 * time.Second); len(closed) != 0 {
		t.Fatalf("got an eviction for %v after a suspension, want none", closed[0].Reason)
	}
	for now := 20 * time.Second; now < 22*time.Second; now += tb.Interval() {
		tb.Sweep(now)
	}
	if !e.closed {
		t.Fatal("a late request after a suspension: not evicted, want it evicted")
	}
}
