package target

import (
	"net"
	"sync"
	"time"
)

// listener accepts the connections of one target. It limits and delays them
// and can reset them all. mu guards the fields below it. Lock order: target.mu
// before mu.
type listener struct {
	address     string
	maxOpen     int // maximum number of open connections, 0 for no limit
	connectTime time.Duration

	mu    sync.Mutex
	inner net.Listener
	// reopened is closed when inner has been replaced after stop, or when the listener is
	// closed. It is nil unless the listener is stopped.
	reopened      chan struct{}
	closed        bool
	open          map[*conn]struct{}
	acceptedTotal int
	downUntil     time.Time
	down          bool
}

func listen(address string, maxOpen int, connectTime time.Duration) (*listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{
		address: inner.Addr().String(), maxOpen: maxOpen, connectTime: connectTime,
		inner: inner, open: make(map[*conn]struct{}),
	}, nil
}

// Accept implements net.Listener. It resets connections above the limit and
// connections that arrive while the target is down.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.acceptInner()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, owner: l, readyAt: time.Now().Add(l.connectTime)}
		l.mu.Lock()
		refused := l.down || time.Now().Before(l.downUntil) || (l.maxOpen > 0 && len(l.open) >= l.maxOpen)
		if !refused {
			l.open[c] = struct{}{}
			l.acceptedTotal++
		}
		l.mu.Unlock()
		if !refused {
			return c, nil
		}
		reset(raw)
	}
}

// acceptInner accepts a connection. While the listener is stopped it waits.
func (l *listener) acceptInner() (net.Conn, error) {
	for {
		l.mu.Lock()
		inner := l.inner
		l.mu.Unlock()
		raw, err := inner.Accept()
		if err == nil {
			return raw, nil
		}
		l.mu.Lock()
		reopened, closed := l.reopened, l.closed
		replaced := l.inner != inner
		l.mu.Unlock()
		switch {
		case closed || (reopened == nil && !replaced):
			return nil, err
		case reopened != nil:
			<-reopened
		}
	}
}

// stop closes the listening socket, so that connects are refused, and opens it again after
// the downtime. The caller resets the connections afterwards.
func (l *listener) stop(downtime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.reopened != nil {
		return
	}
	l.reopened = make(chan struct{})
	_ = l.inner.Close() // fails only on a closed listener
	time.AfterFunc(downtime, l.reopen)
}

// reopenInterval is the time between two tries to listen at an address that another socket has
// taken meanwhile.
const reopenInterval = 10 * time.Millisecond

// reopen listens again after stop.
func (l *listener) reopen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	inner, err := net.Listen("tcp", l.address)
	if err != nil {
		time.AfterFunc(reopenInterval, l.reopen)
		return
	}
	close(l.reopened)
	l.inner, l.reopened = inner, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	if l.reopened != nil {
		close(l.reopened)
		l.reopened = nil
		return nil
	}
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.Addr()
}

// resetAll resets all connections and refuses new ones for the given time.
func (l *listener) resetAll(downtime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downUntil = time.Now().Add(downtime)
	for c := range l.open {
		reset(c.Conn)
	}
	clear(l.open)
}

// setDown(true) resets all connections and refuses new ones until
// setDown(false).
func (l *listener) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		l.resetAll(0)
	}
}

// accepted returns the number of connections accepted since the start.
func (l *listener) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acceptedTotal
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// conn is a connection whose first read waits until readyAt, which simulates
// the time to connect.
type conn struct {
	net.Conn
	owner   *listener
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
