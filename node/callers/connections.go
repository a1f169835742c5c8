package callers

import (
	"iter"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Connections follows the connections of callers. It closes those that are idle for
// longer than the limit, in place of the idle timeout of net/http, which can't change while
// a server runs, whereas operators may publish another limit at any time.
type Connections struct {
	// Limits bound what callers can take. They are set before the server starts.
	Limits Limits

	headTimeout time.Duration
	limit       func() time.Duration

	mu     sync.Mutex // guards the fields below; never held while waiting
	timers map[net.Conn]*idleTimer
	// idle are the connections that wait for a request of which nothing has arrived.
	idle map[net.Conn]bool
	// draining is set once idle connections are closed.
	draining bool
	// busy are the connections that are not idle. The value is the time at which the
	// connection was opened until its first request has been read, and then zero.
	busy map[net.Conn]time.Time
	// onClosed is called with each connection that is closed, nil for none. It must not block.
	onClosed func(ClosedConnection)
}

// idleTimer is the timer of one idle period of a connection.
type idleTimer struct{ *time.Timer }

// NewConnections returns the connections of a server whose ReadHeaderTimeout is headTimeout and
// which has no IdleTimeout. limit returns the limit of the idle time.
func NewConnections(headTimeout time.Duration, limit func() time.Duration) *Connections {
	return &Connections{headTimeout: headTimeout, limit: limit, timers: make(map[net.Conn]*idleTimer), idle: make(map[net.Conn]bool), busy: make(map[net.Conn]time.Time)}
}

// Conn is a connection of a caller. net/http treats a connection as idle until it has
// read the head of the next request, and would close it and still serve the request. Here the
// goroutine that reads an idle connection decides whether to close it: Close only interrupts
// its read, which then looks once more for bytes that have arrived. If there are any, the
// connection stays open until the request has been answered.
type Conn struct {
	net.Conn
	connections *Connections

	// The fields below are guarded by connections.mu. requestArrived is set from the first
	// byte of a request until net/http has read its head, reading during a Read.
	requestArrived, reading bool
	// requested is the number of bytes that the latest Read asked for. During a request
	// net/http asks for one byte to notice the close of the connection, and for more to read
	// the body.
	requested int
	// requestSince is when the first byte of a request arrived, writingSince is when the Write
	// in progress began, zero if there is none.
	requestSince, writingSince time.Time
	// writeEnded is set once a write deadline in the past has ended all writes.
	writeEnded bool
	// nextArrived is set if a byte of the next request was read during a request.
	nextArrived bool
	// closeRequested is set while the read is interrupted, closing from the close.
	closeRequested, closing bool
	// readDeadline is the deadline that net/http has set.
	readDeadline time.Time
	// unserved is set while bytes have been read that belong to no request that was served.
	unserved bool
	history  connectionHistory

	// head is what the caller has sent of the head of a request. It belongs to the goroutine
	// that serves the connection.
	head head
	// headBytes is the size of the latest head.
	headBytes int
}

// connectionHistory is what is logged about a connection that is closed during a stop.
type connectionHistory struct {
	State               http.ConnState
	openedAt, enteredAt time.Time // enteredAt is when the state began
	lastBytesAt         time.Time // zero if there were none
	requests            int
}

// ClosedConnection describes a connection that has been closed.
type ClosedConnection struct {
	Caller string // address
	connectionHistory
	// Unserved means that bytes had been read that belong to no request that was served.
	Unserved bool
}

// LogFields returns the fields of the connection's line in the log.
func (c ClosedConnection) LogFields() map[string]any {
	now := time.Now()
	fields := map[string]any{"subject": c.Caller, "state": c.State.String(), "state_ms": now.Sub(c.enteredAt).Milliseconds(),
		"age_ms": now.Sub(c.openedAt).Milliseconds(), "requests": c.requests}
	if !c.lastBytesAt.IsZero() {
		fields["last_bytes_us"] = now.Sub(c.lastBytesAt).Microseconds()
	}
	return fields
}

// SetOnClosed sets the function that is called with each connection that is closed from now
// on, in the goroutine that serves the connection.
func (cc *Connections) SetOnClosed(f func(ClosedConnection)) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.onClosed = f
}

