package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenadyke.dev/node/memory"
)

// Guards against bytes of a body that count as the head, and against a head whose end is
// missed because of how it is split, or taken for reached by empty lines before it.
func TestHeadIsCountedUpToItsEmptyLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := strings.Repeat("\r\n", rapid.IntRange(0, 2).Draw(t, "empty lines"))
		text := before + "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", rapid.IntRange(0, 3).Draw(t, "lines")) + "\r\n"
		all := text + rapid.StringMatching(`(body)?(\r\n){0,3}`).Draw(t, "body")
		var h head
		for rest := all; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			h.add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if h.bytes != len(text) || !h.ended || h.lines != strings.Count(text, "\n") {
			t.Fatalf("%q: got %d bytes, %d lines, ended %v, want %d bytes, all lines, ended", all, h.bytes, h.lines, h.ended, len(text))
		}
	})
}

// startLimited starts a server with limits that answers with the size of the head.
func startLimited(t *testing.T, limits Limits) (address string, connections *Connections) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections = NewConnections(headTimeout, func() time.Duration { return time.Minute })
	connections.Limits = limits
	server := &http.Server{ConnState: connections.ConnState, ConnContext: ConnContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprint(w, HeadBytes(r.Context()))
		})}
	go server.Serve(Listener{NewDrainingListener(l.(*net.TCPListener)), connections}) //nolint:errcheck // ends with the server
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), connections
}

// exchange sends a text on a new connection and reads an answer.
func exchange(t *testing.T, address, text string) (status int, header http.Header, body string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.40q: got error %v, want an answer", text, err)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(raw)
}

// Guards against heads that are read without a bound, against refusals that the caller can't
// read, and against memory of heads that is not given back.
func TestHeadsOverTheLimitsAreRefused(t *testing.T) {
	budget := memory.NewBudget(100 << 10)
	address, _ := startLimited(t, Limits{MaxHeadBytes: func() int { return 16 << 10 }, Memory: budget})
	begin := "GET / HTTP/1.1\r\nHost: h\r\n"
	if status, _, body := exchange(t, address, begin+"\r\n"); status != 200 || body != fmt.Sprint(len(begin)+2) {
		t.Errorf("a short head: got %d, %q, want 200 and its size", status, body)
	}
	if status, _, _ := exchange(t, address, begin+"X-Long: "+strings.Repeat("x", 30<<10)); status != 431 {
		t.Errorf("a long head: got %d, want 431", status)
	}
	lines := strings.Repeat("a:\r\n", 1000)
	if status, header, _ := exchange(t, address, begin+lines); status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("a head over the memory: got %d, want 503 with a Retry-After", status)
	}
	for deadline := time.Now().Add(5 * time.Second); budget.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are taken after the connections have ended, want 0", budget.Used())
		}
	}
}

// Guards against callers that keep others out by connections on which they send nothing, and
// against closing a connection whose request is being worked on.
func TestNewConnectionReplacesOneThatWaitsForItsCaller(t *testing.T) {
	now := time.Now()
	old, older := now.Add(-2*stalledAfter), now.Add(-3*stalledAfter)
	conn := func(state http.ConnState, since time.Time, change func(*Conn)) *Conn {
		c := &Conn{history: connectionHistory{State: state, enteredAt: since, openedAt: since}}
		if change != nil {
			change(c)
		}
		return c
	}
	working := conn(http.StateActive, older, func(c *Conn) { c.reading, c.requested = true, 1 })
	fresh := conn(http.StateNew, now, nil)
	idle := conn(http.StateIdle, older, nil)
	silent := conn(http.StateNew, old, nil)
	sending := conn(http.StateActive, old, func(c *Conn) { c.reading, c.requested = true, 4096 })
	notReading := conn(http.StateActive, older, func(c *Conn) { c.writingSince = old })
	for _, test := range []struct {
		name   string
		open   []*Conn
		victim *Conn
	}{
		{"all work", []*Conn{working, working}, nil},
		{"silent before idle", []*Conn{working, idle, silent}, silent},
		{"idle before fresh", []*Conn{working, idle, fresh}, idle},
		{"fresh", []*Conn{working, fresh}, fresh},
		{"sends a body", []*Conn{working, idle, sending}, sending},
		{"accepts no answer", []*Conn{working, idle, notReading}, notReading},
	} {
		server, caller := net.Pipe()
		caller.Close()
		cc := NewConnections(headTimeout, func() time.Duration { return time.Minute })
		refused := 0
		cc.Limits = Limits{MaxConnections: 1, OnRefused: func(Refusal) { refused++ }}
		for _, c := range test.open {
			c.Conn, c.connections, c.closing = server, cc, false
			if c == idle {
				cc.idle[c] = true
			} else {
				cc.busy[c] = time.Time{}
			}
		}
		admitted := cc.admit(now)
		if admitted != (test.victim != nil) || refused != 1 {
			t.Errorf("%s: got admitted %v, %d refusals", test.name, admitted, refused)
		}
		for _, c := range test.open {
			if c.closing != (c == test.victim) {
				t.Errorf("%s: connection %+v: got closing %v", test.name, c.history, c.closing)
			}
		}
	}
}

// Guards against callers that keep an answer by not reading it.
func TestWritesEndAfterTheirTimeout(t *testing.T) {
	server, caller := net.Pipe()
	defer caller.Close()
	cc := NewConnections(headTimeout, func() time.Duration { return time.Minute })
	cc.Limits.WriteTimeout = 10 * time.Millisecond
	c := &Conn{Conn: server, connections: cc}
	if _, err := c.Write([]byte("x")); err == nil {
		t.Error("got no error of a write that nobody reads, want a time-out")
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	cc.Limits.WriteTimeout = time.Minute
	if _, err := c.Write([]byte("x")); err == nil {
		t.Error("got no error of a write after a deadline in the past, want a time-out")
	}
}
