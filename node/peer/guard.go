package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/stats"

	"galenadyke.dev/node/memory"
)

const (
	// handshakeTimeout bounds the time until a connection speaks HTTP/2.
	handshakeTimeout = 5 * time.Second
	// maxCallHeadBytes bounds the head of a call, uncompressed. Instances send less than 1 KB.
	maxCallHeadBytes = 4 << 10
	// maxCallsPerConnection bounds the calls in progress on a connection. Further calls wait at
	// their sender.
	maxCallsPerConnection = 256
	// CallBytes is the memory of a call with a head of maxCallHeadBytes, without its message.
	CallBytes = 24 << 10
	// freeConnectionBytes is the memory of the calls and messages of a connection that is not
	// taken from the budget: two calls.
	freeConnectionBytes = 2 * CallBytes
	// frameBytes is the memory of a frame of HTTP/2 beside its payload.
	frameBytes = 128
)

// Guard bounds what the clients of a gRPC server take: the number of their connections, and
// the memory of calls whose message has not arrived completely. The server needs it as its
// stats.Handler, and the listener that Listen returns.
type Guard struct {
	maxConnections int
	memory         *memory.Budget

	mu    sync.Mutex // guards conns; locked before guardedConn.mu
	conns map[string]*guardedConn
}

// NewGuard returns a guard for at most maxConnections connections, whose memory is taken from
// the budget.
func NewGuard(maxConnections int, budget *memory.Budget) *Guard {
	return &Guard{maxConnections: maxConnections, memory: budget, conns: make(map[string]*guardedConn)}
}

// Listen returns a listener whose connections the guard bounds.
func (g *Guard) Listen(l net.Listener) net.Listener { return &guardedListener{Listener: l, guard: g} }

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(conn); c != nil {
			return c, nil
		}
		conn.Close()
	}
}

// admit returns a new connection, or nil if there are too many and each of them has a call in
// progress. Otherwise the one that has had none for the longest time is closed for it.
func (g *Guard) admit(conn net.Conn) *guardedConn {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.maxConnections {
		idle := g.longestIdle()
		if idle == nil {
			return nil
		}
		delete(g.conns, idle.key)
		_ = idle.Conn.Close() // the server notices it in a read
	}
	c := &guardedConn{Conn: conn, guard: g, key: conn.RemoteAddr().String(), idleSince: now}
	g.conns[c.key] = c
	return c
}

// longestIdle returns the connection that has had no call in progress for the longest time, or
// nil. The caller holds mu.
func (g *Guard) longestIdle() (longest *guardedConn) {
	var since time.Time
	for _, c := range g.conns {
		if at := c.idleTime(); !at.IsZero() && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	return longest
}

func (g *Guard) remove(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[c.key] == c {
		delete(g.conns, c.key)
	}
}

// guardedConn is a connection of a client.
type guardedConn struct {
	net.Conn
	guard *Guard
	key   string // address of the client

	written atomic.Int64 // bytes written

	mu sync.Mutex // guards the fields below
	// calls are the calls in progress, receiving those of them that have not received their
	// message, or that receive a stream of messages.
	calls, receiving int
	idleSince        time.Time // when calls became 0
	// unread is the memory of the frames that have arrived since a call was receiving, without
	// the messages that are complete.
	unread int64
	frames frameCounter
	// hold is the memory beyond freeConnectionBytes, nil if there is none, and charged its size.
	hold    *memory.Hold
	charged int64
	closed  bool
}

// errOverBudget is the error of a connection that was closed because the messages that arrive on
// it took too much memory.
var errOverBudget = errors.New("the messages that arrive on the connection take too much memory")

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.arrived(b[:n]) {
		_ = c.Conn.Close()
		return 0, errOverBudget
	}
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.guard.remove(c)
	c.mu.Lock()
	c.closed = true
	_ = c.charge() // a closed connection takes no more
	c.mu.Unlock()
	return c.Conn.Close()
}

// arrived counts bytes that have been read. It reports false if they exceed the budget.
func (c *guardedConn) arrived(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	frames := c.frames.count(b)
	if c.receiving > 0 {
		c.unread += int64(len(b) + frames*frameBytes)
	}
	return c.charge() == nil
}

// frameCounter counts the frames on a connection.
type frameCounter struct {
	begun   bool // the client preface has begun
	skip    int  // bytes until the next frame header
	header  [9]byte
	inFrame int // bytes of header that have arrived
}

