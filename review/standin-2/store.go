package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store, or the deletion of one.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// pageItems is the number of items in a page of kv-range.
const pageItems = 500

// maxWatch is the longest wait of a watch.
const maxWatch = 30 * time.Second

// store is a stand-in of the platform's store, by PROTOCOL.md.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 100, changed: make(chan struct{})}
}

// put writes an item, or deletes it if value is nil.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Rev: s.revision, Created: s.revision, Deleted: value == nil}
	if old, ok := s.items[key]; ok && !it.Deleted {
		it.Created = old.Created
	}
	if it.Deleted {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// putEntry writes a server's report. The entry changes only if more than its seq does.
func (s *store) putEntry(key string, value []byte) (changed bool) {
	s.mu.Lock()
	old, exists := s.items[key]
	s.mu.Unlock()
	if exists && bytes.Equal(withoutSeq(old.Value), withoutSeq(value)) {
		return false
	}
	s.put(key, value)
	return true
}

// withoutSeq returns an entry without its seq, or the value itself if it is no entry.
func withoutSeq(value []byte) []byte {
	var fields map[string]any
	if json.Unmarshal(value, &fields) != nil {
		return value
	}
	delete(fields, "seq")
	raw, err := json.Marshal(fields)
	if err != nil {
		return value
	}
	return raw
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/kv-key":
		s.serveKey(w, r)
	case "/v1/kv-range":
		s.serveRange(w, r)
	case "/v1/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{it, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	out := struct {
		Items         []item `json:"items"`
		MorePages     bool   `json:"more_pages"`
		StoreRevision uint64 `json:"store_revision"`
	}{Items: []item{}}
	s.mu.Lock()
	out.StoreRevision = s.revision
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > pageItems {
		keys, out.MorePages = keys[:pageItems], true
	}
	for _, key := range keys {
		out.Items = append(out.Items, s.items[key])
	}
	s.mu.Unlock()
	writeJSON(w, out)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxWatch, time.Duration(waitMS)*time.Millisecond))
	defer timer.Stop()
	for expired := false; ; {
		out := struct {
			Events        []item `json:"events"`
			StoreRevision uint64 `json:"store_revision"`
		}{Events: []item{}}
		s.mu.Lock()
		changed := s.changed
		out.StoreRevision = s.revision
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				out.Events = append(out.Events, it)
			}
		}
		s.mu.Unlock()
		if len(out.Events) > 0 || expired {
			writeJSON(w, out)
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a failed write means that the caller has left
}
