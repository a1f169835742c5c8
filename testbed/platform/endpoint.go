package platform

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// defaultWait and maxWait are the limits that Consul documents for
	// blocking queries.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	// servicePrefix is the key prefix under which the store holds instance
	// lists.
	servicePrefix = "service/"
)

// endpoint is one address that serves reads of the published values and of the
// instance lists. mu guards the fields below it.
type endpoint struct {
	store *store

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}   // closed and replaced when faults change
	faultChanges  uint64          // number of calls of setFaults
	staleItems    map[string]item // copy of the store from when Stale was last set
	counts        Counts
}

// Faults configures the faults of one endpoint.
type Faults struct {
	// Down closes the connection of each read without an answer, including
	// blocking queries that are waiting.
	Down bool `json:"down"`
	// Stale makes reads return the values as they were when Stale was set.
	Stale bool `json:"stale"`
	// Own holds values that override the shared values on this endpoint, by
	// key.
	Own map[string]string `json:"own,omitempty"`
	// ListDelayMs is the delay of each answer with an instance list, in
	// milliseconds.
	ListDelayMs int `json:"list_delay_ms"`
}

// Counts counts the reads of one endpoint. A blocking query is one read.
type Counts struct {
	KV     int `json:"kv"`
	Health int `json:"health"`
	Broken int `json:"broken"` // reads of either kind that ended without an answer
}

func newEndpoint(s *store) *endpoint {
	return &endpoint{store: s, faultsChanged: make(chan struct{})}
}

// setFaults replaces the faults and makes blocking queries read again.
func (e *endpoint) setFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Stale && !e.faults.Stale {
		e.store.mu.Lock()
		e.staleItems = make(map[string]item, len(e.store.items))
		for key, it := range e.store.items {
			e.staleItems[key] = it
		}
		e.store.mu.Unlock()
	}
	e.faults = f
	e.faultChanges++
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
}

// currentFaults returns the faults and a channel that is closed when they
// change.
func (e *endpoint) currentFaults() (Faults, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.faultsChanged
}

// lookup returns the item of a key as altered by the faults, whether it exists,
// and a channel that is closed when the store changes. The channel is nil while
// the endpoint is stale.
func (e *endpoint) lookup(key string) (item, bool, <-chan struct{}) {
	it, ok, changed := e.store.get(key)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Stale {
		it, ok = e.staleItems[key]
		changed = nil
	}
	if ownValue, overridden := e.faults.Own[key]; overridden {
		// The index of an overriding value rises with each change of the
		// faults, so that a blocking query returns. When the fault ends, the
		// index falls back to the shared one, as Consul's does after a restore.
		it, ok = item{value: []byte(ownValue), index: it.index + e.faultChanges}, true
	}
	return it, ok, changed
}

// read executes a blocking query. It returns the item, whether the key exists,
// and false as the last result if the endpoint is down or the client has
// disconnected.
func (e *endpoint) read(r *http.Request, key string) (item, bool, bool) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	deadline := time.Now().Add(waitParameter(r))
	for {
		faults, changed := e.currentFaults()
		if faults.Down {
			return item{}, false, false
		}
		ctx, cancel := context.WithCancel(r.Context())
		go func() {
			select {
			case <-changed:
				cancel()
			case <-ctx.Done():
			}
		}()
		it, found := waitForChange(ctx, index, time.Until(deadline), func() (item, bool, <-chan struct{}) { return e.lookup(key) })
		interrupted := ctx.Err() != nil
		cancel()
		if r.Context().Err() != nil {
			return item{}, false, false
		}
		if !interrupted || !time.Now().Before(deadline) {
			faults, _ = e.currentFaults()
			return it, found, !faults.Down
		}
	}
}

// waitParameter returns the time that a blocking query may wait, from the query
// parameter wait.
func waitParameter(r *http.Request) time.Duration {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		return defaultWait
	}
	return min(wait, maxWait)
}

func (e *endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", e.serveKV)
	mux.HandleFunc("GET /v1/health/service/{name}", e.serveHealth)
	return mux
}

