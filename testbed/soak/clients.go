package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// report collects violated guarantees and counts requests. It may be used by
// several goroutines.
type report struct {
	mu         sync.Mutex // guards violations
	violations []string
	sent       atomic.Int64
	served     atomic.Int64 // with status 200
}

func (r *report) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// caller sends requests to one instance over persistent connections.
type caller struct {
	deployment *deployment
	in         *instance
	report     *report
	client     *http.Client
	name       string
	requests   int // number of requests sent
	// incarnation is the incarnation of the instance at the latest answer from a
	// plain service; plainIndex is the highest N of the services plainN that have
	// answered in that incarnation.
	incarnation, plainIndex int
	// unsafeAnswers holds the answers to requests that may run only once, by
	// request id.
	unsafeAnswers map[string]answer
	// failedAtStop holds the ids of the requests that ended with an error or
	// status 503 while their instance stopped gracefully.
	failedAtStop []string
	// undisturbed is set while no fault is active: each request must be answered.
	undisturbed *atomic.Bool
}

// answer is the status of a response, or the error if there was no response.
type answer struct {
	status int
	err    error
}

// requestTimeout is the deadline that callers send with a request. They wait
// 300 ms longer for the answer.
const requestTimeout = 1200 * time.Millisecond

func newCaller(d *deployment, in *instance, number int, r *report, undisturbed *atomic.Bool) *caller {
	return &caller{deployment: d, in: in, report: r, undisturbed: undisturbed, name: fmt.Sprintf("c%d", number), unsafeAnswers: make(map[string]answer),
		client: &http.Client{Timeout: requestTimeout + 300*time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}}
}

// run sends requests one after the other until ctx ends. Every third request may
// run only once.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.requests++
		if c.requests%3 == 0 {
			c.sendUnsafe()
		} else {
			c.sendGather()
		}
		time.Sleep(15 * time.Millisecond)
	}
}

// send sends one request and returns the response and its body. With an error,
// the response is nil unless only reading the body failed.
func (c *caller) send(method, path, id string, body string) (*http.Response, []byte, error) {
	// MultiReader hides the type of the reader, so that the client cannot rewind
	// the body and repeat the request.
	req, err := http.NewRequest(method, "http://"+c.in.ip+":8000"+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return nil, nil, err
	}
	req.ContentLength = int64(len(body))
	req.Host = host
	req.Header.Set("Galenadyke-Attempt-Id", id)
	req.Header.Set("Galenadyke-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	c.report.sent.Add(1)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return resp, content, err
}

// sendGather sends a request to all shards. It checks the coverage of the answer
// and compares the body with the records of the servers named in its stamps.
func (c *caller) sendGather() {
	id := fmt.Sprintf("%s-%d", c.name, c.requests)
	resp, body, err := c.send("GET", "/all/x?n="+id, id, "")
	if err != nil || resp.StatusCode != http.StatusOK {
		c.checkFailure(id, resp, err)
		return
	}
	c.report.served.Add(1)
	stamps := strings.Split(resp.Header.Get("Galenadyke-Part-Stamps"), ", ")
	missing, _ := strconv.Atoi(resp.Header.Get("Galenadyke-Missing-Parts"))
	seen := make(map[string]bool)
	var records [][]byte
	for _, stamp := range stamps {
		server, attempt, _ := strings.Cut(stamp, ".")
		s := c.deployment.servers[server]
		if s == nil || attempt != id || seen[s.Service] || !strings.HasPrefix(s.Service, "shard") {
			c.report.addViolation("request %s at %s: stamp %q names an unknown server or another request, or repeats a shard", id, c.in.name, stamp)
			return
		}
		seen[s.Service] = true
		for p := s.Records(); len(p) >= 16; p = p[16:] {
			records = append(records, p[:16])
		}
	}
	if len(stamps)+missing != shards || float64(len(stamps)) < minCoverage*shards {
		c.report.addViolation("request %s at %s: %d stamps and %d missing of %d shards", id, c.in.name, len(stamps), missing, shards)
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:min(topK, len(records))], nil); !bytes.Equal(want, body) {
		c.report.addViolation("request %s at %s: records %q, want %q", id, c.in.name, body, want)
	}
}

// sendUnsafe sends a request that may run only once. It checks the answer, and
// that the instance does not return to an older configuration within one
// incarnation: the answering service plainN must not have a lower N than before.
func (c *caller) sendUnsafe() {
	id := fmt.Sprintf("%s-%d", c.name, c.requests)
	incarnation := c.in.currentIncarnation()
	resp, body, err := c.send("POST", "/once/x", id, "booking "+id)
	if err != nil {
		c.unsafeAnswers[id] = answer{err: err}
		c.checkFailure(id, nil, err)
		return
	}
	c.unsafeAnswers[id] = answer{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		c.checkFailure(id, resp, nil)
		return
	}
	c.report.served.Add(1)
	server, attempt, _ := strings.Cut(resp.Header.Get("Galenadyke-Server-Stamp"), ".")
	s := c.deployment.servers[server]
	if s == nil || attempt != id || !bytes.Equal(body, s.Records()) {
		c.report.addViolation("request %s at %s: got an answer of server %q to request %q, want one to this request with the records of a known server", id, c.in.name, server, attempt)
		return
	}
	plainIndex := int(s.Service[len("plain")] - '0')
	if incarnation == c.incarnation && incarnation == c.in.currentIncarnation() && plainIndex < c.plainIndex {
		c.report.addViolation("request %s at %s: run by service plain%d after plain%d in one incarnation", id, c.in.name, plainIndex, c.plainIndex)
	}
	if incarnation != c.incarnation {
		c.incarnation, c.plainIndex = incarnation, 0
	}
	c.plainIndex = max(c.plainIndex, plainIndex)
}

// checkFailure checks a request that was not answered with status 200. Status
// 404 is always a violation, any other failure only while the instances are
// undisturbed. Errors and status 503 during a graceful stop are collected for
// checkExecutions instead.
func (c *caller) checkFailure(id string, resp *http.Response, err error) {
	if resp != nil && resp.StatusCode == http.StatusNotFound {
		c.report.addViolation("request %s at %s: status 404 for a route that every configuration has", id, c.in.name)
	}
	// After its restart, the instance answers with status 503 until it knows a
	// configuration.
	if c.in.isStopping() && (err != nil || resp.StatusCode == http.StatusServiceUnavailable) {
		c.failedAtStop = append(c.failedAtStop, id)
		return
	}
	if c.undisturbed.Load() {
		status := 0
		if resp != nil {
			status = resp.StatusCode
		}
		c.report.addViolation("request %s at %s failed while undisturbed: status %d, error %v", id, c.in.name, status, err)
	}
}

// checkExecutions checks after the run how often servers ran each request. A
// request that may run only once must have run at most once, and not at all if it
// was refused as not run. A request that failed during a graceful stop must not
// have run.
func (c *caller) checkExecutions() {
	for _, id := range c.failedAtStop {
		for _, s := range c.deployment.servers {
			if s.Executions(id) > 0 {
				c.report.addViolation("request %s was forwarded by %s but failed during its graceful stop", id, c.in.name)
				break
			}
		}
	}
	for id, got := range c.unsafeAnswers {
		runs := 0
		for _, s := range c.deployment.servers {
			runs += s.Executions(id)
		}
		if runs > 1 {
			c.report.addViolation("request %s ran %d times, want at most once", id, runs)
		}
		refused := slices.Contains([]int{408, 421, 429, 503}, got.status)
		if refused && runs > 0 {
			c.report.addViolation("request %s was refused as not run with status %d but ran", id, got.status)
		}
	}
}