// Open returns the connections that are open, for the log.
func (cc *Connections) Open() []ClosedConnection {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	var out []ClosedConnection
	for _, conns := range []iter.Seq[net.Conn]{maps.Keys(cc.idle), maps.Keys(cc.busy)} {
		for c := range conns {
			if c, ok := c.(*Conn); ok {
				out = append(out, c.describe())
			}
		}
	}
	return out
}

// describe returns the description of the connection. The caller holds connections.mu.
func (c *Conn) describe() ClosedConnection {
	return ClosedConnection{Caller: c.RemoteAddr().String(), connectionHistory: c.history, Unserved: c.unserved}
}

// enter records a change of the state. The caller holds connections.mu.
func (c *Conn) enter(state http.ConnState) {
	now := time.Now()
	switch state {
	case http.StateNew:
		c.history.openedAt = now
	case http.StateActive:
		c.history.requests++
		c.unserved = false
	case http.StateClosed, http.StateHijacked:
		return
	}
	c.history.State, c.history.enteredAt = state, now
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.connections.beginRead(c, len(b)) {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if n == 0 && c.connections.isCloseRequested(c) {
		n, err = c.readArrived(b, err)
	}
	closing, inHead := c.connections.endRead(c, n, len(b))
	if closing {
		// Closed here rather than by net/http, as a request may arrive until then.
		_ = c.Conn.Close()
	}
	if inHead && !c.countHead(b[:n]) {
		return 0, os.ErrDeadlineExceeded // net/http writes no answer after it
	}
	return n, err
}

// readArrived reads bytes that have arrived without waiting. A Read whose deadline has passed
// does not look for them, and neither does RawConn.Read. It returns interrupted, the error of
// that Read, if there are none.
func (c *Conn) readArrived(b []byte, interrupted error) (n int, err error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, interrupted
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, interrupted
	}
	err = raw.Control(func(fd uintptr) {
		for n = -1; n < 0; {
			var errno error
			if n, errno = syscall.Read(int(fd), b); errno != syscall.EINTR {
				return
			}
		}
	})
	if n <= 0 || err != nil {
		return 0, interrupted
	}
	return n, nil
}

// SetReadDeadline implements net.Conn. It does not end the interruption of a read. While a
// connection is idle, net/http sets a deadline only if it has bytes of the next request, which
// it may have read with the previous one.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	if c.connections.idle[c] && !t.IsZero() {
		c.connections.requestBegun(c)
	}
	c.readDeadline = t
	if c.closeRequested {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. It has no effect on a connection on which a request is arriving;
// net/http closes the connection after the answer, and reports that it is closed.
func (c *Conn) Close() error {
	if !c.connections.beginClose(c) {
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite closes the writing side, so that the caller can read the last answer.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Listener returns the connections that it accepts as Conn.
type Listener struct {
	*DrainingListener
	Connections *Connections
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.DrainingListener.Accept()
		if err != nil {
			return nil, err
		}
		if l.Connections.admit(time.Now()) {
			return &Conn{Conn: conn, connections: l.Connections}, nil
		}
		conn.Close()
	}
}

// beginRead reports whether a connection may be read, and marks it as being read then.
// requested is the number of bytes that the read asks for.
func (cc *Connections) beginRead(c *Conn, requested int) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c.reading, c.requested = !c.closing, requested
	return c.reading
}

func (cc *Connections) isCloseRequested(c *Conn) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return c.closeRequested
}

// endRead records the end of a read, and reports whether the connection has to be closed, and
// whether the n bytes that were read belong to the head of a request. A connection on which a
// request has arrived is in use, and is not closed before the answer. asked is the number of
// bytes that the read asked for.
func (cc *Connections) endRead(c *Conn, n, asked int) (closing, inHead bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c.reading = false
	if n == 0 {
		c.closing = c.closing || c.closeRequested
		return c.closing, false
	}
	c.history.lastBytesAt = time.Now()
	if c.history.State == http.StateActive {
		// During a request net/http reads one byte ahead, of the next request.
		c.nextArrived = c.nextArrived || asked == 1
		return false, false
	}
	cc.requestBegun(c)
	return false, true
}

// requestBegun records that the first bytes of a request have arrived on a connection. The
// caller holds mu.
func (cc *Connections) requestBegun(c *Conn) {
	if cc.idle[c] {
		// net/http sets its deadline for the head after the first four bytes.
		c.readDeadline = time.Now().Add(cc.headTimeout)
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only on a closed connection
	}
	if !c.requestArrived {
		c.requestSince = time.Now()
	}
	c.requestArrived, c.unserved, c.nextArrived = true, true, false
	delete(cc.idle, c)
	cc.busy[c] = time.Time{}
	c.endInterruption()
}

