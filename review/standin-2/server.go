package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of a server of a service, by PROTOCOL.md.
type server struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	address           string
	rec               *record

	slot chan struct{} // one element for each running request

	mu      sync.Mutex
	waiting int
	seq     int
	// ran counts the runs of each attempt, arrivedAt has the time of the last arrival.
	ran       map[string]int
	arrivedAt map[string]time.Time
	// leaving is set once the server leaves, and stated in all its answers.
	leaving bool
	http    *http.Server
}

// listen starts the server on a free port of the IP address.
func (s *server) listen(ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	s.address, s.slot, s.ran = l.Addr().String(), make(chan struct{}, s.slots), make(map[string]int)
	s.arrivedAt = make(map[string]time.Time)
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l) //nolint:errcheck // ends with the server
	return nil
}

// leave makes the server state in all its answers that it leaves.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// exit ends the server: its connections are closed and further ones refused.
func (s *server) exit() { _ = s.http.Close() }

// entry returns the server's next entry in the store.
func (s *server) entry(state string, born time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	raw, err := json.Marshal(map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1",
		"slots": s.slots, "state": state, "warmup_left_ms": 0, "seq": s.seq, "born": born.UnixMilli()})
	if err != nil {
		panic(err) // cannot fail: plain values only
	}
	return raw
}

// runs returns how often an attempt ran here.
func (s *server) runs(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[attempt]
}

// arrivals returns the time of the last arrival of each attempt.
func (s *server) arrivals() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.arrivedAt)
}

// acquire waits for a slot. It reports false if the queue is full or the caller leaves.
func (s *server) acquire(r *http.Request) bool {
	s.mu.Lock()
	if s.waiting >= s.queue+s.slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slot <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(s.slot), s.waiting, s.slots)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Galenadyke-Attempt-Id")
	h := w.Header()
	s.mu.Lock()
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	h.Set("Galenadyke-Instance-Id", s.id)
	h.Set("Galenadyke-Server-Load", s.load())
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if id != "" {
		h.Set("Galenadyke-Attempt-Id", id)
	}
	refuse := func(status int) {
		h.Set("Galenadyke-Not-Executed", "1")
		w.WriteHeader(status)
		s.rec.add("server %s attempt %s not run, status %d with Galenadyke-Not-Executed", s.id, id, status)
	}
	if expect := r.Header.Get("Galenadyke-Expect-Instance"); expect != "" && expect != s.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrivedAt[id] = time.Now()
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller has left
	}
	if !s.acquire(r) {
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slot }()
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.rec.add("server %s attempt %s runs", s.id, id)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.rec.add("server %s attempt %s dropped, its connection was closed", s.id, id)
		panic(http.ErrAbortHandler)
	}
	sum := sha256.Sum256([]byte(s.id + "/" + id))
	h.Set("Galenadyke-Server-Stamp", s.id+"."+hex.EncodeToString(sum[:4]))
	s.mu.Lock()
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	_, _ = fmt.Fprintf(w, "done %s %s", id, body)
}
