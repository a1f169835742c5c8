package gateway

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/node/callers"
	"galenadyke.dev/node/telemetry"
)

var (
	LossSeed = flag.Uint64("lost.seed", 1, "seed of the moments in the tests of lost requests")
	lossRuns = flag.Int("lost.runs", 30, "number of stops in each round of TestStopAnswersRequestsOnConnectionsInEachState")
)

const (
	// lossSlack is how long before the close of its connection a request must have been sent
	// to count as lost although it was not handled. A younger one crosses the close.
	lossSlack = 200 * time.Millisecond
	// lossLeadTime is the time from the start of a run to the first step of its stop. It is
	// longer than callers.MaxFreshTime. In runs with old connections it is lossOldLeadTime, as net/http
	// takes a new connection for idle after 5 s.
	lossLeadTime    = callers.MaxFreshTime + 300*time.Millisecond
	lossOldLeadTime = 6500 * time.Millisecond
	// lossStopTimeout is the stop timeout of the runs, counted from the first step, and
	// lossCoreLimit the time at which the core ends its requests.
	lossStopTimeout = 2500 * time.Millisecond
	lossCoreLimit   = lossStopTimeout - 700*time.Millisecond
	lossConnections = 40 // connections of a run
	// A large answer doesn't fit into the buffers of its connection.
	LargeAnswerBytes = 256 << 10
	smallBufferBytes = 16 << 10
)

var largeAnswer = make([]byte, LargeAnswerBytes)

// stopStep is a step of a stop at which callers send bytes.
type stopStep int

const (
	stepDrain    stopStep = iota // the drain of the accept queue begins
	stepIdle                     // the listener has closed, idle connections are closed next
	stepAnswered                 // the stop no longer waits for callers
	stepClose                    // the servers shut down
	stepEnd                      // the process ends
	stopSteps
)

var stopStepNames = [stopSteps]string{"drain", "idle", "answered", "close", "end"}

// StopRun is one stop of a caller server beside connections in drawn states. Its exported
// parts are for the tests of whole instances.
type StopRun struct {
	// Headers, if set, returns the headers of a request after Host.
	Headers func(path string) string
	// Prefix is the prefix of the paths, and Changes are further times around which
	// requests are sent.
	Prefix  string
	Changes []time.Time
	// MaxIdle, if set, is how long callers keep an idle connection.
	MaxIdle time.Duration

	server  *callerServer
	daemon  *Daemon
	address string
	// firstStep is the time of stepDrain. reached[k] is closed at step k, after at[k] was set.
	firstStep time.Time
	lead      time.Duration // from the start of the run to firstStep
	reached   [stopSteps]chan struct{}
	at        [stopSteps]time.Time

	mu      sync.Mutex // guards the fields below
	rng     *rand.Rand
	conns   map[string]*pausingConn // by the caller's address
	handled map[string]time.Time    // requests that reached the core, by path
	open    int                     // requests at the core
}

// pausingConn pauses between a system call and its return, and counts the bytes read.
type pausingConn struct {
	net.Conn
	run *StopRun

	mu       sync.Mutex // guards the fields below
	read     int
	lastRead time.Time
	closed   time.Time
}

// CloseWrite implements the method that callers.Conn looks for.
func (c *pausingConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// SyscallConn implements syscall.Conn, as callers.Conn reads bytes that have arrived with it.
func (c *pausingConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

// Read implements net.Conn.
func (c *pausingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.read += n
		c.lastRead = time.Now()
		c.mu.Unlock()
		c.run.pause()
	}
	return n, err
}

// Close implements net.Conn.
func (c *pausingConn) Close() error {
	c.run.pause()
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.IsZero() {
		c.closed = time.Now()
	}
	return err
}

// pausingListener wraps the connections that callers.Listener accepts.
type pausingListener struct {
	callers.Listener
	run *StopRun
}

// Accept implements net.Listener.
func (l pausingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := conn.(*callers.Conn)
	_ = c.Conn.(*net.TCPConn).SetWriteBuffer(smallBufferBytes) // a larger one only makes the test weaker
	p := &pausingConn{Conn: c.Conn, run: l.run}
	c.Conn = p
	l.run.mu.Lock()
	l.run.conns[p.RemoteAddr().String()] = p
	l.run.mu.Unlock()
	l.run.pause()
	return c, nil
}

func (r *StopRun) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// Between draws a duration from low to high.
func (r *StopRun) Between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.draw(int(high-low)+1))
}

