package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	at     time.Time
	id     string
	status int    // of the answer, 0 if none was sent yet
	sender string // the instance that sent it, if the case follows senders
}

// server is a stand-in of a server of a service (PROTOCOL.md, "Servers").
type server struct {
	id, service, zone string
	slots             int
	work              time.Duration
	born              int64
	store             *store
	address           string
	listener          net.Listener
	http              *http.Server
	running           chan struct{} // one element for each slot in use

	mu  sync.Mutex
	seq int
	// The server is cold from coldFrom to coldUntil.
	coldFrom, coldUntil time.Time
	runs                []run
	// answer decides the status of a request that has run; nil means 200.
	answer func(id string) int
	// crashRate is the number of requests in one second at which the server crashes while it
	// is cold, 0 for none. crashes counts the crashes.
	crashRate int
	crashes   int
	downUntil time.Time
	// left is set once the server has left the store, stopped once it has ended.
	left, stopped bool
	// lateBy returns how late the store does a write, 0 for at once; nil means always at once.
	lateBy func() time.Duration
	conns  map[net.Conn]bool
	// sender returns the instance that opened a connection; nil if the case doesn't ask.
	sender func(net.Conn) string
	// records is the body of the answers if it is not empty.
	records string
}

func startServer(ip, id, service, zone string, slots int, work time.Duration, st *store) *server {
	s := &server{id: id, service: service, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli(), store: st,
		listener: listen(ip), running: make(chan struct{}, slots), conns: map[net.Conn]bool{}}
	s.address = s.listener.Addr().String()
	s.http = &http.Server{Handler: s, ConnState: s.connState, ConnContext: s.connContext}
	go func() { _ = s.http.Serve(s.listener) }()
	s.report()
	go s.heartbeats()
	return s
}

// senderKey is the context key of the instance that opened a connection.
type senderKey struct{}

func (s *server) connContext(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	f := s.sender
	s.mu.Unlock()
	if f == nil {
		return ctx
	}
	return context.WithValue(ctx, senderKey{}, f(c))
}

func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

const heartbeat = 1200 * time.Millisecond

func (s *server) heartbeats() {
	for range time.Tick(heartbeat) {
		s.mu.Lock()
		over := s.stopped || s.left
		s.mu.Unlock()
		if over {
			return
		}
		s.report()
	}
}

// report writes the server's entry to the store. It reports whether the store took it.
func (s *server) report() bool {
	s.mu.Lock()
	s.seq++
	entry := map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "warmup_left_ms": s.warmupLeft(time.Now()).Milliseconds(), "seq": s.seq, "born": s.born}
	lateBy := s.lateBy
	s.mu.Unlock()
	if lateBy != nil {
		if late := lateBy(); late > 0 {
			recordLine("%s the answer to the write of servers/%s is lost, seq %d", seconds(time.Now()), s.id, s.seq)
			s.store.putLate("servers/"+s.id, entry, late)
			return false
		}
	}
	return s.store.put("servers/"+s.id, entry)
}

// leave removes the server's entry from the store. The server goes on serving.
func (s *server) leave() bool {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	return s.store.remove("servers/" + s.id)
}

// warmupLeft returns how much longer the server is cold. The caller holds mu.
func (s *server) warmupLeft(now time.Time) time.Duration { return max(0, s.coldUntil.Sub(now)) }

// becomeCold makes the server cold, and reports it to the store at once.
func (s *server) becomeCold(d time.Duration) bool {
	s.mu.Lock()
	s.coldFrom = time.Now()
	s.coldUntil = s.coldFrom.Add(d)
	s.mu.Unlock()
	return s.report()
}

func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.http.Close()
}

func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.mu.Lock()
	down, left := now.Before(s.downUntil), s.warmupLeft(now)
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler) // the process is down
	}
	w.Header().Set("Galenadyke-Instance-Id", s.id)
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		w.Header().Set("Galenadyke-Warmup-Ms", fmt.Sprint(left.Milliseconds()))
		return
	}
	id := r.Header.Get("Galenadyke-Attempt-Id")
	w.Header().Set("Galenadyke-Attempt-Id", id)
	if expect := r.Header.Get("Galenadyke-Expect-Instance"); expect != "" && expect != s.id {
		w.Header().Set("Galenadyke-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	index, status := s.begin(id, r)
	if index < 0 {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done(): // the caller has gone, or the server has crashed
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.runs[index].status = status
	s.mu.Unlock()
	w.Header().Set("Galenadyke-Server-Stamp", s.id+"."+id)
	w.WriteHeader(status)
	if s.records != "" {
		_, _ = io.WriteString(w, s.records)
		return
	}
	_, _ = io.WriteString(w, "done by "+s.id+"\n")
}

// begin records that the server begins to work on a request. index is -1 if it crashes.
func (s *server) begin(id string, r *http.Request) (index, status int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	sender, _ := r.Context().Value(senderKey{}).(string)
	s.runs = append(s.runs, run{at: now, id: id, sender: sender})
	if s.crashRate > 0 && now.Before(s.coldUntil) && now.After(s.downUntil) {
		recent := 0
		for i := len(s.runs) - 1; i >= 0 && now.Sub(s.runs[i].at) < time.Second && s.runs[i].at.After(s.coldFrom); i-- {
			recent++
		}
		if recent >= s.crashRate {
			s.crash(now)
			return -1, 0
		}
	}
	status = http.StatusOK
	if s.answer != nil {
		status = s.answer(id)
	}
	return len(s.runs) - 1, status
}

// crash ends all connections without an answer and refuses work for a second. The server
// returns as a new lifetime, cold again. The caller holds mu.
func (s *server) crash(now time.Time) {
	s.crashes++
	s.downUntil = now.Add(time.Second)
	s.coldFrom, s.coldUntil = s.downUntil, s.downUntil.Add(3*time.Second)
	s.born = s.downUntil.UnixMilli()
	s.seq = 0
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		go c.Close()
	}
}
