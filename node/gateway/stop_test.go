package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"galenadyke.dev/node/gateway"
	"galenadyke.dev/node/settings"
	"galenadyke.dev/platform/platformtest"
)

// stopTimeout is the setting of the instances that these tests stop. They close their
// listener after half of it.
const stopTimeout = 4 * time.Second

// startOneServer starts a store with a plain route at /p/ and one server that answers after
// the delay, and returns the URL of the store.
func startOneServer(t *testing.T, delay time.Duration) string {
	t.Helper()
	storeURL, _ := startOneServerOfType(t, "safe", 4*time.Second, delay)
	return storeURL
}

// startOneServerOfType is startOneServer with a type and a latency objective of the route. It
// returns the server too.
func startOneServerOfType(t *testing.T, routeType string, objective, delay time.Duration) (string, *platformtest.Server) {
	t.Helper()
	store := platformtest.NewStore(500)
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	s := platformtest.NewServer("s-0", "s", "ikeja", delay, []byte("0123456789abcdef"))
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	store.Put("servers/"+s.ID, s.Entry(strings.TrimPrefix(h.URL, "http://"), "ready", 1))
	store.Put("op/config", fmt.Sprintf(`{"version":1,"routes":[{"name":"p","hostname":"h","prefix":"/p/","route_type":%q,
"timeout_ms":5000,"target_latency_ms":%d,"priority":1,"service":"s","max_attempts":2}],
"services":[{"name":"s","max_connections":400}],"limits":{}}`, routeType, objective.Milliseconds()))
	return storeServer.URL, s
}

// stopGracefully stops an instance as its process does after a SIGTERM, and returns when
// the process would end.
func stopGracefully(d *gateway.Daemon) {
	d.Shutdown()
	<-d.Stopped()
	d.Close()
}

