package node

import (
	"net"
	"sync"
)

// closingListener can close the connections that it accepted. The HTTP library
// closes idle connections and leaves the others open: after an unfinished
// request, a controller whose core has stopped would serve them again.
type closingListener struct {
	net.Listener
	mu        sync.Mutex
	openConns map[net.Conn]struct{}
	closed    bool
}

func listen(addr string) (*closingListener, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &closingListener{Listener: ln, openConns: map[net.Conn]struct{}{}}, nil
}

// Accept waits for a connection and tracks it until it is closed.
func (l *closingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	tracked := &trackedConn{Conn: c, listener: l}
	l.openConns[tracked] = struct{}{}
	return tracked, nil
}

// closeAll closes the listener and all connections that it accepted.
func (l *closingListener) closeAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	l.closed = true
	open := l.openConns
	l.openConns = nil
	l.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}

// trackedConn is a connection that its listener can close.
type trackedConn struct {
	net.Conn
	listener *closingListener
}

// Close closes the connection and removes it from its listener.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.openConns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