// count returns the number of frames whose header ends in b.
func (f *frameCounter) count(b []byte) (frames int) {
	if !f.begun {
		f.begun, f.skip = true, len(http2.ClientPreface)
	}
	for len(b) > 0 {
		n := min(f.skip, len(b))
		f.skip -= n
		b = b[n:]
		n = copy(f.header[f.inFrame:], b)
		f.inFrame += n
		b = b[n:]
		if f.inFrame == len(f.header) {
			frames++
			f.skip, f.inFrame = int(f.header[0])<<16|int(f.header[1])<<8|int(f.header[2]), 0
		}
	}
	return frames
}

// charge takes the memory of the connection from the budget. That of a closed connection is
// given back with the end of its last call. The caller holds mu.
func (c *guardedConn) charge() error {
	size := c.unread + int64(c.receiving)*CallBytes
	if c.closed {
		if c.calls == 0 {
			c.release()
		}
		return nil
	}
	if size <= freeConnectionBytes {
		c.release()
		return nil
	}
	if c.hold == nil {
		c.hold = c.guard.memory.Hold(func() { _ = c.Conn.Close() }) // the server notices it in a read
	}
	if size <= c.charged {
		return nil
	}
	n := size - c.charged
	c.charged = size
	return c.hold.Grow(n)
}

// release gives the memory of the connection back. The caller holds mu.
func (c *guardedConn) release() {
	if c.hold != nil {
		c.hold.Release()
		c.hold, c.charged = nil, 0
	}
}

// idleTime returns since when the connection has had no call in progress, the zero time if it
// has one.
func (c *guardedConn) idleTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls > 0 {
		return time.Time{}
	}
	return c.idleSince
}

// call is the state of a call of a guarded connection. The connection's mutex guards it.
type call struct {
	conn           *guardedConn
	begun          bool
	receiving      bool
	isClientStream bool
}

type (
	connKey struct{}
	callKey struct{}
)

// TagConn implements stats.Handler.
func (g *Guard) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return context.WithValue(ctx, connKey{}, g.conns[info.RemoteAddr.String()])
}

// Written returns the number of bytes that have been written on the connection of the call with
// the context.
func Written(ctx context.Context) int64 {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		return c.conn.written.Load()
	}
	return 0
}

// CloseConnection closes the connection of the call with the context.
func CloseConnection(ctx context.Context) {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		_ = c.conn.Conn.Close() // the server notices it in a read
	}
}

// HandleConn implements stats.Handler.
func (g *Guard) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (g *Guard) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	conn, _ := ctx.Value(connKey{}).(*guardedConn)
	if conn == nil {
		return ctx
	}
	return context.WithValue(ctx, callKey{}, &call{conn: conn})
}

// HandleRPC implements stats.Handler.
func (g *Guard) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, _ := ctx.Value(callKey{}).(*call)
	if c == nil {
		return
	}
	var err error
	c.conn.mu.Lock()
	switch s := s.(type) {
	case *stats.Begin:
		c.begin(s.IsClientStream)
		err = c.conn.charge()
	case *stats.InPayload:
		c.received(s.WireLength)
	case *stats.End:
		c.end()
	}
	c.conn.mu.Unlock()
	if err != nil {
		_ = c.conn.Conn.Close()
	}
}

// begin counts a call that begins. The caller holds conn.mu, as for the other methods.
func (c *call) begin(isClientStream bool) {
	c.begun, c.receiving, c.isClientStream = true, true, isClientStream
	c.conn.calls++
	c.conn.receiving++
}

// received counts a message that has arrived completely.
func (c *call) received(bytes int) {
	c.conn.unread = max(0, c.conn.unread-int64(bytes))
	switch {
	case !c.isClientStream:
		c.endReceiving()
	case c.conn.receiving == 1:
		c.conn.unread = 0
		_ = c.conn.charge() // takes no more than before
	}
}

func (c *call) endReceiving() {
	if !c.receiving {
		return
	}
	c.receiving = false
	c.conn.receiving--
	if c.conn.receiving == 0 {
		c.conn.unread = 0
	}
	_ = c.conn.charge() // takes no more than before
}

func (c *call) end() {
	if !c.begun {
		return
	}
	c.begun = false
	c.conn.calls--
	if c.conn.calls == 0 {
		c.conn.idleSince = time.Now()
	}
	c.endReceiving()
	_ = c.conn.charge() // takes no more than before
}
