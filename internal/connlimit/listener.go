package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/bytebufferpool"
)

// Limiter holds the table of one address and the sockets behind it.
type Limiter struct {
	descs     metricDescs
	startedAt time.Time
	mu        sync.Mutex
	table     *Table
}

// NewLimiter returns a guard; name is the address's in metrics.
func NewLimiter(name string, l Limits, classes []Class) *Limiter {
	return &Limiter{descs: newMetricDescs(name), startedAt: time.Now(), table: New(l, classes)}
}

// Run gives up what took too long until ctx ends.
func (g *Limiter) Run(ctx context.Context) {
	t := time.NewTicker(g.table.Interval())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.withTable(func(t *Table, now time.Duration) []Closed { return t.Sweep(now) })
		}
	}
}

// withTable does something on the table and closes what it gives up.
func (g *Limiter) withTable(f func(*Table, time.Duration) []Closed) {
	g.mu.Lock()
	closed := f(g.table, time.Since(g.startedAt))
	g.mu.Unlock()
	for _, c := range closed {
		go c.Sock.(*limitedConn).abort(c)
	}
}

// What is given up half-way is told so, and when to come back.
const (
	timeoutResponse     = "HTTP/1.1 408 Request Timeout\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// responseWriteTimeout bounds these few bytes: a client that takes none of them is
// given none.
const responseWriteTimeout = 100 * time.Millisecond

func writeResponse(c net.Conn, response string) {
	if c.SetWriteDeadline(time.Now().Add(responseWriteTimeout)) == nil {
		_, _ = c.Write([]byte(response))
	}
}

// Listen returns ln with the guard's bounds.
func (g *Limiter) Listen(ln net.Listener) net.Listener {
	return &limitedListener{Listener: ln, limiter: g}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		sock, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: sock, limiter: l.limiter}
		for wait := time.Duration(1); c.entry == nil && wait > 0; time.Sleep(wait) {
			l.limiter.withTable(func(t *Table, now time.Duration) (closed []Closed) {
				c.entry, closed, wait = t.Open(now, c)
				return closed
			})
		}
		if c.entry != nil {
			return c, nil
		}
		go func() {
			writeResponse(sock, unavailableResponse)
			_ = sock.Close()
		}()
	}
}

// limitedConn tells the table what happens on a connection.
type limitedConn struct {
	net.Conn
	limiter *Limiter
	entry   *Entry
}

func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.limiter.withTable(func(t *Table, now time.Duration) []Closed {
			t.ReceiveBytes(now, c.entry, b[:n])
			return nil
		})
	}
	return n, err
}

func (c *limitedConn) transition(s State) (ok bool) {
	c.limiter.withTable(func(t *Table, now time.Duration) []Closed {
		ok = t.Transition(now, c.entry, s)
		return nil
	})
	return ok
}

func (c *limitedConn) beginRequest(s State) (ok, pipelined bool) {
	c.limiter.withTable(func(t *Table, now time.Duration) []Closed {
		ok, pipelined = t.BeginRequest(now, c.entry, s)
		return nil
	})
	return ok, pipelined
}