// withCounts calls f with the counts while it holds the lock.
func (e *endpoint) withCounts(f func(*Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.counts)
}

func (e *endpoint) serveKV(w http.ResponseWriter, r *http.Request) {
	e.withCounts(func(c *Counts) { c.KV++ })
	key := r.PathValue("key")
	it, found, ok := e.read(r, key)
	if !ok {
		e.abortRead()
	}
	setConsulHeaders(w, it.index)
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Query().Has("raw"):
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(it.value) // fails if the client closed the connection
	default:
		writeJSON(w, []kvEntry{{
			Key: key, Value: base64.StdEncoding.EncodeToString(it.value),
			CreateIndex: it.index, ModifyIndex: it.index,
		}})
	}
}

func (e *endpoint) serveHealth(w http.ResponseWriter, r *http.Request) {
	e.withCounts(func(c *Counts) { c.Health++ })
	it, found, ok := e.read(r, servicePrefix+r.PathValue("name"))
	if !ok {
		e.abortRead()
	}
	if faults, _ := e.currentFaults(); faults.ListDelayMs > 0 {
		time.Sleep(time.Duration(faults.ListDelayMs) * time.Millisecond)
	}
	setConsulHeaders(w, it.index)
	var instances []Instance
	if found {
		if err := json.Unmarshal(it.value, &instances); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	entries := make([]serviceEntry, 0, len(instances))
	for _, in := range instances {
		entries = append(entries, in.entry(r.PathValue("name")))
	}
	writeJSON(w, entries)
}

// abortRead counts a broken read and closes its connection without an answer.
func (e *endpoint) abortRead() {
	e.withCounts(func(c *Counts) { c.Broken++ })
	panic(http.ErrAbortHandler)
}

func setConsulHeaders(w http.ResponseWriter, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	w.Header().Set("X-Consul-KnownLeader", "true")
	w.Header().Set("X-Consul-LastContact", "0")
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails if the client closed the connection
}

// kvEntry is one value in the JSON answer from Consul to a KV read without the
// parameter raw.
type kvEntry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       string
	CreateIndex uint64
	ModifyIndex uint64
}

// Instance is one entry of the instance list, as published on the control
// endpoint.
type Instance struct {
	ID string `json:"id"`
	// Address is the IP address and port of the gRPC listener.
	Address string `json:"address"`
	Place   string `json:"place"`
	Leaving bool   `json:"leaving,omitempty"`
}

// serviceEntry is one instance of a service in the JSON answer from Consul's
// health endpoint.
type serviceEntry struct {
	Node    nodeEntry
	Service service
	Checks  []check
}

type nodeEntry struct {
	ID         string
	Node       string
	Address    string
	Datacenter string
}

type service struct {
	ID      string
	Service string
	Tags    []string
	Address string
	Port    int
	Meta    map[string]string
}

type check struct {
	CheckID string
	Status  string
}

// entry returns the instance as an entry in the answer from Consul's health
// endpoint for the given service.
func (in Instance) entry(serviceName string) serviceEntry {
	host, portText, _ := splitAddress(in.Address)
	port, _ := strconv.Atoi(portText)
	return serviceEntry{
		Node: nodeEntry{ID: in.ID, Node: in.ID, Address: host, Datacenter: in.Place},
		Service: service{
			ID: in.ID, Service: serviceName, Tags: []string{}, Address: host, Port: port,
			Meta: map[string]string{"place": in.Place, "leaving": strconv.FormatBool(in.Leaving)},
		},
		Checks: []check{{CheckID: "service:" + in.ID, Status: "passing"}},
	}
}

// splitAddress splits an address at its last colon and removes the brackets of
// an IPv6 address. ok is false if there is no colon.
func splitAddress(address string) (host, port string, ok bool) {
	i := strings.LastIndexByte(address, ':')
	if i < 0 {
		return address, "", false
	}
	return strings.Trim(address[:i], "[]"), address[i+1:], true
}
