package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashText is in the path or body of the requests that end each server that runs them.
	crashText = "crash-"
	// crashDelay is the time from the begin of such a request to the end of the server,
	// serverDownTime the time from there to its next start.
	crashDelay     = 5 * time.Millisecond
	serverDownTime = 700 * time.Millisecond
	// crashPause is the end of the recovery in which no server may end any more: the down
	// time, and the time until the instances know that the server is back.
	crashPause = serverDownTime + 800*time.Millisecond
	// contactTime is the stated time after which instances in touch know of the third crash,
	// maxLateSends the stated maximum of the sends that reach servers later than that.
	contactTime  = 4 * time.Second
	maxLateSends = 3
)

// endServer ends a server's process. It starts again after serverDownTime.
func (d *deployment) endServer(id string) {
	s := d.servers[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || d.closing.Load() {
		return
	}
	s.down = true
	s.ends = append(s.ends, time.Now())
	s.proxy.close()
	d.restarts.Go(func() {
		time.Sleep(serverDownTime)
		d.startServer(s)
	})
}

// startServer starts a server's process again, as a new incarnation with the same ID.
func (d *deployment) startServer(s *server) {
	s.mu.Lock()
	err := s.proxy.start()
	s.SetBorn(time.Now().UnixMilli())
	s.down, s.seq = err != nil, 0
	state := s.state
	s.mu.Unlock()
	if err == nil {
		d.announce(s, state)
	}
}

// crashing sends one crashing request again and again, at random instances, each time as a new
// attempt.
type crashing struct {
	deployment *deployment
	report     *report
	rng        *rand.Rand
	name, path string
	body       string
	started    time.Time
	client     *http.Client
	ended      chan struct{}
	running    sync.WaitGroup

	mu    sync.Mutex // guards the fields below
	phase crashPhase
	// undisturbedAt is the begin of phaseUndisturbed, incarnations those of the instances at
	// that time.
	undisturbedAt time.Time
	incarnations  map[*instance]int
	statuses      map[string]int // status of the answers, by attempt ID
}

type crashPhase uint8

const (
	phaseFaults crashPhase = iota
	// phasePaused: no server may end because of the request any more.
	phasePaused
	// phaseUndisturbed: all instances have been in touch for contactTime. They refuse the
	// request if the third server had ended contactTime before.
	phaseUndisturbed
)

// startCrashing starts sending a new crashing request, on the gathering or the plain route.
func (r *runner) startCrashing() *crashing {
	c := &crashing{deployment: r.deployment, report: r.report, rng: rand.New(rand.NewPCG(r.crashRNG.Uint64(), 0)),
		name: fmt.Sprintf("%s%d", crashText, r.crashRNG.Uint32()), started: time.Now(), ended: make(chan struct{}), statuses: make(map[string]int),
		client: &http.Client{Timeout: requestTimeout + 300*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}}
	c.path, c.body = "/all/x", c.name+" on all shards"
	if r.crashRNG.IntN(2) == 0 {
		c.path, c.body = "/once/x", c.name+" on a plain service"
	}
	r.log("a request to %s ends each server that runs it: %s", c.path, c.name)
	c.running.Go(c.run)
	return c
}

func (c *crashing) run() {
	for n := 0; ; n++ {
		select {
		case <-c.ended:
			return
		case <-time.After(time.Duration(30+c.rng.IntN(120)) * time.Millisecond):
		}
		in := c.deployment.instances[c.rng.IntN(len(c.deployment.instances))]
		if c.maySend(in) {
			c.send(in, fmt.Sprintf("%s-%d", c.name, n))
		}
	}
}

// maySend reports whether the request may be sent to an instance. While undisturbed it is sent
// only to instances in touch that must refuse it, so that no server ends in the checks.
func (c *crashing) maySend(in *instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseFaults:
		return true
	case phasePaused:
		return false
	}
	third, ok := c.thirdEnd()
	return ok && time.Since(third) > contactTime && !in.isStopping() && in.currentIncarnation() == c.incarnations[in]
}

func (c *crashing) send(in *instance, id string) {
	// MultiReader hides the type of the reader, so that the client does not repeat the request.
	req, err := http.NewRequest("POST", "http://"+in.ip+":8000"+c.path, io.MultiReader(strings.NewReader(c.body)))
	if err != nil {
		c.report.addViolation("%v", err)
		return
	}
	req.Host, req.ContentLength = host, int64(len(c.body))
	req.Header.Set("Galenadyke-Attempt-Id", id)
	req.Header.Set("Galenadyke-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	resp.Body.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[id] = resp.StatusCode
}

// pause stops sending. A server that has ended is back when crashPause is over.
func (c *crashing) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phasePaused
}

// resume sends the request to the instances, which are undisturbed now.
func (c *crashing) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.undisturbedAt, c.incarnations = phaseUndisturbed, time.Now(), make(map[*instance]int)
	for _, in := range c.deployment.instances {
		c.incarnations[in] = in.currentIncarnation()
	}
}

// ends returns when servers ended since the first send, in order.
func (c *crashing) ends() []time.Time {
	var all []time.Time
	for _, s := range c.deployment.servers {
		s.mu.Lock()
		for _, at := range s.ends {
			if at.After(c.started) {
				all = append(all, at)
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// thirdEnd returns when the third server ended. ok is false if fewer have ended.
func (c *crashing) thirdEnd() (at time.Time, ok bool) {
	ends := c.ends()
	if len(ends) < 3 {
		return at, false
	}
	return ends[2], true
}

// stop stops sending and checks the bound on the sends that reached servers, and that no
// attempt that was refused has run. It returns what happened.
func (c *crashing) stop() string {
	close(c.ended)
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make(map[string][]time.Time)
	for _, s := range c.deployment.servers {
		for id, times := range s.ExecutionTimes(c.name + "-") {
			runs[id] = append(runs[id], times...)
		}
	}
	third, ok := c.thirdEnd()
	sends, late := 0, 0
	for id, times := range runs {
		sends += len(times)
		for _, at := range times {
			if ok && c.phase == phaseUndisturbed && at.After(c.undisturbedAt) && at.Sub(third) > contactTime {
				late++
			}
		}
		if slices.Contains([]int{408, 421, 429, 503}, c.statuses[id]) {
			c.report.addViolation("attempt %s was refused as not run with status %d but ran", id, c.statuses[id])
		}
	}
	if late > maxLateSends {
		c.report.addViolation("%s: %d sends reached servers later than %v after the third server had ended, want at most %d", c.name, late, contactTime, maxLateSends)
	}
	refused := 0
	for _, status := range c.statuses {
		if status == http.StatusServiceUnavailable {
			refused++
		}
	}
	return fmt.Sprintf("%s: %d sends to servers, %d servers ended, %d late sends; %d attempts were answered, %d of them with status 503",
		c.name, sends, len(c.ends()), late, len(c.statuses), refused)
}
