package backend

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// errLate says that the deadline passed before the first byte was written.
var errLate = errors.New("deadline passed before the request was written")

// exchange watches one request on its connection.
type exchange struct {
	deadline time.Duration // on Boot; zero means none
	now      func() time.Duration
	// started is true once bytes of the request may have reached the kernel.
	started atomic.Bool
	// writtenAt is the Boot time before the first write, in nanoseconds.
	writtenAt atomic.Int64
}

// begin is called immediately before the first write of the request.
func (x *exchange) begin() error {
	now := x.now()
	if x.deadline != 0 && now >= x.deadline {
		return errLate
	}
	x.writtenAt.CompareAndSwap(0, int64(now))
	x.started.Store(true)
	return nil
}

// conn is a connection to a target that tells the present exchange about its
// first write. HTTP/1.1 without pipelining has one exchange at a time.
type conn struct {
	net.Conn
	current atomic.Pointer[exchange]
}

// Write checks the deadline before the first byte of a request. A process that
// was stopped after the decision to send writes nothing when it resumes late.
func (c *conn) Write(p []byte) (int, error) {
	x := c.current.Load()
	if x == nil || x.started.Load() {
		return c.Conn.Write(p)
	}
	if err := x.begin(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		x.started.Store(false) // the kernel took nothing
	}
	return n, err
}

// dialer opens connections and counts them.
type dialer struct {
	net    net.Dialer
	opened func()
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.opened()
	return &conn{Conn: c}, nil
}