func (c *limitedConn) Write(b []byte) (int, error) {
	if !c.transition(Responding) {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.transition(Idle)
	return n, err
}

func (c *limitedConn) Close() error {
	c.limiter.withTable(func(t *Table, _ time.Duration) []Closed {
		t.Close(c.entry)
		return nil
	})
	return c.Conn.Close()
}

func (c *limitedConn) abort(closed Closed) {
	if closed.MidRequest {
		response := unavailableResponse
		if closed.Reason == LateHeader || closed.Reason == LateBody {
			response = timeoutResponse
		}
		writeResponse(c.Conn, response)
	}
	_ = c.Conn.Close()
}

// prefetchedBytes is what the HTTP library reads of a body before it calls a
// handler.
const prefetchedBytes = 8 << 10

// LimitBodies reads requests' bodies within the guard's bounds before the handlers
// see them. The server must stream bodies, so that what is held grows with what
// came, and not with what was announced.
func LimitBodies(limit int) fiber.Handler {
	return func(c *fiber.Ctx) error {
		conn, ok := c.Context().Conn().(*limitedConn)
		if !ok {
			return c.Next()
		}
		if len(c.Request().Header.ContentEncoding()) > 0 {
			// A few kilobytes can unpack to gigabytes, and nobody sends any.
			c.Context().SetConnectionClose()
			return fiber.NewError(fiber.StatusUnsupportedMediaType, "compressed bodies are not taken")
		}
		length := c.Request().Header.ContentLength()
		stream := c.Context().RequestBodyStream()
		if length > limit {
			c.Context().SetConnectionClose()
			return fiber.NewError(fiber.StatusRequestEntityTooLarge, "the body is too large")
		}
		state := Serving
		if stream != nil && (length < 0 || length > prefetchedBytes) {
			state = Body
		}
		ok, pipelined := conn.beginRequest(state)
		if !ok {
			return net.ErrClosed
		}
		if pipelined && !c.Request().MayContinue() {
			// The protocol has none, and a client that does not wait for an
			// answer may not take it either.
			c.Context().SetConnectionClose()
			return fiber.NewError(fiber.StatusBadRequest, "requests must not be pipelined")
		}
		if stream != nil {
			buf := bytebufferpool.Get()
			defer bytebufferpool.Put(buf)
			if err := conn.readBody(buf, stream, limit, state == Body); err != nil {
				c.Context().SetConnectionClose()
				return err
			}
			c.Request().SetBodyRaw(buf.B)
			if state == Body && !conn.transition(Serving) {
				return net.ErrClosed
			}
		}
		return c.Next()
	}
}

func (c *limitedConn) readBody(buf *bytebufferpool.ByteBuffer, from io.Reader, limit int, accountBytes bool) error {
	var chunk [prefetchedBytes]byte
	for {
		n, err := from.Read(chunk[:])
		if len(buf.B)+n > limit {
			return fiber.NewError(fiber.StatusRequestEntityTooLarge, "the body is too large")
		}
		buf.B = append(buf.B, chunk[:n]...)
		if accountBytes {
			c.limiter.withTable(func(t *Table, _ time.Duration) []Closed { return t.SetBodyBytes(c.entry, cap(buf.B)) })
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, "the body is not whole")
		}
	}
}

// Stats reads how the address stands.
func (g *Limiter) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Stats()
}

// metricDescs names a guard's metrics; the address is a constant label, so that two
// guards can share a registry.
type metricDescs struct{ open, state, slots, bodyBytes, closed *prometheus.Desc }

func newMetricDescs(address string) metricDescs {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("grebedock_"+name, help, labels, prometheus.Labels{"address": address})
	}
	return metricDescs{
		open:      desc("connections", "Open connections.", "class"),
		state:     desc("connections_state", "Open connections by what they wait for.", "state"),
		slots:     desc("connection_slots", "Connections that the address may have."),
		bodyBytes: desc("half_read_bytes", "Bytes held for bodies that are under way."),
		closed:    desc("connections_given_up_total", "Connections that were given up.", "class", "why"),
	}
}

// Describe gives the metrics' descriptions.
func (g *Limiter) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{g.descs.open, g.descs.state, g.descs.slots, g.descs.bodyBytes, g.descs.closed} {
		ch <- d
	}
}

// Collect gives the metrics as they stand.
func (g *Limiter) Collect(ch chan<- prometheus.Metric) {
	s := g.Stats()
	gauge := func(d *prometheus.Desc, v int, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
	}
	gauge(g.descs.slots, s.Slots)
	gauge(g.descs.bodyBytes, s.BodyBytes)
	for c, n := range s.Open {
		gauge(g.descs.open, n, c)
	}
	for st, n := range s.State {
		gauge(g.descs.state, n, st)
	}
	for c, m := range s.Closed {
		for reason, n := range m {
			ch <- prometheus.MustNewConstMetric(g.descs.closed, prometheus.CounterValue, float64(n), c, reason)
		}
	}
}