// SlowAnswer draws the time until a slow answer, in some cases longer than closeTimeout.
func (r *StopRun) SlowAnswer() time.Duration {
	if r.draw(4) == 0 {
		return r.Between(closeTimeout, 2*closeTimeout)
	}
	return r.Between(0, closeTimeout)
}

func (r *StopRun) pause() {
	switch k := r.draw(200); {
	case k < 2:
		time.Sleep(r.Between(0, 50*time.Millisecond)) // as on a busy machine
	case k < 50:
		time.Sleep(r.Between(0, 600*time.Microsecond))
	case k < 100:
		runtime.Gosched()
	}
}

// submit takes the place of the core: it answers each request after a drawn time.
func (r *StopRun) submit(in gateway.Input) bool {
	arrived, ok := in.(gateway.Arrived)
	if !ok {
		return true
	}
	r.SetHandled(arrived.Path)
	r.mu.Lock()
	r.open++
	r.mu.Unlock()
	answer := gateway.Answer{Request: arrived.Request, Kind: gateway.AnswerNoRoute, Reason: "none"}
	if strings.HasSuffix(arrived.Path, "/large") {
		answer.Kind, answer.Records = gateway.AnswerGathered, largeAnswer
	}
	var wait time.Duration
	if strings.HasSuffix(arrived.Path, "/slow") {
		wait = r.SlowAnswer()
	} else if r.draw(2) == 0 {
		wait = r.Between(0, 2*time.Millisecond)
	}
	if time.Since(r.firstStep) > lossCoreLimit {
		answer.Kind, wait = gateway.AnswerRefused, 0
	}
	go func() {
		time.Sleep(wait)
		r.server.deliver(answer)
		r.mu.Lock()
		r.open--
		r.mu.Unlock()
	}()
	return true
}

// SetHandled records that a request has been passed on.
func (r *StopRun) SetHandled(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handled[path].IsZero() {
		r.handled[path] = time.Now()
	}
}

func (r *StopRun) reach(step stopStep) {
	r.at[step] = time.Now()
	close(r.reached[step])
}

