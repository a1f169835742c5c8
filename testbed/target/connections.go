package target

import (
	"net"
	"sync"
	"time"
)

// connections is the listener of one target. It limits and delays connections
// and can reset them all. mu guards all fields below it; it is taken after
// target.mu.
type connections struct {
	address string
	limit   int
	connect time.Duration

	mu        sync.Mutex
	inner     net.Listener
	open      map[*conn]struct{}
	total     int
	downUntil time.Time
	down      bool
}

func listen(address string, limit int, connect time.Duration) (*connections, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &connections{
		address: inner.Addr().String(), limit: limit, connect: connect,
		inner: inner, open: make(map[*conn]struct{}),
	}, nil
}

// Accept implements net.Listener. Connections over the limit, or while the
// target is down, are reset.
func (l *connections) Accept() (net.Conn, error) {
	for {
		raw, err := l.inner.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, owner: l, readyAt: time.Now().Add(l.connect)}
		l.mu.Lock()
		refused := l.down || time.Now().Before(l.downUntil) || (l.limit > 0 && len(l.open) >= l.limit)
		if !refused {
			l.open[c] = struct{}{}
			l.total++
		}
		l.mu.Unlock()
		if !refused {
			return c, nil
		}
		reset(raw)
	}
}

// Close implements net.Listener.
func (l *connections) Close() error { return l.inner.Close() }

// Addr implements net.Listener.
func (l *connections) Addr() net.Addr { return l.inner.Addr() }

// resetAll resets every connection and refuses new ones for the time down.
func (l *connections) resetAll(down time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downUntil = time.Now().Add(down)
	for c := range l.open {
		reset(c.Conn)
	}
	clear(l.open)
}

// setDown refuses all connections, or accepts them again.
func (l *connections) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		l.resetAll(0)
	}
}

func (l *connections) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// reset closes a connection so that the other side sees a reset instead of an
// orderly end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// conn is a connection that becomes usable after the connect time.
type conn struct {
	net.Conn
	owner   *connections
	readyAt time.Time
}

func (c *conn) Read(p []byte) (int, error) {
	if d := time.Until(c.readyAt); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Read(p)
}

func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
