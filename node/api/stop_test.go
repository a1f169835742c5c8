package api

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/telemetry"
)

// stopTime is the time of a stop in the tests.
const stopTime = 10 * time.Second

// startServer starts a server on a listener of the loopback interface that delays each Accept
// and holds back a read at the gate. The returned function stops the server.
func startServer(t *testing.T, acceptDelay time.Duration, gate *readGate) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Metrics: telemetry.NewMetrics(), Memory: memory.NewBudget(1 << 20)}, gatedListener{l.(*net.TCPListener), acceptDelay, gate})
	ended := make(chan error, 1)
	go func() { ended <- s.Start() }()
	stop = func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTime)
		defer cancel()
		s.Stop(ctx)
		if err := <-ended; err != nil {
			t.Errorf("Start: got error %v after a stop, want nil", err)
		}
	}
	return l.Addr().String(), stop
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(2 * stopTime)); err != nil {
		t.Fatal(err)
	}
	return conn
}

const healthRequest = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"

func write(t *testing.T, conn net.Conn, bytes string) {
	t.Helper()
	if _, err := io.WriteString(conn, bytes); err != nil {
		t.Fatal(err)
	}
}

// readAnswer reads an answer and returns its status.
func readAnswer(reader *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against a request that a stop has read from a kept connection and drops.
func TestRequestReadWhileTheServerStopsIsAnswered(t *testing.T) {
	gate := &readGate{read: make(chan struct{}), open: make(chan struct{})}
	address, stop := startServer(t, 0, gate)
	conn := dial(t, address)
	reader := bufio.NewReader(conn)
	stopped := make(chan struct{})
	for i := range 2 {
		gate.armed.Store(i == 1)
		write(t, conn, healthRequest)
		if i == 1 {
			<-gate.read
			go func() { stop(); close(stopped) }()
			select {
			case <-stopped:
			case <-time.After(50 * time.Millisecond):
			}
			close(gate.open)
		}
		if status, err := readAnswer(reader); err != nil || status != http.StatusOK {
			t.Errorf("request %d: got status %d, error %v, want an answer with status 200", i, status, err)
		}
	}
	<-stopped
}

// Guards against a stop that resets connections that wait to be accepted, whose requests have
// been sent.
func TestStopAnswersRequestsThatWaitToBeAccepted(t *testing.T) {
	address, stop := startServer(t, 10*time.Millisecond, nil)
	first := dial(t, address)
	write(t, first, healthRequest)
	if _, err := readAnswer(bufio.NewReader(first)); err != nil { // the server serves
		t.Fatal(err)
	}
	conns := make([]net.Conn, 20)
	for i := range conns {
		conns[i] = dial(t, address)
		write(t, conns[i], healthRequest)
	}
	stop()
	for i, conn := range conns {
		if status, err := readAnswer(bufio.NewReader(conn)); err != nil || status != http.StatusOK {
			t.Errorf("connection %d: got status %d, error %v, want an answer with status 200", i, status, err)
		}
	}
}

// Guards against a stop that drops a request of which a part, or nothing, has arrived when it
// begins.
func TestStopAnswersRequestsThatArriveDuringIt(t *testing.T) {
	const body = `{"count":0}`
	head := fmt.Sprintf("POST /v1/booking-ids HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
	for _, c := range []struct {
		state, sent, rest string
		kept              bool // whether the connection has carried a request
	}{
		{"new, nothing sent", "", head + body, false},
		{"new, part of the head sent", head[:30], head[30:] + body, false},
		{"new, part of the body sent", head + body[:3], body[3:], false},
		{"kept, one byte sent", head[:1], head[1:] + body, true},
		{"kept, part of the head sent", head[:30], head[30:] + body, true},
		{"kept, part of the body sent", head + body[:3], body[3:], true},
	} {
		t.Run(c.state, func(t *testing.T) {
			address, stop := startServer(t, 0, nil)
			conn := dial(t, address)
			reader := bufio.NewReader(conn)
			if c.kept {
				write(t, conn, healthRequest)
				if _, err := readAnswer(reader); err != nil {
					t.Fatal(err)
				}
			}
			write(t, conn, c.sent)
			time.Sleep(20 * time.Millisecond) // the bytes are read
			stopped := make(chan struct{})
			go func() { stop(); close(stopped) }()
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(conn, c.rest) // the answer shows a failure
			if status, err := readAnswer(reader); err != nil || status != http.StatusBadRequest {
				t.Errorf("got status %d, error %v, want the answer to a count of 0, status 400", status, err)
			}
			<-stopped
		})
	}
}

// Guards against answers of a stopping server that let their callers send another call on a
// connection that the stop closes.
func TestAnswersOfAStoppingServerAnnounceTheClose(t *testing.T) {
	h := newHarness(t)
	for _, stopping := range []bool{false, true} {
		if stopping {
			h.BeginStop()
		}
		for _, path := range []string{"/healthz", "/readyz", "/v1/other"} {
			resp, _ := h.do("GET", path, "")
			if got := resp.Header.Get("Connection") == "close"; got != stopping {
				t.Errorf("%s: the answer announces the close: got %v, want %v", path, got, stopping)
			}
		}
	}
}

// Guards against a stop that waits until its end for connections that are not used.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	address, stop := startServer(t, 0, nil)
	kept := dial(t, address)
	write(t, kept, healthRequest)
	if _, err := readAnswer(bufio.NewReader(kept)); err != nil {
		t.Fatal(err)
	}
	unused := dial(t, address)
	start := time.Now()
	stop()
	if took := time.Since(start); took > stopTime/2 {
		t.Errorf("the stop took %v with an idle and an unused connection, want about 1 s", took)
	}
	for name, conn := range map[string]net.Conn{"idle": kept, "unused": unused} {
		if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%s connection: got error %v, want its close", name, err)
		}
	}
}

// Guards against a stop that hangs because the server has ended before it or never served.
func TestStopOfAServerThatDoesNotServeReturns(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Metrics: telemetry.NewMetrics(), Memory: memory.NewBudget(1 << 20)}, l.(*net.TCPListener))
	_ = l.Close()
	if err := s.Start(); err == nil {
		t.Error("Start on a closed listener: got no error")
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	s.Stop(ctx)
}

// readGate holds back the return of the first read while it is armed.
type readGate struct {
	armed      atomic.Bool
	read, open chan struct{}
}

// gatedListener delays each Accept, and returns connections that read through a gate, nil for
// none.
type gatedListener struct {
	*net.TCPListener
	acceptDelay time.Duration
	gate        *readGate
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	time.Sleep(l.acceptDelay)
	conn, err := l.TCPListener.Accept()
	if err != nil || l.gate == nil {
		return conn, err
	}
	return gatedConn{conn.(*net.TCPConn), l.gate}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate *readGate
}

// Read implements net.Conn.
func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.gate.armed.CompareAndSwap(true, false) {
		close(c.gate.read)
		<-c.gate.open
	}
	return n, err
}
