package backend

import (
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"galenadyke.dev/core/model"
)

const (
	// dialTimeout bounds a connect. The slowest published connect time is 6 ms;
	// a lost SYN is sent again after 1 s.
	dialTimeout = 3 * time.Second
	// idleTimeout keeps connections open over pauses in the load. Probes keep
	// one open in any case.
	idleTimeout = 90 * time.Second
	// writeBuffer holds the headers and the largest default body, so that a
	// request is one write.
	writeBuffer = 68 << 10
	readBuffer  = 16 << 10
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 64 << 10
	// defaultConnections is used for a target that no set has named yet.
	defaultConnections = 4
)

// target is one target with its own connections.
type target struct {
	address     string
	connections int
	transport   *http.Transport
	search      *url.URL
	book        *url.URL
	health      *url.URL
	// warm is true once connections have been opened ahead of work.
	warm bool
}

func newTarget(address string, connections int, d *dialer) *target {
	at := func(path string) *url.URL {
		return &url.URL{Scheme: "http", Host: address, Path: path}
	}
	return &target{
		address:     address,
		connections: connections,
		transport: &http.Transport{
			DialContext:            d.dial,
			MaxConnsPerHost:        connections,
			MaxIdleConns:           connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			WriteBufferSize:        writeBuffer,
			ReadBufferSize:         readBuffer,
			// A protocol upgrade would share a connection between requests.
			Protocols: http1Only(),
		},
		search: at("/v1/search"),
		book:   at("/v1/book"),
		health: at("/v1/health"),
	}
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// targets is the table of targets. Its lock is held for map operations only.
type targets struct {
	mu     sync.Mutex
	byID   map[model.TargetID]*target
	limits map[model.TargetID]published // of the latest set
	dialer *dialer
}

// published is what the set says about a target.
type published struct {
	address     string
	connections int
	slots       int
}

func newTargets(opened func()) *targets {
	return &targets{
		byID:   make(map[model.TargetID]*target),
		limits: make(map[model.TargetID]published),
		dialer: &dialer{net: net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}, opened: opened},
	}
}

// get returns the target at the address, with the connection limit of the set.
// A target that has moved or whose limit has changed gets a new transport; the
// old one closes its connections as they become idle.
func (t *targets) get(id model.TargetID, address string) *target {
	t.mu.Lock()
	defer t.mu.Unlock()
	connections := defaultConnections
	if p, ok := t.limits[id]; ok && p.address == address {
		connections = p.connections
	}
	old := t.byID[id]
	if old != nil && old.address == address && old.connections == connections {
		return old
	}
	fresh := newTarget(address, connections, t.dialer)
	t.byID[id] = fresh
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	return fresh
}

// claimWarmUp returns the number of connections that a target which has answered
// its first probe should have: one for each slot. It is 0 if they were opened
// before.
func (t *targets) claimWarmUp(id model.TargetID, tg *target) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tg.warm {
		return 0
	}
	tg.warm = true
	return min(t.limits[id].slots, tg.connections)
}

// cool lets the connections be opened ahead of work again, after a failure.
func (t *targets) cool(tg *target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tg.warm = false
}

// apply takes over the limits of a set and retires targets that it lacks.
func (t *targets) apply(limits map[model.TargetID]published) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
	for id, tg := range t.byID {
		if _, ok := limits[id]; !ok {
			delete(t.byID, id)
			tg.transport.CloseIdleConnections()
		}
	}
}

func (t *targets) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tg := range t.byID {
		tg.transport.CloseIdleConnections()
	}
}
