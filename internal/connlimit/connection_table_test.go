package connlimit

import (
	"flag"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"pgregory.net/rapid"
)

// TestMain fixes the seed: the same inputs, the same verdict, every time.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "14"); err != nil {
		panic(err)
	}
	m.Run()
}

var testClasses = []Class{
	{Name: "health", Prefix: "GET /up ", ReservedShare: 0.125},
	{Name: "workers", Prefix: "POST /v1/report ", ReservedShare: 0.5},
	{Name: "users", ReservedShare: 0.375},
}

// Whatever happens on connections, a table keeps its bounds, gives up nothing
// that is being served, and gives up first what has stalled longest.
func TestTableStaysWithinLimitsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			Slots:     8,
			BodyBytes: 100,
			Header:    400 * time.Millisecond,
			Body:      300 * time.Millisecond,
			Response:  500 * time.Millisecond,
			Idle:      2 * time.Second,
		}
		tb := New(l, testClasses)
		live := map[*Entry]bool{}
		var now time.Duration
		anyEntry := func() *Entry {
			var es []*Entry
			for _, list := range append(tb.stalled[:], tb.idle...) {
				for f := list.Front(); f != nil; f = f.Next() {
					es = append(es, f.Value.(*Entry))
				}
			}
			if len(es) == 0 {
				t.Skip("nothing is open")
			}
			return rapid.SampledFrom(es).Draw(t, "which")
		}
		removeClosed := func(closed []Closed) {
			for _, c := range closed {
				if c.state == Serving {
					t.Fatalf("a connection that is being served was given up for %v", c.Reason)
				}
				if !live[c.Entry] {
					t.Fatal("a connection was given up twice")
				}
				delete(live, c.Entry)
			}
		}
		oldest := func(s State) time.Duration {
			o := time.Duration(1 << 62)
			for e := range live {
				if e.state == s {
					o = min(o, e.since)
				}
			}
			return o
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if n := tb.count(); n > l.Slots || n != len(live) {
					t.Fatalf("%d connections are counted, %d are open, %d allowed", n, len(live), l.Slots)
				}
				bodyBytes, serving := 0, 0
				for e := range live {
					bodyBytes += e.bodyBytes
					if e.state == Serving {
						serving++
					}
				}
				if bodyBytes != tb.bodyBytes || bodyBytes > l.BodyBytes || serving != tb.serving {
					t.Fatalf(
						"%d bytes held, %d counted, %d allowed; %d served, %d counted",
						bodyBytes,
						tb.bodyBytes,
						l.BodyBytes,
						serving,
						tb.serving,
					)
				}
			},
			"open": func(t *rapid.T) {
				longest := min(oldest(Reading), oldest(Body), oldest(Responding))
				e, closed, wait := tb.Open(now, nil)
				if wait > 0 {
					if tb.latest+wait < longest+tb.Grace() || longest == 1<<62 {
						t.Fatalf("asked to wait %v at %v, while the longest stall began at %v", wait, tb.latest, longest)
					}
					return
				}
				if e == nil {
					if tb.serving != l.Slots {
						t.Fatalf("refused while %d of %d slots are not being served", l.Slots-tb.serving, l.Slots)
					}
					return
				}
				for _, c := range closed {
					if c.since > longest || (c.state != Idle && tb.latest-c.since < tb.Grace()) {
						t.Fatalf("given up at %v, while another stalls since %v", c.since, longest)
					}
				}
				removeClosed(closed)
				live[e] = true
			},
			"read": func(t *rapid.T) {
				b := rapid.SampledFrom(
					[]string{"GET /up HTTP/1.1", "POST /v1/report HTTP/1.1", "POST /work HTTP/1.1", "G"},
				).Draw(
					t,
					"bytes",
				)
				e := anyEntry()
				if e.awaitsFirstByte || e.state == Idle {
					tb.ReceiveBytes(now, e, []byte(b))
					if want := map[string]string{"GET ": "health", "POST": "workers"}; testClasses[e.class].Name != "users" &&
						want[b[:4]] != testClasses[e.class].Name {
						t.Fatalf("%q is taken for %s", b, testClasses[e.class].Name)
					}
				}
			},
			"move": func(t *rapid.T) {
				e := anyEntry()
				if !tb.Transition(now, e, rapid.SampledFrom([]State{Body, Serving, Responding, Idle}).Draw(t, "state")) {
					t.Fatal("an open connection is taken for gone")
				}
			},
			"serve on": func(t *rapid.T) {
				for e := range live {
					if e.state == Serving {
						tb.Transition(now, e, Idle)
						return
					}
				}
			},
			"hold": func(t *rapid.T) {
				e := anyEntry()
				removeClosed(tb.setBodyBytesIfOpen(e, rapid.IntRange(0, 60).Draw(t, "bytes")))
			},
			"close": func(t *rapid.T) { e := anyEntry(); tb.Close(e); tb.Close(e); delete(live, e) },
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond
				closed := tb.Sweep(now)
				for _, c := range closed {
					if bound, reason := l.timeoutFor(c.state); reason != c.Reason || tb.latest-c.since <= bound {
						t.Fatalf("%v after %v for %v", c.state, tb.latest-c.since, c.Reason)
					}
				}
				removeClosed(closed)
				for e := range live {
					if bound, _ := l.timeoutFor(e.state); e.state != Serving && tb.latest-e.since > bound {
						t.Fatalf("%v for %v is let be", e.state, tb.latest-e.since)
					}
				}
			},
		})
	})
}