// endInterruption lets reads of the connection wait for bytes again. The caller holds
// connections.mu.
func (c *Conn) endInterruption() {
	if c.closeRequested {
		c.closeRequested = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only on a closed connection
	}
}

// idleTimeout closes a connection if it is idle since the timer was started.
func (cc *Connections) idleTimeout(conn net.Conn, t *idleTimer) {
	if cc.beginIdleTimeout(conn, t) {
		_ = conn.Close()
	}
}

// beginIdleTimeout reports whether a connection may be closed now, and marks it as being closed
// then. A timer may expire just before a request arrives, and run after it.
func (cc *Connections) beginIdleTimeout(conn net.Conn, t *idleTimer) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.timers[conn] != t || !cc.idle[conn] {
		return false
	}
	c, ok := conn.(*Conn)
	return !ok || cc.decideClose(c)
}

// beginClose reports whether a connection may be closed now, and marks it as being closed
// then. The read of a connection on which nothing has arrived is interrupted instead.
func (cc *Connections) beginClose(c *Conn) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.decideClose(c)
}

// decideClose is beginClose for callers that hold mu.
func (cc *Connections) decideClose(c *Conn) bool {
	if c.requestArrived {
		return false
	}
	if c.reading && c.history.State != http.StateActive {
		cc.interrupt(c)
		return false
	}
	c.closing = true
	return true
}

// interrupt makes the goroutine that reads a connection close it unless bytes have arrived.
// The caller holds mu.
func (cc *Connections) interrupt(c *Conn) {
	if c.closeRequested {
		return
	}
	c.closeRequested = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// closeIdle closes the idle connections, and from then on each one that becomes idle. The
// method SetKeepAlivesEnabled of net/http is not used for this: after an answer that did not
// announce the close it ends the connection, although bytes of the next request may have been
// read.
func (cc *Connections) closeIdle() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.draining = true
	for conn := range cc.idle {
		if c, ok := conn.(*Conn); ok {
			cc.interrupt(c)
		}
	}
}

// MaxFreshTime is how long a stop waits for the first request on a new connection.
const MaxFreshTime = time.Second

// closeUnused closes the connections on which no request has arrived within MaxFreshTime of
// their start.
func (cc *Connections) closeUnused() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for conn, openedAt := range cc.busy {
		c, ok := conn.(*Conn)
		if ok && c.reading && !openedAt.IsZero() && time.Since(openedAt) >= MaxFreshTime {
			cc.interrupt(c)
		}
	}
}

// inUse reports whether a caller is waiting for an answer or may be sending a request, or the
// close of a connection has not been decided yet.
func (cc *Connections) inUse() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for conn := range cc.idle {
		if c, ok := conn.(*Conn); ok && c.closeRequested {
			return true
		}
	}
	return len(cc.busy) > 0
}

// ConnState is the hook http.Server.ConnState.
func (cc *Connections) ConnState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*Conn); ok {
		c.headEnded(state)
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	switch state {
	case http.StateNew:
		cc.busy[c] = time.Now()
	case http.StateActive:
		cc.busy[c] = time.Time{}
	default:
		delete(cc.busy, c)
	}
	if c, ok := c.(*Conn); ok {
		c.enter(state)
		if state == http.StateClosed && cc.onClosed != nil {
			cc.onClosed(c.describe())
		}
		c.requestArrived = false
		if state == http.StateActive {
			c.endInterruption()
		}
		if state == http.StateClosed {
			_ = c.Conn.Close() // again, unless Close has left it open
		}
	}
	if state == http.StateIdle {
		cc.idle[c] = true
	} else {
		delete(cc.idle, c)
	}
	if c, ok := c.(*Conn); ok && state == http.StateIdle {
		switch {
		case c.nextArrived:
			cc.requestBegun(c)
		case cc.draining:
			cc.interrupt(c)
		}
	}
	switch state {
	case http.StateIdle:
		t := &idleTimer{}
		t.Timer = time.AfterFunc(cc.limit(), func() { cc.idleTimeout(c, t) })
		cc.timers[c] = t
	case http.StateActive, http.StateClosed, http.StateHijacked:
		if t := cc.timers[c]; t != nil {
			t.Stop()
			delete(cc.timers, c)
		}
	}
}