// stop does the steps of Daemon from StopAccepting to the end of the process.
func (r *StopRun) stop() {
	time.Sleep(time.Until(r.firstStep))
	r.daemon.shutdownAt.Store(&r.firstStep)
	go func() {
		<-r.server.listener.Drained()
		r.reach(stepIdle)
	}()
	r.reach(stepDrain)
	if r.draw(2) == 0 {
		// The core also has a request of another instance.
		r.mu.Lock()
		r.open++
		r.mu.Unlock()
		time.AfterFunc(r.Between(0, 400*time.Millisecond), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.open--
		})
	}
	go r.daemon.stopAccepting()
	// The core completes the stop when it has no requests.
	for {
		r.mu.Lock()
		open := r.open
		r.mu.Unlock()
		if open == 0 || time.Since(r.firstStep) > lossCoreLimit {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	<-r.daemon.callersDone
	<-r.reached[stepIdle]
	r.reach(stepAnswered)
	r.pause()
	r.reach(stepClose)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	r.server.close(ctx)
	cancel()
	r.daemon.cancel()
	r.reach(stepEnd)
	r.closeAll()
}

// SentRequest is a request that a caller sent during a run.
type SentRequest struct {
	run    *StopRun
	state  string
	path   string
	conn   string // the caller's address
	opened time.Time
	kept   bool
	late   bool // the last bytes arrived later than they were sent, as after the loss of a packet
	// sent is the time at which the last byte was sent, arrived that at which it could be read,
	// and end the number of bytes on the connection up to the end of the request.
	sent, arrived time.Time
	end           int
	answered      bool
	// excused is set if the answer before asked for another connection, or the connection was
	// idle for longer than callers keep it.
	excused  bool
	idleFrom time.Time // the end of the answer before, zero if there was none
	ended    time.Time
	err      error
}

// loss returns the kind of the loss of a request, empty if it was answered or refused, or
// crossed the close of its connection.
func (q *SentRequest) loss() string {
	if q.answered || q.excused || q.arrived.IsZero() {
		return ""
	}
	q.run.mu.Lock()
	c, handled := q.run.conns[q.conn], q.run.handled[q.path]
	q.run.mu.Unlock()
	if c == nil {
		if q.ended.Sub(q.arrived) > lossSlack {
			return "not accepted"
		}
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	end := q.ended
	if !c.closed.IsZero() && c.closed.Before(end) {
		end = c.closed // a caller that still sends sees the end later
	}
	old := end.Sub(q.sent) > lossSlack
	switch {
	case !handled.IsZero():
		return "handled"
	case old && c.read >= q.end && c.lastRead.After(q.run.at[stepClose]):
		return "read during the shutdown"
	case old && c.read >= q.end:
		return "read before the shutdown"
	case end.Sub(q.arrived) > lossSlack:
		return "not read"
	}
	return ""
}

// crossed reports whether all bytes of an unanswered request were read that is too young to
// count as lost.
func (q *SentRequest) crossed() bool {
	if q.answered || q.excused || q.arrived.IsZero() || q.loss() != "" {
		return false
	}
	q.run.mu.Lock()
	c := q.run.conns[q.conn]
	q.run.mu.Unlock()
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read >= q.end
}

func (q *SentRequest) String() string {
	r := q.run
	ms := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.1f", float64(t.Sub(r.firstStep))/float64(time.Millisecond))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: kept %v, late %v, opened %s, sent %s, arrived %s", q.path, q.state, q.kept, q.late, ms(q.opened), ms(q.sent), ms(q.arrived))
	r.mu.Lock()
	c, handled := r.conns[q.conn], r.handled[q.path]
	r.mu.Unlock()
	if c != nil {
		c.mu.Lock()
		fmt.Fprintf(&b, ", read %d of %d bytes until %s, handled %s, closed %s", c.read, q.end, ms(c.lastRead), ms(handled), ms(c.closed))
		c.mu.Unlock()
	}
	fmt.Fprintf(&b, ", end seen %s (%v); steps", ms(q.ended), q.err)
	for step, name := range stopStepNames {
		fmt.Fprintf(&b, " %s %s", name, ms(r.at[step]))
	}
	return b.String()
}

// moment waits for a drawn time around a step of the stop.
func (r *StopRun) moment() {
	if len(r.Changes) > 0 && r.draw(3) == 0 {
		time.Sleep(time.Until(r.Changes[r.draw(len(r.Changes))].Add(r.Between(-time.Millisecond, 8*time.Millisecond))))
		return
	}
	switch k := r.draw(20); {
	case k < 6:
		time.Sleep(time.Until(r.firstStep.Add(r.Between(-1500*time.Microsecond, 8*time.Millisecond))))
	case k < 10:
		time.Sleep(time.Until(r.firstStep.Add(r.Between(-50*time.Millisecond, 320*time.Millisecond))))
	default:
		<-r.reached[r.draw(int(stopSteps))]
		time.Sleep(r.Between(0, 600*time.Microsecond))
	}
}

// lossCaller is the caller of one connection.
type lossCaller struct {
	run     *StopRun
	conn    net.Conn
	reader  *bufio.Reader
	written int
}

// head returns the head of a request without the empty line.
func (r *StopRun) head(path string) string {
	head := "GET " + path + " HTTP/1.1\r\nHost: h\r\n"
	if r.Headers != nil {
		head += r.Headers(path)
	}
	return head
}

// request returns the bytes of a request in two parts, which are split as the state says.
func (r *StopRun) request(state, path string) (first, rest string) {
	head := r.head(path)
	switch state {
	case "first byte sent":
		return head[:1], head[1:] + "\r\n"
	case "part of the head sent":
		return head, "X-A: b\r\n\r\n"
	case "part of the body sent":
		return strings.Replace(head, "GET", "POST", 1) + "Content-Length: 400\r\n\r\n" + strings.Repeat("x", 200), strings.Repeat("x", 200)
	}
	return "", head + "\r\n"
}

func (c *lossCaller) write(s string) error {
	n, err := io.WriteString(c.conn, s)
	c.written += n
	return err
}

// read reads an answer, slowly if it is large.
func (c *lossCaller) read() (*http.Response, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.ContentLength >= LargeAnswerBytes {
		for range 8 {
			time.Sleep(c.run.Between(0, 40*time.Millisecond))
			if _, err := io.CopyN(io.Discard, resp.Body, LargeAnswerBytes/8); err != nil {
				return nil, err
			}
		}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// lossStates are the states of connections when a stop begins.
var lossStates = []string{"waiting to be accepted", "fresh", "old fresh", "idle", "first byte sent", "part of the head sent",
	"part of the body sent", "waiting for the answer", "slow reader", "next request sent"}

// StuckState is the state of a request that a target doesn't answer before the time limit of
// the stop.
const StuckState = "waiting at the time limit"

// DrawStates returns one to three states for the connections of the run.
func (r *StopRun) DrawStates(more ...string) []string {
	lossStates := append(slices.Clip(lossStates), more...)
	states := make([]string, 1+r.draw(3))
	for k := range states {
		states[k] = lossStates[r.draw(len(lossStates))]
	}
	return states
}

// Call sends a request on a connection that is in the state when the stop begins, and
// returns it, or both requests if it sends two.
func (r *StopRun) Call(state, name string) []*SentRequest {
	path := r.Prefix + name
	switch state {
	case "waiting for the answer", "next request sent":
		path += "/slow"
	case StuckState:
		path += "/stuck"
	case "old fresh", "part of the body sent":
		if r.draw(3) == 0 {
			path += "/slow"
		}
	case "slow reader":
		path += "/large"
	}
	q := &SentRequest{run: r, state: state, path: path}
	age := r.Between(0, callers.MaxFreshTime-100*time.Millisecond)
	switch {
	case state == "old fresh", state != "fresh" && r.draw(2) == 0:
		age = r.Between(callers.MaxFreshTime+20*time.Millisecond, r.lead-20*time.Millisecond)
	}
	if state == "waiting to be accepted" {
		r.moment()
	} else {
		time.Sleep(time.Until(r.firstStep.Add(-age)))
	}
	q.opened = time.Now()
	conn, err := net.DialTimeout("tcp", r.address, time.Second)
	if err != nil {
		return nil // the listener has closed
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(smallBufferBytes) // a larger one only makes the test weaker
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))  // fails only on a closed connection
	c := &lossCaller{run: r, conn: conn, reader: bufio.NewReader(conn)}
	q.conn = conn.LocalAddr().String()
	q.kept = state == "idle" || state != "fresh" && state != "old fresh" && state != "waiting to be accepted" && r.draw(2) == 0
	if q.kept {
		if err := c.write(r.head(r.Prefix+"warm/"+name) + "\r\n"); err != nil {
			return nil
		}
		if _, err := c.read(); err != nil {
			return nil
		}
		q.idleFrom = time.Now()
	}
	first, rest := r.request(state, path)
	if first != "" {
		if r.draw(2) == 0 {
			time.Sleep(time.Until(r.firstStep.Add(r.Between(-60*time.Millisecond, time.Millisecond))))
		} else {
			r.moment()
		}
		if err := c.write(first); err != nil {
			return nil
		}
	}
	q.late = r.draw(3) == 0
	switch {
	case state == "waiting for the answer" || state == "slow reader" || state == "next request sent" || state == StuckState:
		time.Sleep(time.Until(r.firstStep.Add(r.Between(-200*time.Millisecond, 2*time.Millisecond))))
	case state == "waiting to be accepted":
		// Sent with the connection.
	case first != "" && r.draw(2) == 0:
		time.Sleep(r.Between(0, 2*time.Millisecond))
	default:
		r.moment()
	}
	q.sent = time.Now()
	if q.late {
		q.sent = q.sent.Add(-r.Between(lossSlack, lossSlack+100*time.Millisecond))
	}
	if err := c.write(rest); err != nil {
		return nil
	}
	q.excused = q.kept && r.MaxIdle > 0 && q.sent.Sub(q.idleFrom) > r.MaxIdle
	q.arrived, q.end = time.Now(), c.written
	sent := []*SentRequest{q}
	if state == "next request sent" {
		next := *q
		next.path, next.late, next.kept = path+"/next", false, true
		r.moment()
		if err := c.write(r.head(next.path) + "\r\n"); err == nil {
			next.sent = time.Now()
			next.arrived, next.end = next.sent, c.written
			sent = append(sent, &next)
		}
	}
	var resp *http.Response
	for i, q := range sent {
		if i > 0 && (sent[i-1].err != nil || resp.Close) {
			q.excused = true
			break
		}
		resp, q.err = c.read()
		q.ended, q.answered = time.Now(), q.err == nil
	}
	return sent
}

// NewStopRun returns a run without a server. Begin sets the time of its stop.
func NewStopRun(seed uint64) *StopRun {
	r := &StopRun{Prefix: "/", rng: rand.New(rand.NewPCG(*LossSeed, seed)), conns: make(map[string]*pausingConn), handled: make(map[string]time.Time)}
	for k := range r.reached {
		r.reached[k] = make(chan struct{})
	}
	return r
}

// Begin sets the first step of the stop to the end of the lead time, and draws the number of
// times of Changes around it.
func (r *StopRun) Begin(lead time.Duration, changes int) {
	// The stops of several runs are spread, so that their callers don't all need the
	// processor at once.
	r.lead = lead + r.Between(0, 500*time.Millisecond)
	r.firstStep = time.Now().Add(r.lead)
	for range changes {
		r.Changes = append(r.Changes, r.firstStep.Add(r.Between(-1200*time.Millisecond, 800*time.Millisecond)))
	}
	slices.SortFunc(r.Changes, time.Time.Compare)
}

// followCallers makes a server that has not been started accept its connections for the run.
func (r *StopRun) followCallers(s *callerServer) {
	s.http = newServer(pausingListener{s.listener, r}, s)
	s.http.ConnState = s.connections.ConnState
	r.server, r.address = s, s.listener.Addr().String()
}

// startStopRun starts a server and its stop, which begins after the lead time.
func startStopRun(t *testing.T, lead time.Duration, seed uint64) *StopRun {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := NewStopRun(seed)
	r.Begin(lead, 0)
	start := time.Now()
	r.followCallers(newCallerServer(callers.NewDrainingListener(l.(*net.TCPListener)), testProtocol{}, r.submit, func() time.Duration { return time.Since(start) }, newBudget(0, bodyMemoryShare), 0, noMetrics{}, &telemetry.Spans{}))
	log, err := telemetry.NewLog(io.Discard, "error", telemetry.NewGatewayMetrics())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.Close)
	r.daemon = &Daemon{log: log, callers: r.server, callersDone: make(chan struct{})}
	r.daemon.stopTimeout.Store(int64(lossStopTimeout))
	r.daemon.ctx, r.daemon.cancel = context.WithCancel(context.Background())
	go r.server.http.Start(r.daemon.ctx) //nolint:errcheck // ends with the run
	return r
}

// FollowCallers makes an instance that has not been started accept its connections for the
// run.
func (r *StopRun) FollowCallers(d *Daemon) {
	r.followCallers(d.callers)
	d.servers["callers"] = d.callers.http
}

// StopDaemon stops an instance as its process does after a SIGTERM, so that it stops accepting
// at the first step of the run. If ends is set, the process of the run's callers ends with it.
func (r *StopRun) StopDaemon(d *Daemon, ends bool) {
	toDrain := min(2300*time.Millisecond, time.Duration(d.settings.StopTimeout)/2)
	time.Sleep(time.Until(r.firstStep.Add(-toDrain)))
	d.Shutdown()
	drained := make(chan struct{})
	go func() {
		<-d.callers.listener.Drained()
		r.reach(stepIdle)
		close(drained)
	}()
	time.Sleep(time.Until(r.firstStep))
	r.reach(stepDrain)
	<-d.callersDone
	r.reach(stepAnswered)
	<-d.Stopped()
	<-drained
	r.reach(stepClose)
	d.Close()
	r.reach(stepEnd)
	if ends {
		r.closeAll()
	}
}

// closeAll closes the connections of callers as the end of the process does.
func (r *StopRun) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Conn.Close()
	}
}

