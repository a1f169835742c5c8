package backend

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// errDeadlineBeforeWrite is returned by a write that would start after the
// deadline.
var errDeadlineBeforeWrite = errors.New("deadline passed before the request was written")

// writeTracker records when the first byte of a request is written to its
// connection, and prevents a first write after the deadline.
type writeTracker struct {
	deadline time.Duration // on the clock of the field now; 0 means no deadline
	now      func() time.Duration
	// writeStarted is true once bytes of the request may have reached the kernel.
	writeStarted atomic.Bool
	// firstWriteAt is the time just before the first write, in nanoseconds as measured
	// by now. Zero means that no write has begun.
	firstWriteAt atomic.Int64
	conn         atomic.Pointer[conn] // the connection of the request, nil before there is one
}

// beforeFirstWrite is called immediately before the first write of the request. It
// returns errDeadlineBeforeWrite if the deadline has passed.
func (t *writeTracker) beforeFirstWrite() error {
	now := t.now()
	if t.deadline != 0 && now >= t.deadline {
		return errDeadlineBeforeWrite
	}
	t.firstWriteAt.CompareAndSwap(0, int64(now))
	t.writeStarted.Store(true)
	return nil
}

// conn is a connection to a target that reports the first write of each request to
// the tracker of that request. HTTP/1.1 without pipelining carries one request at a
// time.
type conn struct {
	net.Conn
	current atomic.Pointer[writeTracker]
	// identifies is set once an answer on the connection has stated the ID of its request.
	identifies atomic.Bool
}

// isForeign reports whether an answer that states the ID, or none, does not belong to the
// request that is due. Targets that never state IDs can't be checked.
func (c *conn) isForeign(stated, due string) bool {
	if stated == "" {
		return c.identifies.Load()
	}
	c.identifies.Store(true)
	return stated != due
}

// Write checks the deadline before the first byte of a request, so that a process
// that was suspended after the decision to send writes nothing if it resumes after
// the deadline.
func (c *conn) Write(p []byte) (int, error) {
	t := c.current.Load()
	if t == nil || t.writeStarted.Load() {
		return c.Conn.Write(p)
	}
	if err := t.beforeFirstWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		t.writeStarted.Store(false) // no byte reached the kernel
	}
	return n, err
}

// dialer opens connections and calls opened for each.
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