// setBodyBytesIfOpen holds bytes as a body's reader does.
func (t *Table) setBodyBytesIfOpen(e *Entry, n int) []Closed {
	if e.state != Body {
		return nil
	}
	return t.SetBodyBytes(e, n)
}

// The idle connections of a class below its share stay while another class is
// above its own: idle users cannot take workers' slots.
func TestReservedSlotsAreNotTakenByOtherClasses(t *testing.T) {
	tb := New(
		Limits{Slots: 16, Header: time.Second, Body: time.Second, Response: time.Second, Idle: time.Hour},
		testClasses,
	)
	open := func(line string) *Entry {
		e, _, _ := tb.Open(0, nil)
		tb.ReceiveBytes(0, e, []byte(line))
		tb.Transition(0, e, Serving)
		tb.Transition(0, e, Idle)
		return e
	}
	workers := []*Entry{}
	for range 8 {
		workers = append(workers, open("POST /v1/report HTTP/1.1"))
	}
	health := open("GET /up HTTP/1.1")
	for range 100 {
		open("GET /work/job-000001 HTTP/1.1")
	}
	for _, e := range append(workers, health) {
		if e.closed {
			t.Fatalf("users took a slot of %s", testClasses[e.class].Name)
		}
	}
}

// A process that stood still finds every connection late at once, though what
// its clients sent meanwhile only waits to be read.
func TestProcessSuspensionDoesNotExpireConnections(t *testing.T) {
	tb := New(
		Limits{Slots: 4, Header: time.Second, Body: time.Second, Response: time.Second, Idle: 10 * time.Second},
		testClasses,
	)
	tb.Sweep(time.Millisecond)
	e, _, _ := tb.Open(100*time.Millisecond, nil)
	tb.ReceiveBytes(100*time.Millisecond, e, []byte("POST"))
	if closed := tb.Sweep(20 * time.Second); len(closed) != 0 {
		t.Fatalf("given up for %v after a standstill", closed[0].Reason)
	}
	for now := 20 * time.Second; now < 22*time.Second; now += tb.Interval() {
		tb.Sweep(now)
	}
	if !e.closed {
		t.Fatal("a late request is let be after a standstill")
	}
}

// An answer that nobody takes ends with its connection.
func TestUnreadResponseIsClosedAfterTimeout(t *testing.T) {
	g := NewLimiter(
		"test",
		Limits{
			Slots:     4,
			BodyBytes: 1000,
			Header:    200 * time.Millisecond,
			Body:      time.Second,
			Response:  300 * time.Millisecond,
			Idle:      time.Minute,
		},
		testClasses,
	)
	go g.Run(t.Context())
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := fiber.New(fiber.Config{DisableStartupMessage: true, StreamRequestBody: true})
	app.Use(LimitBodies(1000))
	app.Get("/", func(c *fiber.Ctx) error { return c.SendString(strings.Repeat("x", 32<<20)) })
	go func() { _ = app.Listener(g.Listen(ln)) }()
	defer func() { _ = app.Shutdown() }()
	c, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); g.Stats().Closed["users"]["late_answer"] == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the answer is waited for: %+v", g.Stats())
		}
	}
	if s := g.Stats(); s.Open["users"] != 0 {
		t.Errorf("the connection is still open: %+v", s)
	}
}