// Losses are the results of runs.
type Losses struct {
	total, answered, crossed int
	lost                     map[string][]string // traces by kind
}

// Add adds the requests of a connection after the end of its run.
func (l *Losses) Add(sent []*SentRequest) {
	for _, q := range sent {
		l.total++
		switch kind := q.loss(); {
		case q.answered:
			l.answered++
		case kind != "":
			if l.lost == nil {
				l.lost = make(map[string][]string)
			}
			kind += ", " + q.state
			l.lost[kind] = append(l.lost[kind], q.String())
		case q.crossed():
			l.crossed++
		}
	}
}

// Report fails the test if requests were lost.
func (l *Losses) Report(t *testing.T) {
	t.Helper()
	t.Logf("%d requests, %d answered, %d read less than %v after they were sent and not answered", l.total, l.answered, l.crossed, lossSlack)
	for _, kind := range slices.Sorted(maps.Keys(l.lost)) {
		traces := l.lost[kind]
		t.Errorf("%d requests were lost, %s; times in ms from the first step of the stop:\n%s", len(traces), kind, strings.Join(traces[:min(3, len(traces))], "\n"))
	}
	if l.answered == 0 {
		t.Error("no request was answered")
	}
}

// longestDelay returns by how much a goroutine of this process was late at most until end is
// closed.
func longestDelay(end chan struct{}) time.Duration {
	longest := time.Duration(0)
	for {
		select {
		case <-end:
			return longest
		default:
		}
		start := time.Now()
		time.Sleep(time.Millisecond)
		longest = max(longest, time.Since(start)-time.Millisecond)
	}
}

