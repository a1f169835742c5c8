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

// report collects broken promises.
type report struct {
	mu     sync.Mutex // guards broken
	broken []string
	asked  atomic.Int64
	served atomic.Int64
}

func (r *report) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// caller sends requests to one instance, over connections that it keeps.
type caller struct {
	w      *world
	in     *instance
	report *report
	client *http.Client
	name   string
	n      int
	// life and set are the instance's life and the highest set of plain servers
	// that was seen in it.
	life, set int
	// once holds the requests that may run once only, with what was said of them.
	once map[string]answer
	// cut holds the requests that ended without an answer while their instance
	// stopped gracefully.
	cut []string
	// strict is set while nothing is disturbed: each request must be answered.
	strict *atomic.Bool
}

type answer struct {
	status int
	err    error
}

// requestTimeout is how long callers wait.
const requestTimeout = 1200 * time.Millisecond

func newCaller(w *world, in *instance, number int, r *report, strict *atomic.Bool) *caller {
	return &caller{w: w, in: in, report: r, strict: strict, name: fmt.Sprintf("c%d", number), once: make(map[string]answer),
		client: &http.Client{Timeout: requestTimeout + 300*time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.n++
		if c.n%3 == 0 {
			c.askOnce()
		} else {
			c.askAll()
		}
		time.Sleep(15 * time.Millisecond)
	}
}

// send sends one request; its body is nil after an error.
func (c *caller) send(method, path, id string, body string) (*http.Response, []byte, error) {
	// The body can't be read twice, so that the client never sends it again.
	req, err := http.NewRequest(method, "http://"+c.in.ip+":8000"+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return nil, nil, err
	}
	req.ContentLength = int64(len(body))
	req.Host = host
	req.Header.Set("Galenadyke-Attempt-Id", id)
	req.Header.Set("Galenadyke-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	c.report.asked.Add(1)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp, out, err
}

// askAll asks all shards and checks the answer against the servers' records.
func (c *caller) askAll() {
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	resp, body, err := c.send("GET", "/all/x?n="+id, id, "")
	if err != nil || resp.StatusCode != http.StatusOK {
		c.unserved(id, resp, err)
		return
	}
	c.report.served.Add(1)
	stamps := strings.Split(resp.Header.Get("Galenadyke-Part-Stamps"), ", ")
	missing, _ := strconv.Atoi(resp.Header.Get("Galenadyke-Missing-Parts"))
	seen := make(map[string]bool)
	var records [][]byte
	for _, stamp := range stamps {
		server, attempt, _ := strings.Cut(stamp, ".")
		s := c.w.servers[server]
		if s == nil || attempt != id || seen[s.Service] || !strings.HasPrefix(s.Service, "shard") {
			c.report.breaks("request %s at %s: stamp %q is foreign, of another request or there twice", id, c.in.name, stamp)
			return
		}
		seen[s.Service] = true
		for p := s.Records(); len(p) >= 16; p = p[16:] {
			records = append(records, p[:16])
		}
	}
	if len(stamps)+missing != shards || float64(len(stamps)) < minCoverage*shards {
		c.report.breaks("request %s at %s: %d stamps and %d missing of %d shards", id, c.in.name, len(stamps), missing, shards)
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:min(topK, len(records))], nil); !bytes.Equal(want, body) {
		c.report.breaks("request %s at %s: records %q, want %q", id, c.in.name, body, want)
	}
}

// askOnce sends a request that may run once, and checks that the instance does
// not go back to an older configuration.
func (c *caller) askOnce() {
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	life := c.in.currentLife()
	resp, body, err := c.send("POST", "/once/x", id, "booking "+id)
	if err != nil {
		c.once[id] = answer{err: err}
		c.unserved(id, nil, err)
		return
	}
	c.once[id] = answer{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		c.unserved(id, resp, nil)
		return
	}
	c.report.served.Add(1)
	server, attempt, _ := strings.Cut(resp.Header.Get("Galenadyke-Server-Stamp"), ".")
	s := c.w.servers[server]
	if s == nil || attempt != id || !bytes.Equal(body, s.Records()) {
		c.report.breaks("request %s at %s: answer of %s to %s with another body than the server's", id, c.in.name, server, attempt)
		return
	}
	set := int(s.Service[len("plain")] - '0')
	if life == c.life && life == c.in.currentLife() && set < c.set {
		c.report.breaks("request %s at %s: run by set %d after set %d in one life", id, c.in.name, set, c.set)
	}
	if life != c.life {
		c.life, c.set = life, 0
	}
	c.set = max(c.set, set)
}

// unserved checks a request without success. In calm times there is none.
func (c *caller) unserved(id string, resp *http.Response, err error) {
	if resp != nil && resp.StatusCode == http.StatusNotFound {
		c.report.breaks("request %s at %s: 404 for a route that every configuration has", id, c.in.name)
	}
	// An instance that has just started knows no configuration and says so.
	if c.in.isStopping() && (err != nil || resp.StatusCode == http.StatusServiceUnavailable) {
		c.cut = append(c.cut, id)
		return
	}
	if c.strict.Load() {
		status := 0
		if resp != nil {
			status = resp.StatusCode
		}
		c.report.breaks("request %s at %s in calm times: status %d, %v", id, c.in.name, status, err)
	}
}

// settle checks, after the run, what servers did with the requests that may run
// once, and with those that a graceful stop cut off: they were not passed on.
func (c *caller) settle() {
	for _, id := range c.cut {
		for _, s := range c.w.servers {
			if s.Executions(id) > 0 {
				c.report.breaks("request %s was passed on by %s and cut off by its graceful stop", id, c.in.name)
				break
			}
		}
	}
	for id, said := range c.once {
		ran := 0
		for _, s := range c.w.servers {
			ran += s.Executions(id)
		}
		if ran > 1 {
			c.report.breaks("request %s ran %d times", id, ran)
		}
		refused := slices.Contains([]int{408, 421, 429, 503}, said.status)
		if refused && ran > 0 {
			c.report.breaks("request %s was answered %d and ran", id, said.status)
		}
	}
}
