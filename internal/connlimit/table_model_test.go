package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// never is the time since which nothing has stalled.
const never = time.Duration(1 << 62)

// Whatever happens on connections, a table keeps its limits, evicts nothing that
// is being served, and evicts first what has stalled longest.
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
			"open more": m.open, // so that slots run out
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

// drawEntry draws a connection that is open and not being served.
func (m *tableModel) drawEntry(t *rapid.T) *Entry {
	var entries []*Entry
	for _, list := range append(m.table.stalled[:], m.table.idle...) {
		for f := list.Front(); f != nil; f = f.Next() {
			entries = append(entries, f.Value.(*Entry))
		}
	}
	if len(entries) == 0 {
		t.Skip("nothing is open")
	}
	return rapid.SampledFrom(entries).Draw(t, "which")
}

func (m *tableModel) removeClosed(t *rapid.T, closed []Closed) {
	for _, c := range closed {
		if c.state == Serving {
			t.Fatalf("a connection that is being served was evicted for %v", c.Reason)
		}
		if !m.live[c.Entry] {
			t.Fatal("a connection was evicted twice")
		}
		delete(m.live, c.Entry)
	}
}

// longestSince returns since when the longest of the connections in one of the
// states has been in it.
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
		t.Fatalf("%d connections are counted, %d are open, %d allowed", n, len(m.live), m.limits.Slots)
	}
	bodyBytes, serving := 0, 0
	for e := range m.live {
		bodyBytes += e.bodyBytes
		if e.state == Serving {
			serving++
		}
	}
	if bodyBytes != m.table.bodyBytes || bodyBytes > m.limits.BodyBytes {
		t.Fatalf("%d bytes held, %d counted, %d allowed", bodyBytes, m.table.bodyBytes, m.limits.BodyBytes)
	}
	if serving != m.table.serving {
		t.Fatalf("%d connections being served, %d counted", serving, m.table.serving)
	}
}

func (m *tableModel) open(t *rapid.T) {
	longest := m.longestSince(Reading, Body, Responding)
	e, closed, wait := m.table.Open(m.now, nil)
	latest := m.table.latest
	switch {
	case wait > 0:
		if latest+wait < longest+m.table.Grace() || longest == never {
			t.Fatalf("told to wait %v at %v, while the longest stall began at %v", wait, latest, longest)
		}
	case e == nil:
		if m.table.serving != m.limits.Slots {
			t.Fatalf("refused while %d of %d slots are being served", m.table.serving, m.limits.Slots)
		}
	default:
		for _, c := range closed {
			isWithinGrace := c.state != Idle && latest-c.since < m.table.Grace()
			if c.since > longest || isWithinGrace {
				t.Fatalf("evicted what stalls since %v at %v, while another stalls since %v", c.since, latest, longest)
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
		t.Fatalf("%q is counted for %s", b, got)
	}
}

func (m *tableModel) move(t *rapid.T) {
	e := m.drawEntry(t)
	state := rapid.SampledFrom([]State{Body, Serving, Responding, Idle}).Draw(t, "state")
	if !m.table.Transition(m.now, e, state) {
		t.Fatal("an open connection is taken for closed")
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

// fillBody records bytes as a body's reader does.
func (m *tableModel) fillBody(t *rapid.T) {
	e := m.drawEntry(t)
	n := rapid.IntRange(0, 60).Draw(t, "bytes")
	if e.state != Body && !m.table.Transition(m.now, e, Body) {
		t.Fatal("an open connection is taken for closed")
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
			t.Fatalf("evicted %v after %v for %v", c.state, latest-c.since, c.Reason)
		}
	}
	m.removeClosed(t, closed)
	for e := range m.live {
		if timeout, _ := m.limits.timeoutFor(e.state); e.state != Serving && latest-e.since > timeout {
			t.Fatalf("%v for %v is not evicted", e.state, latest-e.since)
		}
	}
}
