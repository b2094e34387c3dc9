package connlimit

import (
	"net"
	"time"
)

// Responses to requests that are evicted before they are complete: the client
// may retry.
const (
	retryHeaders        = "Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	timeoutResponse     = "HTTP/1.1 408 Request Timeout\r\n" + retryHeaders
	unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\n" + retryHeaders
)

// responseWriteTimeout bounds the write of such a response, since a stalled
// client may not read it.
const responseWriteTimeout = 100 * time.Millisecond

func writeResponse(c net.Conn, response string) {
	if c.SetWriteDeadline(time.Now().Add(responseWriteTimeout)) == nil {
		_, _ = c.Write([]byte(response))
	}
}

// Listen returns a listener that accepts connections of ln within the limiter's
// limits.
func (l *Limiter) Listen(ln net.Listener) net.Listener {
	return &limitedListener{Listener: ln, limiter: l}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection that has a slot. While no slot can be freed,
// it waits or refuses connections.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: raw, limiter: l.limiter}
		if c.open() {
			return c, nil
		}
		go func() {
			writeResponse(raw, unavailableResponse)
			_ = raw.Close()
		}()
	}
}

// limitedConn records the events of a connection in the table.
type limitedConn struct {
	net.Conn
	limiter *Limiter
	entry   *Entry
}

// open waits for a slot and reports whether the connection got one.
func (c *limitedConn) open() bool {
	for wait := time.Duration(1); c.entry == nil && wait > 0; time.Sleep(wait) {
		c.limiter.withTable(func(t *Table, now time.Duration) (closed []Closed) {
			c.entry, closed, wait = t.Open(now, c)
			return closed
		})
	}
	return c.entry != nil
}

// Read also determines the class of a request from its first bytes.
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

// Write returns net.ErrClosed when the table has evicted the connection.
func (c *limitedConn) Write(b []byte) (int, error) {
	if !c.transition(Responding) {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.transition(Idle)
	return n, err
}

// Close also frees the slot.
func (c *limitedConn) Close() error {
	c.limiter.withTable(func(t *Table, _ time.Duration) []Closed {
		t.Close(c.entry)
		return nil
	})
	return c.Conn.Close()
}

// abort closes a connection that the table has evicted. If a part of a request
// has arrived, it sends a response first.
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
