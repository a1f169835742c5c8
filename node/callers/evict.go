package callers

import (
	"net"
	"net/http"
	"time"
)

// stalledAfter is how long a caller may take to send a request or to accept an answer before
// its connection is closed in favour of a new one, in place of an idle connection.
const stalledAfter = time.Second

// admit reports whether a new connection may be opened. If there are too many, the one that is
// closed for it is, in this order: the one whose caller is sending a request or accepting an
// answer for the longest time, if that is over stalledAfter; the one that is idle for the
// longest time; any other whose caller is sending a request or accepting an answer. A connection
// whose request is being worked on is not closed.
func (cc *Connections) admit(now time.Time) bool {
	victim, ok := cc.makeRoom(now)
	if victim != nil {
		_ = victim.Close()
	}
	if victim != nil || !ok {
		cc.Limits.refused(RefusedConnections)
	}
	return ok
}

// makeRoom reports whether a new connection may be opened, and returns the one to close for it,
// or nil.
func (cc *Connections) makeRoom(now time.Time) (victim net.Conn, ok bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.Limits.MaxConnections == 0 || len(cc.idle)+len(cc.busy) < cc.Limits.MaxConnections {
		return nil, true
	}
	waiting, waitingSince := cc.longestWaiting()
	chosen := waiting
	if waiting == nil || now.Sub(waitingSince) < stalledAfter {
		if idle := cc.longestIdle(); idle != nil {
			chosen = idle
		}
	}
	if chosen == nil {
		return nil, false
	}
	chosen.closing = true
	delete(cc.idle, chosen)
	delete(cc.busy, chosen)
	return chosen.Conn, true
}

// longestIdle returns the connection that is idle for the longest time, or nil. The caller
// holds mu.
func (cc *Connections) longestIdle() (longest *Conn) {
	for conn := range cc.idle {
		if c, ok := conn.(*Conn); ok && (longest == nil || c.history.enteredAt.Before(longest.history.enteredAt)) {
			longest = c
		}
	}
	return longest
}

// longestWaiting returns the connection that waits for its caller for the longest time, and
// since when, or nil. The caller holds mu.
func (cc *Connections) longestWaiting() (longest *Conn, since time.Time) {
	for conn := range cc.busy {
		c, ok := conn.(*Conn)
		if !ok {
			continue
		}
		if at := c.waitingSince(); !at.IsZero() && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	return longest, since
}

// waitingSince returns since when the connection waits for its caller to send a request or to
// accept an answer, the zero time if it does not. The caller holds connections.mu.
func (c *Conn) waitingSince() time.Time {
	switch {
	case !c.writingSince.IsZero():
		return c.writingSince
	case c.history.State == http.StateNew:
		return c.history.openedAt
	case c.history.State == http.StateIdle:
		return c.requestSince
	case c.reading && c.requested > 1:
		return c.history.enteredAt
	default:
		return time.Time{}
	}
}
