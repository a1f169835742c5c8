package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store, or its deletion.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created"`
	Lease   int    `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store").
type store struct {
	ip     string
	server *http.Server

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// expiry holds when the entries of servers lapse.
	expiry map[string]time.Time
	// silent are the addresses at which calls get no answer. Each instance has an address of its
	// own, so that the store can turn one away.
	silent map[string]bool
	// down makes the store answer every read with 503 and do nothing. Writes fail too.
	down bool
}

func startStore(ip string) *store {
	s := &store{items: map[string]item{}, expiry: map[string]time.Time{}, silent: map[string]bool{}, revision: 100, changed: make(chan struct{})}
	s.ip = ip
	s.server = &http.Server{Handler: s}
	go s.expire()
	return s
}

// newAddress returns a further address of the store.
func (s *store) newAddress() string {
	l := listen(s.ip)
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().String()
}

// setSilent starts or ends a time in which calls at an address get no answer. Calls that arrive
// in it never get one.
func (s *store) setSilent(address string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[address] = silent
	s.wake()
}

// isSilent reports whether a call gets no answer.
func (s *store) isSilent(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	return ok && s.silent[local.String()]
}

// expire removes the entries of servers that were silent for three heartbeats.
func (s *store) expire() {
	for now := range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		var lapsed []string
		for key, at := range s.expiry {
			if now.After(at) && !s.down {
				lapsed = append(lapsed, key)
			}
		}
		s.mu.Unlock()
		for _, key := range lapsed {
			s.remove(key)
		}
	}
}

// putLate does a write after a delay. The writer gets no answer.
func (s *store) putLate(key string, value any, delay time.Duration) {
	time.AfterFunc(delay, func() {
		recordLine("%s the store does the late write of %s: %v", seconds(time.Now()), key, value)
		s.put(key, value)
	})
}

func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// setDown starts or ends an outage: every call is answered with 503.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item. It reports false if the store is down.
func (s *store) put(key string, value any) bool {
	raw, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	return s.write(item{Key: key, Value: raw})
}

func (s *store) remove(key string) bool { return s.write(item{Key: key, Deleted: true}) }

func (s *store) write(i item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	i.Rev, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	delete(s.expiry, i.Key)
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		if strings.HasPrefix(i.Key, "servers/") {
			s.expiry[i.Key] = time.Now().Add(3 * heartbeat)
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.wake()
	return true
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent(r) {
		<-r.Context().Done()
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-key":
		s.serveKey(w, query.Get("key"))
	case "/v1/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/v1/kv-watch":
		after, err := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
		if err != nil || waitErr != nil || wait > 30000 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	down := s.down
	s.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		answerJSON(w, i)
	}
}

const storePageItems = 500

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > storePageItems
	if more {
		keys = keys[:storePageItems]
	}
	items := []item{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	answerJSON(w, map[string]any{"items": items, "more_pages": more, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if s.isSilent(r) {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 || expired {
			answerJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
