package gateway

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against connections that stay open after a burst: targets bound those of
// all instances together.
func TestSurplusConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPools(func() {})
		key := poolKey{"t", "a"}
		open := map[*conn]net.Conn{}
		newConn := func() *conn {
			ours, theirs := net.Pipe()
			c := &conn{Conn: ours, br: bufio.NewReader(ours), usableUntil: time.Now().Add(connIdleTimeout)}
			open[c] = theirs
			return c
		}
		burst := []*conn{newConn(), newConn(), newConn()}
		for _, c := range burst {
			p.put(key, c)
		}
		used := burst[2]
		use := func() {
			p.idle[key] = p.idle[key][:len(p.idle[key])-1]
			p.put(key, used)
		}
		time.Sleep(surplusIdleTimeout / 2)
		use()
		if n := len(p.idle[key]); n != 3 {
			t.Errorf("%d connections soon after a burst, want 3", n)
		}
		for range 10 {
			time.Sleep(surplusIdleTimeout)
			use()
		}
		if list := p.idle[key]; len(list) != 1 || list[0] != used {
			t.Errorf("%d connections long after a burst, want the one in use", len(list))
		}
		for _, c := range burst[:2] {
			if _, err := open[c].Write([]byte("x")); err == nil {
				t.Error("a surplus connection is open")
			}
		}
	})
}
