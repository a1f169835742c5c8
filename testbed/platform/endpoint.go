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
	// servicePrefix separates the instance lists from the KV store's keys.
	servicePrefix = "service/"
)

// endpoint is one address of the service. mu guards all fields below it.
type endpoint struct {
	store *store

	mu        sync.Mutex
	faults    Faults
	recovered chan struct{} // closed when faults change
	changes   uint64        // of the faults
	frozen    map[string]item
	counts    Counts
}

// Faults are the faults of one endpoint.
type Faults struct {
	// Down breaks the connection of each read, waiting ones included.
	Down bool `json:"down"`
	// Stale answers with the values of the time when it was set.
	Stale bool `json:"stale"`
	// Own answers with these values instead of the shared ones, by key.
	Own map[string]string `json:"own,omitempty"`
	// ListDelayMs delays each answer of the instance list.
	ListDelayMs int `json:"list_delay_ms"`
}

// Counts counts the reads of one endpoint. A blocking query is one read.
type Counts struct {
	KV     int `json:"kv"`
	Health int `json:"health"`
	Broken int `json:"broken"` // of both, ended by Down
}

func newEndpoint(s *store) *endpoint {
	return &endpoint{store: s, recovered: make(chan struct{})}
}

// setFaults replaces the faults and makes blocking queries look again.
func (e *endpoint) setFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Stale && !e.faults.Stale {
		e.store.mu.Lock()
		e.frozen = make(map[string]item, len(e.store.items))
		for key, it := range e.store.items {
			e.frozen[key] = it
		}
		e.store.mu.Unlock()
	}
	e.faults = f
	e.changes++
	close(e.recovered)
	e.recovered = make(chan struct{})
}

func (e *endpoint) state() (Faults, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.recovered
}

// look reads a key under the faults.
func (e *endpoint) look(key string) (item, bool, <-chan struct{}) {
	it, ok, changed := e.store.get(key)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Stale {
		it, ok = e.frozen[key]
		changed = nil
	}
	if own, has := e.faults.Own[key]; has {
		// A value of its own gets an index that rises with each change of the
		// faults, so that a watch sees it. It falls back to the shared index
		// with the end of the fault, as Consul's does after a restore.
		it, ok = item{value: []byte(own), index: it.index + e.changes}, true
	}
	return it, ok, changed
}

// read answers a blocking query, false if the endpoint is down.
func (e *endpoint) read(r *http.Request, key string) (item, bool, bool) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	ends := time.Now().Add(waitOf(r))
	for {
		faults, changed := e.state()
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
		it, found := watch(ctx, index, time.Until(ends), func() (item, bool, <-chan struct{}) { return e.look(key) })
		interrupted := ctx.Err() != nil
		cancel()
		if r.Context().Err() != nil {
			return item{}, false, false
		}
		if !interrupted || !time.Now().Before(ends) {
			faults, _ = e.state()
			return it, found, !faults.Down
		}
	}
}

func waitOf(r *http.Request) time.Duration {
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

func (e *endpoint) count(f func(*Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.counts)
}

func (e *endpoint) serveKV(w http.ResponseWriter, r *http.Request) {
	e.count(func(c *Counts) { c.KV++ })
	key := r.PathValue("key")
	it, found, ok := e.read(r, key)
	if !ok {
		e.breakOff()
	}
	setIndex(w, it.index)
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Query().Has("raw"):
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(it.value) // the reader may have gone
	default:
		writeJSON(w, []kvEntry{{
			Key: key, Value: base64.StdEncoding.EncodeToString(it.value),
			CreateIndex: it.index, ModifyIndex: it.index,
		}})
	}
}

func (e *endpoint) serveHealth(w http.ResponseWriter, r *http.Request) {
	e.count(func(c *Counts) { c.Health++ })
	it, found, ok := e.read(r, servicePrefix+r.PathValue("name"))
	if !ok {
		e.breakOff()
	}
	if faults, _ := e.state(); faults.ListDelayMs > 0 {
		time.Sleep(time.Duration(faults.ListDelayMs) * time.Millisecond)
	}
	setIndex(w, it.index)
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

// breakOff ends a read without an answer.
func (e *endpoint) breakOff() {
	e.count(func(c *Counts) { c.Broken++ })
	panic(http.ErrAbortHandler)
}

func setIndex(w http.ResponseWriter, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	w.Header().Set("X-Consul-KnownLeader", "true")
	w.Header().Set("X-Consul-LastContact", "0")
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the reader may have gone
}

// kvEntry is Consul's form of a value that is read without raw.
type kvEntry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       string
	CreateIndex uint64
	ModifyIndex uint64
}

// Instance is one entry of the instance list.
type Instance struct {
	ID string `json:"id"`
	// Address is the IP address and port of the gRPC listener.
	Address string `json:"address"`
	Place   string `json:"place"`
	Leaving bool   `json:"leaving,omitempty"`
}

// serviceEntry is Consul's form of one instance of a service.
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

// entry returns Consul's form.
func (in Instance) entry(name string) serviceEntry {
	host, portText, _ := cutAddress(in.Address)
	port, _ := strconv.Atoi(portText)
	return serviceEntry{
		Node: nodeEntry{ID: in.ID, Node: in.ID, Address: host, Datacenter: in.Place},
		Service: service{
			ID: in.ID, Service: name, Tags: []string{}, Address: host, Port: port,
			Meta: map[string]string{"place": in.Place, "leaving": strconv.FormatBool(in.Leaving)},
		},
		Checks: []check{{CheckID: "service:" + in.ID, Status: "passing"}},
	}
}

func cutAddress(address string) (host, port string, ok bool) {
	i := strings.LastIndexByte(address, ':')
	if i < 0 {
		return address, "", false
	}
	return strings.Trim(address[:i], "[]"), address[i+1:], true
}
