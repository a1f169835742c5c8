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
	// dialTimeout bounds a connect. The slowest published connect time is 6 ms, and
	// a lost SYN is retransmitted after 1 s.
	dialTimeout = 3 * time.Second
	// idleTimeout is the time after which an idle connection is closed. It exceeds
	// pauses in the load. The probes always keep one connection open.
	idleTimeout = 90 * time.Second
	// writeBufferBytes has room for the headers and the largest body under the
	// default limits, so that a request is a single write.
	writeBufferBytes = 68 << 10
	readBufferBytes  = 16 << 10
	// maxHeaderBytes bounds the headers of a response.
	maxHeaderBytes = 64 << 10
	// defaultConnections is the connection limit of a target that the set in force
	// does not list at its address.
	defaultConnections = 4
)

// target is a target at one address, with its own connections.
type target struct {
	address     string
	connections int
	transport   *http.Transport
	search      *url.URL
	book        *url.URL
	health      *url.URL
	// warmedUp is true once opening connections ahead of work has been started, until
	// the next failure.
	warmedUp bool
}

func newTarget(address string, connections int, d *dialer) *target {
	endpoint := func(path string) *url.URL {
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
			WriteBufferSize:        writeBufferBytes,
			ReadBufferSize:         readBufferBytes,
			// A protocol upgrade would share a connection between requests.
			Protocols: http1Only(),
		},
		search: endpoint("/v1/search"),
		book:   endpoint("/v1/book"),
		health: endpoint("/v1/health"),
	}
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// targetTable holds the targets in use. Its lock is held for map operations only.
type targetTable struct {
	mu     sync.Mutex
	byID   map[model.TargetID]*target
	limits map[model.TargetID]targetLimits // from the set in force
	dialer *dialer
}

// targetLimits is the address of a target in the set, with its limits.
type targetLimits struct {
	address     string
	connections int
	slots       int
}

func newTargetTable(opened func()) *targetTable {
	return &targetTable{
		byID:   make(map[model.TargetID]*target),
		limits: make(map[model.TargetID]targetLimits),
		dialer: &dialer{net: net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}, opened: opened},
	}
}

// get returns the target at the address, with the connection limit of the set. If
// the address or the limit has changed, the target gets a new transport, and the
// old transport closes its idle connections.
func (t *targetTable) get(id model.TargetID, address string) *target {
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
	replacement := newTarget(address, connections, t.dialer)
	t.byID[id] = replacement
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	return replacement
}

// claimWarmUp returns the number of connections to open for a target that has
// answered a probe: one for each slot, up to the connection limit. It returns 0 for
// each further call until resetWarmUp.
func (t *targetTable) claimWarmUp(id model.TargetID, tgt *target) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tgt.warmedUp {
		return 0
	}
	tgt.warmedUp = true
	return min(t.limits[id].slots, tgt.connections)
}

// resetWarmUp lets claimWarmUp return connections again, after a failure of the target.
func (t *targetTable) resetWarmUp(tgt *target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tgt.warmedUp = false
}

// apply adopts the limits of a set and removes the targets that the set lacks.
func (t *targetTable) apply(limits map[model.TargetID]targetLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
	for id, tgt := range t.byID {
		if _, ok := limits[id]; !ok {
			delete(t.byID, id)
			tgt.transport.CloseIdleConnections()
		}
	}
}

func (t *targetTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tgt := range t.byID {
		tgt.transport.CloseIdleConnections()
	}
}
