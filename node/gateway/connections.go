package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConnections follows the connections of callers. It closes those that are idle for
// longer than the limit, in place of the idle timeout of net/http, which can't change while
// a server runs, whereas operators may publish another limit at any time.
type callerConnections struct {
	limit func() time.Duration

	mu     sync.Mutex // guards the fields below; held for map operations only
	timers map[net.Conn]*time.Timer
	// busy are the connections that are not idle. The value is the time at which the
	// connection was opened until its first request has been read, and then zero.
	busy map[net.Conn]time.Time
}

func newCallerConnections(limit func() time.Duration) *callerConnections {
	return &callerConnections{limit: limit, timers: make(map[net.Conn]*time.Timer), busy: make(map[net.Conn]time.Time)}
}

// maxFreshTime is how long a stop waits for the first request on a new connection.
const maxFreshTime = time.Second

// inUse reports whether a caller is waiting for an answer, or may be sending a request.
func (cc *callerConnections) inUse() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, openedAt := range cc.busy {
		if openedAt.IsZero() || time.Since(openedAt) < maxFreshTime {
			return true
		}
	}
	return false
}

// connState is the hook http.Server.ConnState.
func (cc *callerConnections) connState(c net.Conn, state http.ConnState) {
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
	switch state {
	case http.StateIdle:
		if t := cc.timers[c]; t != nil {
			t.Reset(cc.limit())
			return
		}
		// A request that arrives during the close is lost, but it was sent later than the
		// published idle timeout allows.
		cc.timers[c] = time.AfterFunc(cc.limit(), func() { _ = c.Close() })
	case http.StateActive:
		if t := cc.timers[c]; t != nil {
			t.Stop()
		}
	case http.StateClosed, http.StateHijacked:
		if t := cc.timers[c]; t != nil {
			t.Stop()
			delete(cc.timers, c)
		}
	}
}