// Guards against requests that a planned stop has read and neither answers nor refuses.
func TestStopAnswersRequestsOnConnectionsInEachState(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	var losses Losses
	for round, procs := range []int{1, 2, 4} {
		runtime.GOMAXPROCS(procs)
		lead := lossLeadTime
		if round == 0 {
			lead = lossOldLeadTime
		}
		longest, end := make(chan time.Duration, 1), make(chan struct{})
		go func() { longest <- longestDelay(end) }()
		requests := make(chan []*SentRequest)
		var callers, stops sync.WaitGroup
		for i := range *lossRuns {
			r := startStopRun(t, lead, uint64(round)<<32+uint64(i))
			states := r.DrawStates()
			for n := range lossConnections {
				callers.Go(func() { requests <- r.Call(states[n%len(states)], fmt.Sprintf("%d-%d-%d", round, i, n)) })
			}
			stops.Go(r.stop)
		}
		go func() { callers.Wait(); stops.Wait(); close(requests) }()
		var all [][]*SentRequest
		for sent := range requests {
			all = append(all, sent)
		}
		close(end)
		t.Logf("GOMAXPROCS %d: the processor was late by up to %v", procs, <-longest)
		for _, sent := range all {
			losses.Add(sent)
		}
	}
	losses.Report(t)
}
