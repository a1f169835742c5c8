package callers

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against callers that keep others out by connections on which they send nothing, and
// against closing a connection whose request is being worked on.
func TestNewConnectionReplacesOneThatWaitsForItsCaller(t *testing.T) {
	now := time.Now()
	old, older := now.Add(-2*stalledAfter), now.Add(-3*stalledAfter)
	conn := func(state http.ConnState, since time.Time, change func(*Conn)) *Conn {
		c := &Conn{history: connectionHistory{State: state, enteredAt: since, openedAt: since}}
		if change != nil {
			change(c)
		}
		return c
	}
	working := conn(http.StateActive, older, func(c *Conn) { c.reading, c.requested = true, 1 })
	fresh := conn(http.StateNew, now, nil)
	idle := conn(http.StateIdle, older, nil)
	silent := conn(http.StateNew, old, nil)
	sending := conn(http.StateActive, old, func(c *Conn) { c.reading, c.requested = true, 4096 })
	for _, test := range []struct {
		name   string
		open   []*Conn
		victim *Conn
	}{
		{"all work", []*Conn{working, working}, nil},
		{"silent before idle", []*Conn{working, idle, silent}, silent},
		{"idle before fresh", []*Conn{working, idle, fresh}, idle},
		{"fresh", []*Conn{working, fresh}, fresh},
		{"sends a body", []*Conn{working, idle, sending}, sending},
	} {
		server, caller := net.Pipe()
		caller.Close()
		cc := NewConnections(headTimeout, func() time.Duration { return time.Minute })
		refused := 0
		cc.Limits = Limits{MaxConnections: 1, OnRefused: func(Refusal) { refused++ }}
		for _, c := range test.open {
			c.Conn, c.connections, c.closing = server, cc, false
			if c == idle {
				cc.idle[c] = true
			} else {
				cc.busy[c] = time.Time{}
			}
		}
		admitted := cc.admit(now)
		if admitted != (test.victim != nil) || refused != 1 {
			t.Errorf("%s: got admitted %v, %d refusals", test.name, admitted, refused)
		}
		for _, c := range test.open {
			if c.closing != (c == test.victim) {
				t.Errorf("%s: connection %+v: got closing %v", test.name, c.history, c.closing)
			}
		}
	}
}
