package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// never is the start of the longest stall if no connection has stalled.
const never = time.Duration(1 << 62)

// For any sequence of events, a table stays within its limits, never evicts a
// connection that is being served, and evicts the connection that has stalled
// longest first.
func TestTableStaysWithinLimitsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Slots:     8,
			BodyBytes: 100,
			Header:    400 * time.Millisecond,
			Body:      300 * time.Millisecond,
			Response:  500 * time.Millisecond,
			Idle:      2 * time.Second,
		}
		m := &tableModel{limits: limits, table: New(limits, testClasses), live: map[*Entry]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"":          m.checkLimits,
			"open":      m.open,
			"open more": m.open, // drawn more often, so that slots run out
			"read":      m.read,
			"move":      m.move,
			"serve":     m.finishServing,
			"fill body": m.fillBody,
			"close":     m.close,
			"time":      m.advanceTime,
		})
	})
}

// tableModel is a table under test and the connections that should be open.
type tableModel struct {
	limits Limits
	table  *Table
	live   map[*Entry]bool
	now    time.Duration
}

// drawEntry draws an open connection that is not being served.
func (m *tableModel) drawEntry(t *rapid.T) *Entry {
	var entries []*Entry
	for _, list := range append(m.table.stalled[:], m.table.idle...) {
		for f := list.Front(); f != nil; f = f.Next() {
			entries = append(entries, f.Value.(*Entry))
		}
	}
	if len(entries) == 0 {
		t.Skip("no connection is open")
	}
	return rapid.SampledFrom(entries).Draw(t, "which")
}

func (m *tableModel) removeClosed(t *rapid.T, closed []Closed) {
	for _, c := range closed {
		if c.state == Serving {
			t.Fatalf("a connection that is being served was evicted for %v, want it kept", c.Reason)
		}
		if !m.live[c.Entry] {
			t.Fatal("got a second eviction of a connection, want one")
		}
		delete(m.live, c.Entry)
	}
}

// longestSince returns the time at which the longest waiting connection in one of
// the states entered it.
func (m *tableModel) longestSince(states ...State) time.Duration {
	since := never
	for e := range m.live {
		for _, s := range states {
			if e.state == s {
				since = min(since, e.since)
			}
		}
	}
	return since
}

func (m *tableModel) checkLimits(t *rapid.T) {
	if n := m.table.count(); n > m.limits.Slots || n != len(m.live) {
		t.Fatalf("table counts %d connections, want %d (open) and at most %d", n, len(m.live), m.limits.Slots)
	}
	bodyBytes, serving := 0, 0
	for e := range m.live {
		bodyBytes += e.bodyBytes
		if e.state == Serving {
			serving++
		}
	}
	if bodyBytes != m.table.bodyBytes || bodyBytes > m.limits.BodyBytes {
		t.Fatalf("%d bytes held, %d counted, want equal, at most %d", bodyBytes, m.table.bodyBytes, m.limits.BodyBytes)
	}
	if serving != m.table.serving {
		t.Fatalf("%d connections are being served, table counts %d, want equal", serving, m.table.serving)
	}
}

func (m *tableModel) open(t *rapid.T) {
	longest := m.longestSince(Reading, Body, Responding)
	e, closed, wait := m.table.Open(m.now, nil)
	latest := m.table.latest
	switch {
	case wait > 0:
		if latest+wait < longest+m.table.Grace() || longest == never {
			t.Fatalf("got wait %v at %v, but the longest stall began at %v", wait, latest, longest)
		}
	case e == nil:
		if m.table.serving != m.limits.Slots {
			t.Fatalf("got a refusal while %d of %d slots are being served, want all", m.table.serving, m.limits.Slots)
		}
	default:
		for _, c := range closed {
			isWithinGrace := c.state != Idle && latest-c.since < m.table.Grace()
			if c.since > longest || isWithinGrace {
				t.Fatalf("evicted one stalled since %v at %v, another is stalled since %v", c.since, latest, longest)
			}
		}
		m.removeClosed(t, closed)
		m.live[e] = true
	}
}

func (m *tableModel) read(t *rapid.T) {
	lines := []string{"GET /up HTTP/1.1", "POST /v1/report HTTP/1.1", "POST /work HTTP/1.1", "G"}
	classOf := map[string]string{"GET ": "health", "POST": "workers"}
	b := rapid.SampledFrom(lines).Draw(t, "bytes")
	e := m.drawEntry(t)
	if !e.awaitsFirstByte && e.state != Idle {
		return
	}
	m.table.ReceiveBytes(m.now, e, []byte(b))
	if got := testClasses[e.class].Name; got != "users" && got != classOf[b[:4]] {
		t.Fatalf("%q: got class %s", b, got)
	}
}

func (m *tableModel) move(t *rapid.T) {
	e := m.drawEntry(t)
	state := rapid.SampledFrom([]State{Body, Serving, Responding, Idle}).Draw(t, "state")
	if !m.table.Transition(m.now, e, state) {
		t.Fatal("Transition on an open connection: got false, want true")
	}
}

func (m *tableModel) finishServing(*rapid.T) {
	for e := range m.live {
		if e.state == Serving {
			m.table.Transition(m.now, e, Idle)
			return
		}
	}
}

// fillBody records body bytes as readBody does.
func (m *tableModel) fillBody(t *rapid.T) {
	e := m.drawEntry(t)
	n := rapid.IntRange(0, 60).Draw(t, "bytes")
	if e.state != Body && !m.table.Transition(m.now, e, Body) {
		t.Fatal("Transition on an open connection: got false, want true")
	}
	m.removeClosed(t, m.table.SetBodyBytes(e, n))
}

func (m *tableModel) close(t *rapid.T) {
	e := m.drawEntry(t)
	m.table.Close(e)
	m.table.Close(e)
	delete(m.live, e)
}

func (m *tableModel) advanceTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond
	closed := m.table.Sweep(m.now)
	latest := m.table.latest
	for _, c := range closed {
		if timeout, reason := m.limits.timeoutFor(c.state); reason != c.Reason || latest-c.since <= timeout {
			t.Fatalf("got an eviction in state %v after %v for %v", c.state, latest-c.since, c.Reason)
		}
	}
	m.removeClosed(t, closed)
	for e := range m.live {
		if timeout, _ := m.limits.timeoutFor(e.state); e.state != Serving && latest-e.since > timeout {
			t.Fatalf("a connection in state %v for %v is not evicted", e.state, latest-e.since)
		}
	}
}
