package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections closes connections of callers that wait too long for their
// next request. The limit of net/http can't be changed while a server runs;
// this one follows what is published.
type idleConnections struct {
	limit func() time.Duration

	mu     sync.Mutex // guards timers; held for map operations only
	timers map[net.Conn]*time.Timer
}

func newIdleConnections(limit func() time.Duration) *idleConnections {
	return &idleConnections{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// connState implements the hook http.Server.ConnState.
func (i *idleConnections) connState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateIdle:
		if t := i.timers[c]; t != nil {
			t.Reset(i.limit())
			return
		}
		// A request that meets the close was sent after the published time.
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