// waitReady waits until the instance answers its readiness check with success.
func waitReady(t *testing.T, s settings.Gateway) {
	t.Helper()
	for range 2000 {
		if resp, err := http.Get("http://" + s.ReadyListen + s.ReadyPath); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the instance is not ready after 10 s")
}

// exchange sends a request on a connection and reads its answer. sent is true once the whole
// request has been written.
func exchange(c net.Conn, br *bufio.Reader, id string) (resp *http.Response, sent bool, err error) {
	if _, err := fmt.Fprintf(c, "GET /p/x HTTP/1.1\r\nHost: h\r\nGalenadyke-Attempt-Id: %s\r\nGalenadyke-Deadline-Ms: 4000\r\n\r\n", id); err != nil {
		return nil, false, err
	}
	resp, err = http.ReadResponse(br, nil)
	if err != nil {
		return nil, true, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, true, err
}

// Guards against requests that a planned stop cuts off without an answer: on connections
// that are opened until the last moment, and on kept ones. Requests that cross the close of
// an idle connection don't count, as their callers know that they weren't read.
func TestPlannedStopUnderLoadAnswersAcceptedRequests(t *testing.T) {
	d, s := startDaemon(t, "front-0", "ikeja", startOneServer(t, 20*time.Millisecond), func(s *settings.Gateway) {
		s.StopTimeout = settings.Duration(stopTimeout)
	})
	waitReady(t, s)
	ended := make(chan struct{})
	var answered, cut, notConnected atomic.Int64
	var callers sync.WaitGroup
	for i := range 24 {
		keep := i%2 == 0
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				default:
				}
				c, err := net.DialTimeout("tcp", s.CallerListen, time.Second)
				if err != nil {
					notConnected.Add(1)
					time.Sleep(time.Millisecond)
					continue
				}
				br := bufio.NewReader(c)
				for first := true; first || keep; first = false {
					resp, sent, err := exchange(c, br, fmt.Sprintf("c%d-%d", i, n))
					switch {
					case err == nil && resp.StatusCode == http.StatusOK:
						answered.Add(1)
					case err == nil:
						t.Errorf("got status %d, want 200", resp.StatusCode)
					case sent && first:
						// The connection was accepted for this request.
						cut.Add(1)
					}
					if err != nil || resp.Close {
						break
					}
				}
				c.Close()
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stopGracefully(d)
	close(ended)
	callers.Wait()
	if cut.Load() > 0 || answered.Load() == 0 || notConnected.Load() == 0 {
		t.Errorf("%d requests were answered, %d cut off on new connections, %d connects refused; want none cut off, and some answered and refused",
			answered.Load(), cut.Load(), notConnected.Load())
	}
}

// Guards against a planned stop that ends while the body of a request is still arriving: the
// request is read to its end and answered.
func TestPlannedStopWaitsForABodyInProgress(t *testing.T) {
	d, s := startDaemon(t, "front-0", "ikeja", startOneServer(t, 0), func(s *settings.Gateway) {
		s.StopTimeout = settings.Duration(stopTimeout)
	})
	waitReady(t, s)
	c, err := net.Dial("tcp", s.CallerListen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	body := strings.Repeat("x", 1000)
	if _, err := fmt.Fprintf(c, "POST /p/x HTTP/1.1\r\nHost: h\r\nGalenadyke-Attempt-Id: a\r\nGalenadyke-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:500]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	d.Shutdown()
	go func() { <-d.Stopped(); d.Close() }()
	// The listener closes after half of the stop timeout; the rest comes after that, and
	// well before the requests in progress are ended.
	time.Sleep(stopTimeout/2 + 500*time.Millisecond)
	if _, err := io.WriteString(c, body[500:]); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("got no answer: %v, want one to the request that was being read", err)
	}
	defer resp.Body.Close()
	if answer, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || len(answer) != 16 {
		t.Errorf("got status %d, %d bytes, error %v, want 200 with 16 bytes", resp.StatusCode, len(answer), err)
	}
}

// Guards against bookings whose last bytes arrive late in a planned stop, and which are passed
// on although the stop cuts them off: each is answered, or refused or closed without having run.
func TestPlannedStopCutsNoBookingThatItPassedOn(t *testing.T) {
	const bookings, serverTime = 48, 1200 * time.Millisecond
	storeURL, server := startOneServerOfType(t, "unsafe", serverTime, serverTime)
	d, s := startDaemon(t, "front-0", "ikeja", storeURL, func(s *settings.Gateway) { s.StopTimeout = settings.Duration(stopTimeout) })
	waitReady(t, s)
	begin := make(chan struct{})
	var served, refused, closed atomic.Int64
	var callers sync.WaitGroup
	for i := range bookings {
		id := fmt.Sprintf("b%d", i)
		c, err := net.Dial("tcp", s.CallerListen)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(c, "POST /p/x HTTP/1.1\r\nHost: h\r\nGalenadyke-Attempt-Id: %s\r\nGalenadyke-Deadline-Ms: 15000\r\nContent-Length: 100\r\n\r\n%50d", id, 0); err != nil {
			t.Fatal(err)
		}
		callers.Go(func() {
			defer c.Close()
			<-begin
			time.Sleep(time.Duration(i) * stopTimeout / bookings)
			_, writeErr := fmt.Fprintf(c, "%50d", 0)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			switch ran := server.Executions(id); {
			case writeErr == nil && err == nil && resp.StatusCode == http.StatusOK:
				served.Add(1)
			case writeErr == nil && err == nil && resp.StatusCode == http.StatusServiceUnavailable && ran == 0:
				refused.Add(1)
			case err != nil && ran == 0:
				closed.Add(1)
			default:
				t.Errorf("booking %d: got answer %v, error %v, and it ran %d times; want it served, or not run", i, resp, err, ran)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	close(begin)
	stopGracefully(d)
	callers.Wait()
	if served.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d bookings were served, %d refused, %d closed unread; want some served and some refused", served.Load(), refused.Load(), closed.Load())
	}
	t.Logf("%d bookings were served, %d refused, %d closed unread", served.Load(), refused.Load(), closed.Load())
}

// Guards against a stop that takes longer than a reloaded stop timeout, so that the platform
// ends the process.
func TestReloadedStopTimeoutBoundsTheStop(t *testing.T) {
	d, s := startDaemon(t, "front-0", "ikeja", startOneServer(t, 0), func(s *settings.Gateway) {
		s.StopTimeout = settings.Duration(stopTimeout)
	})
	waitReady(t, s)
	c, err := net.Dial("tcp", s.CallerListen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345"); err != nil {
		t.Fatal(err)
	}
	reloaded := s
	reloaded.StopTimeout = settings.Duration(stopTimeout / 2)
	d.Reload(reloaded)
	time.Sleep(100 * time.Millisecond) // the body is being read
	start := time.Now()
	stopGracefully(d)
	if took := time.Since(start); took > stopTimeout/2 {
		t.Errorf("the stop took %v, want at most the reloaded stop timeout of %v", took, stopTimeout/2)
	}
}

// Guards against requests of other instances that a planned stop cuts off: those delegated
// to the stopping instance, and batches that it forwards. Their callers get an answer.
func TestPlannedStopAnswersOtherInstances(t *testing.T) {
	for name, places := range map[string][]string{
		"delegated": {"lekki", "lekki", "lekki", "lekki"},
		"forwarded": {"ikeja", "ikeja", "lekki", "lekki"},
	} {
		t.Run(name, func(t *testing.T) {
			storeURL := startFourShards(t, 20*time.Millisecond, places...)
			stopping, far := startDaemon(t, "front-1", "lekki", storeURL, func(s *settings.Gateway) { s.StopTimeout = settings.Duration(stopTimeout) })
			waitReady(t, far)
			_, near := startDaemon(t, "front-0", "ikeja", storeURL, func(s *settings.Gateway) { s.Seeds = []string{far.ControlListen} })
			waitReady(t, near)
			ended := make(chan struct{})
			var answered atomic.Int64
			var callers sync.WaitGroup
			for i := range 8 {
				callers.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-ended:
							return
						default:
						}
						r, _ := http.NewRequest(http.MethodGet, "http://"+near.CallerListen+"/all/x", nil)
						r.Host, r.Header = "h", http.Header{"Galenadyke-Attempt-Id": {fmt.Sprintf("c%d-%d", i, n)}}
						resp, err := http.DefaultClient.Do(r)
						if err != nil {
							t.Errorf("got error %v, want an answer", err)
							return
						}
						body, err := io.ReadAll(resp.Body)
						resp.Body.Close()
						if err != nil || resp.StatusCode != http.StatusOK {
							t.Errorf("got status %d, body %q, error %v, want 200", resp.StatusCode, body, err)
							return
						}
						answered.Add(1)
					}
				})
			}
			metricName := "gateway_" + name + `{of="success"}`
			for i := 0; metric(t, near.ControlListen, metricName) == 0; i++ {
				if i > 1000 {
					t.Fatalf("%s is 0 after 10 s, want requests at the other instance", metricName)
				}
				time.Sleep(10 * time.Millisecond)
			}
			stopGracefully(stopping)
			time.Sleep(200 * time.Millisecond)
			close(ended)
			callers.Wait()
			if answered.Load() == 0 {
				t.Error("no request was answered")
			}
		})
	}
}
