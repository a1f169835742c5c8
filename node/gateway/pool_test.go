package gateway

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against connections that stay open after a burst. They would count against the
// target's bound on the connections of all instances together.
func TestSurplusConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPools(func() {})
		key := poolKey{"t", "a"}
		targetConns := map[*conn]net.Conn{} // the target's ends of the connections
		newConn := func() *conn {
			instanceConn, targetConn := net.Pipe()
			c := &conn{Conn: instanceConn, br: bufio.NewReader(instanceConn), usableUntil: time.Now().Add(connIdleTimeout)}
			targetConns[c] = targetConn
			return c
		}
		burst := []*conn{newConn(), newConn(), newConn()}
		for _, c := range burst {
			p.put(key, c)
		}
		reused := burst[2]
		// reuse takes a connection from the pool, as get does, and puts it back.
		reuse := func() {
			p.idle[key] = p.idle[key][:len(p.idle[key])-1]
			p.put(key, reused)
		}
		time.Sleep(surplusIdleTimeout / 2)
		reuse()
		if n := len(p.idle[key]); n != 3 {
			t.Errorf("got %d idle connections soon after a burst, want 3", n)
		}
		for range 10 {
			time.Sleep(surplusIdleTimeout)
			reuse()
		}
		if list := p.idle[key]; len(list) != 1 || list[0] != reused {
			t.Errorf("got %d idle connections long after a burst, want only the one in use", len(list))
		}
		for _, c := range burst[:2] {
			if _, err := targetConns[c].Write([]byte("x")); err == nil {
				t.Error("a surplus connection is open long after a burst, want it closed")
			}
		}
	})
}
