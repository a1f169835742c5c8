package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections closes callers' connections that are idle for longer than the limit. It
// replaces the idle timeout of net/http, which can't change while a server runs, whereas
// operators may publish another limit at any time.
type idleConnections struct {
	limit func() time.Duration

	mu     sync.Mutex // guards timers; held for map operations only
	timers map[net.Conn]*time.Timer
}

func newIdleConnections(limit func() time.Duration) *idleConnections {
	return &idleConnections{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// connState is the hook http.Server.ConnState.
func (i *idleConnections) connState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateIdle:
		if t := i.timers[c]; t != nil {
			t.Reset(i.limit())
			return
		}
		// A request that arrives during the close is lost, but it was sent later than the
		// published idle timeout allows.
		i.timers[c] = time.AfterFunc(i.limit(), func() { _ = c.Close() })
	case http.StateActive:
		if t := i.timers[c]; t != nil {
			t.Stop()
		}
	case http.StateClosed, http.StateHijacked:
		if t := i.timers[c]; t != nil {
			t.Stop()
			delete(i.timers, c)
		}
	}
}
