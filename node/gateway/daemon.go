package gateway

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"google.golang.org/grpc"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/core/model"
	"galenadyke.dev/node/callers"
	"galenadyke.dev/node/driver"
	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/peer"
	"galenadyke.dev/node/settings"
	"galenadyke.dev/node/telemetry"
)

// Log records faults.
type Log interface {
	// FrameRefused records a message from another instance that could not be decoded.
	FrameRefused(peer model.InstanceID, err error)
	// ReadFailed records that the source could not be read or reached.
	ReadFailed(source string, err error)
	// EntryRefused records an entry of the store that cannot be used.
	EntryRefused(entry, reason string)
}

// Metrics counts how callers' requests end.
type Metrics interface {
	// Answered counts an answer. took is the time from the end of reading the request
	// to the end of writing the answer.
	Answered(a gateway.Answer, took time.Duration)
	// CallerDisconnected counts a request whose caller disconnected before the answer.
	CallerDisconnected()
	// RequestUnread counts a request that could not be read.
	RequestUnread(cause string)
}

// Store holds a copy of the platform's store and keeps it up to date.
type Store interface {
	// Run reads the store until the context ends.
	Run(context.Context)
	// Watch makes Run watch the store with calls of at most wait each. With a wait of
	// 0 the store is not read, and changes come through Import.
	Watch(wait time.Duration)
	// Position returns the store's position that the copy has.
	Position() gateway.StorePosition
	// Changes returns the change since a position, and a channel that is closed at the
	// next change.
	Changes(since gateway.StorePosition) (gateway.StoreChange, <-chan struct{})
	// Import applies a change that another instance sent.
	Import(gateway.StoreChange)
	// SetSourceState records the state of the followed instance: lost means that the
	// store does not answer it, age is the time since the store's last answer.
	SetSourceState(lost bool, age time.Duration)
}

// Platform is the adapter of a platform.
type Platform struct {
	Protocol Protocol
	// OpenStore returns the store at the address. The store passes its changes to submit.
	// firstStart means that the whole system starts for the first time.
	OpenStore func(address string, firstStart bool, submit func(gateway.Input) bool, log Log) Store
}

// Daemon is an instance of the tier.
type Daemon struct {
	settings      settings.Gateway
	log           *telemetry.Log
	metrics       *telemetry.GatewayMetrics
	spans         *telemetry.Spans
	loop          *driver.Loop[gateway.Input, gateway.Output]
	callers       *callerServer
	upstream      *upstream
	bodies        *memory.Budget
	state         *stateLink
	store         Store
	peers         *peerServer
	peerServer    *grpc.Server
	controlServer *khttp.Server
	readyServer   *khttp.Server
	servers       map[string]*khttp.Server

	ready   atomic.Pointer[gateway.ReadinessChanged]
	stopped chan struct{}
	failed  chan error
	// callersDone is closed once no caller has a request in progress after StopAccepting,
	// or at the end of the time for that.
	callersDone chan struct{}
	// shutdownAt is the time of the first call of Shutdown.
	shutdownAt atomic.Pointer[time.Time]
	// stopTimeout is the setting, in nanoseconds, which Reload changes.
	stopTimeout atomic.Int64

	peerClients *peerClients
	clock       driver.SystemClock
	// stopFollowing ends the stream from the followed instance, nil if there is none.
	// Only the loop uses it.
	stopFollowing context.CancelFunc

	mu sync.Mutex // guards cancels; held for map operations only
	// cancels holds the functions that cancel the attempts in flight, delegations
	// included.
	cancels map[gateway.AttemptID]func()

	peerListener net.Listener
	ctx          context.Context
	cancel       context.CancelFunc
	closeOnce    sync.Once
}

const (
	// closeTimeout bounds the wait of Close for the servers and the export of spans.
	closeTimeout = 300 * time.Millisecond
	// stopReserve is the end of the stop timeout that is reserved for Close. Until then the
	// stop waits for the connections of callers that are sending a request or get an answer.
	stopReserve = 500 * time.Millisecond
)

// New returns a daemon whose listeners are open. Start makes it serve. Log lines go to
// w. The error of a listener names its setting.
func New(s settings.Gateway, p Platform, w io.Writer) (*Daemon, error) {
	telemetry.QuietLibraries()
	limits, err := coreLimits(s)
	if err != nil {
		return nil, err
	}
	var random [16]byte
	if _, err := cryptorand.Read(random[:]); err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, metrics: telemetry.NewGatewayMetrics(), stopped: make(chan struct{}), failed: make(chan error, 4),
		callersDone: make(chan struct{}),
		cancels:     make(map[gateway.AttemptID]func()), peerClients: newPeerClients()}
	d.stopTimeout.Store(int64(s.StopTimeout))
	d.ready.Store(&gateway.ReadinessChanged{Reason: "the instance has just started"})
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if d.log, err = telemetry.NewLog(w, s.LogLevel, d.metrics); err != nil {
		return nil, err
	}
	d.log.SetInstance(s.Instance)
	if d.spans, err = telemetry.NewSpans(s.Spans, s.Instance, s.Place); err != nil {
		return nil, err
	}
	core := gateway.New(gateway.Config{
		Self: model.InstanceID(s.Instance), Address: s.PeerListen, Place: model.PlaceID(s.Place), Capacity: s.Capacity,
		Incarnation: binary.LittleEndian.Uint64(random[:8]), Seed: binary.LittleEndian.Uint64(random[8:]), Limits: limits,
	})
	d.loop = driver.NewLoop(driver.Config[gateway.Input, gateway.Output]{Engine: core, Actor: d, Clock: d.clock, Observe: d.observe})
	return d, d.listen(p)
}

// coreLimits returns the settings of the core that may change while the instance runs. The
// error is that of a malformed seed address.
func coreLimits(s settings.Gateway) (gateway.Limits, error) {
	seeds, err := s.PeerSeeds()
	return gateway.Limits{
		Seeds:         seeds,
		Budget:        gateway.BudgetLimits{Ratio: s.RetryRatio, Window: time.Duration(s.RetryWindow), Slack: s.RetrySlack},
		ColdOvershoot: s.ColdOvershoot, ColdSlack: s.ColdSlack, StopTime: time.Duration(s.StopTimeout),
	}, err
}

// Reload applies changed settings. It logs the names of changed settings that take
// effect only at the next start of the process.
func (d *Daemon) Reload(s settings.Gateway) {
	limits, err := coreLimits(s)
	if err != nil {
		d.log.ReadFailed("settings", err)
		return
	}
	if d.shutdownAt.Load() == nil { // a stop in progress keeps its time limits, as in the core
		d.stopTimeout.Store(int64(s.StopTimeout))
	}
	d.loop.Submit(gateway.LimitsChanged{Limits: limits})
	d.log.Info("SettingsReloaded", map[string]any{"subject": d.settings.Instance, "needs_restart": d.settings.ChangesNeedingRestart(s)})
}

// listen opens the listeners and builds the parts of the daemon that use them.
func (d *Daemon) listen(p Platform) error {
	s := d.settings
	var listeners [5]net.Listener
	for i, l := range []struct{ field, address string }{{"caller_listen", s.CallerListen}, {"ready_listen", s.ReadyListen},
		{"control_listen", s.ControlListen}, {"peer_listen", s.PeerListen}, {"metrics_listen", s.MetricsListen}} {
		if l.address == "" {
			continue // metrics_listen is optional
		}
		var err error
		if listeners[i], err = net.Listen("tcp", l.address); err != nil {
			return fmt.Errorf("%s: %w; use a free port of an address of this machine", l.field, err)
		}
	}
	socket, err := net.ListenPacket("udp", s.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w; use a port that is free for TCP and UDP", err)
	}
	submit := d.loop.Submit
	d.bodies = newBudget(s.MemoryMB, bodyMemoryShare)
	d.callers = newCallerServer(callers.NewDrainingListener(listeners[0].(*net.TCPListener)), p.Protocol, submit, d.clock.Boot, d.bodies, maxCallerConnections(s), d.metrics, d.spans)
	d.callers.digestKey = []byte(s.DigestKey)
	d.readyServer = newControlServer(listeners[1], http.HandlerFunc(d.serveReady), d.bodies)
	d.controlServer = newControlServer(listeners[2], http.HandlerFunc(d.serveControl), d.bodies)
	d.servers = map[string]*khttp.Server{"callers": d.callers.http, "balancer": d.readyServer, "control": d.controlServer}
	if listeners[4] != nil {
		d.servers["metrics"] = newControlServer(listeners[4], http.HandlerFunc(d.serveControl), d.bodies)
	}
	peerMemory := newBudget(s.MemoryMB, peerMemoryShare)
	guard := peer.NewGuard(maxPeerConnections(), peerMemory)
	d.peerListener = guard.Listen(listeners[3])
	d.upstream = &upstream{protocol: p.Protocol, pools: newPools(d.metrics.ConnectionOpened), bodies: d.bodies, bootTime: d.clock.Boot,
		overBound: d.answerOverBound}
	d.state = &stateLink{socket: socket, submit: submit, log: d.log, protect: d.protect}
	d.store = p.OpenStore(s.Store, s.FirstStart, submit, d.log)
	d.peers = &peerServer{store: d.store, callers: d.callers, memory: peerMemory,
		changes: newBudget(s.MemoryMB, changeMemoryShare), stopping: make(chan struct{})}
	d.peerServer = newPeerServer(d.peers, guard, grpc.UnaryInterceptor(d.protectUnary), grpc.StreamInterceptor(d.protectStream))
	return nil
}

// Start starts the servers, the store and the loop, and returns at once.
func (d *Daemon) Start() {
	s := d.settings
	d.log.Info("Started", map[string]any{"subject": s.Instance, "callers": s.CallerListen, "peers": s.PeerListen, "store": s.Store})
	go d.loop.Run()
	go d.store.Run(d.ctx)
	go d.state.run()
	go func() { d.report("peers", d.peerServer.Serve(d.peerListener)) }()
	for name, server := range d.servers {
		go func() { d.report(name, server.Start(d.ctx)) }()
	}
}

// report passes the error of a server on to Failed if the server ended without being
// stopped.
func (d *Daemon) report(server string, err error) {
	if err := driver.ServeError(server, err); err != nil {
		d.failed <- err
	}
}

// Shutdown begins the graceful stop and returns at once.
func (d *Daemon) Shutdown() {
	now := time.Now()
	d.shutdownAt.CompareAndSwap(nil, &now)
	d.log.Info("ShutdownRequested", map[string]any{"subject": d.settings.Instance})
	d.loop.Submit(gateway.Stop{})
}

// Stopped returns a channel that is closed at the end of the graceful stop.
func (d *Daemon) Stopped() <-chan struct{} { return d.stopped }

// Failed returns a channel that receives the error of a server that ended without being
// stopped.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Close stops the servers, connections and goroutines. It waits up to closeTimeout for
// answers that are being written. Further calls have no effect.
func (d *Daemon) Close() { d.closeOnce.Do(d.close) }

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	peersStopped := make(chan struct{})
	go func() {
		defer close(peersStopped)
		d.stopPeerServer(ctx)
	}()
	d.callers.close(ctx)
	for _, server := range d.servers {
		_ = server.Stop(ctx) // the end of the process closes the remaining connections
	}
	<-peersStopped
	d.cancel()
	d.peerClients.closeAll()
	d.state.socket.Close()
	d.upstream.pools.closeAll()
	d.loop.Stop()
	d.spans.Close(ctx)
	for _, c := range d.callers.connections.Open() {
		d.log.CallerConnectionClosed(c.Unserved, c.LogFields())
	}
	d.log.Info("Stopped", map[string]any{"subject": d.settings.Instance, "requests": d.callers.pending()})
	d.log.Close()
}

// stopPeerServer stops the server for other instances. It waits until ctx ends for the
// answers to their requests.
func (d *Daemon) stopPeerServer(ctx context.Context) {
	close(d.peers.stopping)
	done := make(chan struct{})
	go func() {
		d.peerServer.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	d.peerServer.Stop()
}

// observe applies the caller limits of a new configuration before the core acts on it.
func (d *Daemon) observe(inputs []gateway.Input) {
	for _, in := range inputs {
		if c, ok := in.(gateway.ConfigurationRead); ok {
			d.callers.setLimits(c.Configuration.Limits)
		}
	}
}

// Act implements driver.Actor.
func (d *Daemon) Act(out gateway.Output) {
	switch out := out.(type) {
	case gateway.SendAttempt:
		d.sendAttempt(out)
	case gateway.CancelAttempt:
		d.cancelAttempt(out.Attempt)
	case gateway.Answer:
		if req := d.callers.deliver(out); req != nil {
			d.log.GatewayAnswer(req.caller.AttemptID, req.delegated, out)
		}
	case gateway.OpenConnection:
		go d.openConnection(out)
	case gateway.ProbeTarget:
		go d.probeTarget(out)
	case gateway.CloseIdleConnections:
		d.upstream.pools.closeIdle(poolKey{string(out.Target), out.Address})
	case gateway.ReadinessChanged:
		d.ready.Store(&out)
		d.metrics.SetReady(out.Ready)
	case gateway.SendState:
		d.state.send(out)
	case gateway.Delegate:
		d.delegate(out)
	case gateway.SendBatch:
		d.sendBatch(out)
	case gateway.ReplyBatch:
		if req := d.callers.request(out.Request); req != nil {
			req.forwarded <- out
		}
	case gateway.FollowStore:
		d.followStore(out)
	case gateway.FetchState:
		go d.fetchState(out)
	case gateway.Event:
		d.metrics.EventSeen(out.Name)
		d.log.GatewayEvent(out)
	case gateway.StopAccepting:
		go d.stopAccepting()
	case gateway.Stopped:
		// The core does not know of requests whose bodies are still arriving.
		go func() {
			<-d.callersDone
			close(d.stopped)
		}()
	default:
		d.log.Error("OutputUnknown", map[string]any{"subject": fmt.Sprintf("%T", out)})
	}
}

// sendAttempt sends an attempt in a goroutine and submits its end to the core.
func (d *Daemon) sendAttempt(out gateway.SendAttempt) {
	req := d.callers.request(out.Request)
	if req == nil {
		// The caller disconnected after the core's decision.
		go d.loop.Submit(gateway.AttemptEnded{Attempt: out.Attempt, Outcome: gateway.OutcomeNotSent, Cause: "the caller left"})
		return
	}
	a := &attempt{out: out, req: req}
	var endSpan func(gateway.Outcome)
	a.traceparent, endSpan = d.spans.StartGatewayAttempt(req.traceparent, out)
	d.addCancel(out.Attempt, a.cancel)
	d.metrics.AttemptSent()
	go func() {
		// The outcome of an attempt that panics.
		ended := gateway.AttemptEnded{Attempt: out.Attempt, Outcome: gateway.OutcomeBroken, Cause: "internal error of this instance"}
		var rep *reply
		d.protect("attempt", func() { ended, rep = d.upstream.do(a) })
		d.removeCancel(out.Attempt)
		if rep != nil {
			req.keepReply(out.Attempt, rep, !out.Gather)
		}
		d.metrics.AttemptEnded(out.Service, ended.Outcome)
		endSpan(ended.Outcome)
		d.loop.Submit(ended)
	}()
}

// answerOverBound records an answer of a target that was ended because it exceeded a bound.
func (d *Daemon) answerOverBound(target model.TargetID, over *boundError) {
	d.metrics.OverBound(string(over.bound))
	d.log.GatewayEvent(gateway.Event{Name: "AnswerOverBound", Subject: string(target), Before: "read", After: over.Error(), Warning: true})
}

// addCancel registers the function that cancels an attempt.
func (d *Daemon) addCancel(id gateway.AttemptID, cancel func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancels[id] = cancel
}

func (d *Daemon) removeCancel(id gateway.AttemptID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.cancels, id)
}

func (d *Daemon) cancelAttempt(id gateway.AttemptID) {
	d.mu.Lock()
	cancel := d.cancels[id]
	d.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// openConnection opens an idle connection to a target. A failure is only logged: the
// core learns of an unreachable target from the next attempt.
func (d *Daemon) openConnection(out gateway.OpenConnection) {
	c, err := d.upstream.pools.dial(out.Address, dialTimeout)
	if err != nil {
		d.log.ReadFailed("target "+string(out.Target), err)
		return
	}
	d.upstream.pools.put(poolKey{string(out.Target), out.Address}, c)
}

// probeTarget opens a connection to a target, and submits whether the target accepts it.
func (d *Daemon) probeTarget(out gateway.ProbeTarget) {
	result := gateway.ProbeFailed
	d.protect("probe", func() { result = d.upstream.probe(out) })
	d.metrics.TargetProbed(result)
	d.loop.Submit(gateway.TargetProbed{Target: out.Target, Result: result})
}

// stopAccepting stops accepting callers, and waits until the requests in progress have been
// answered.
func (d *Daemon) stopAccepting() {
	defer close(d.callersDone)
	ctx, cancel := context.WithDeadline(d.ctx, d.shutdownAt.Load().Add(time.Duration(d.stopTimeout.Load())-stopReserve))
	defer cancel()
	d.callers.connections.SetOnClosed(d.logClosed)
	report := d.callers.drain(ctx)
	d.log.Info("CallersDrained", map[string]any{"subject": d.settings.Instance, "took_ms": report.Took.Milliseconds(),
		"accept_queue_ms": report.AcceptQueue.Milliseconds(), "open": len(d.callers.connections.Open())})
}

// logClosed records a connection of a caller that was closed during a stop, unless it was
// idle. One with unserved bytes may have carried a request.
func (d *Daemon) logClosed(c callers.ClosedConnection) {
	if c.State != http.StateIdle || c.Unserved {
		d.log.CallerConnectionClosed(c.Unserved, c.LogFields())
	}
}

// serveReady serves the readiness check of the load balancer.
func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.settings.ReadyPath {
		writeText(w, http.StatusNotFound, "ask for "+d.settings.ReadyPath)
		return
	}
	ready := d.ready.Load()
	if !ready.Ready {
		writeText(w, http.StatusServiceUnavailable, ready.Reason)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// serveControl serves metrics and the health check to operators.
func (d *Daemon) serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/debug/vars":
		w.Header().Set("Content-Type", "application/json")
		writeResponse(w, http.StatusOK, d.metrics.Vars())
	case "/metrics":
		writeText(w, http.StatusOK, string(d.metrics.Text()))
	case "/v1/metrics-help":
		d.serveMetricsHelp(w)
	case "/healthz":
		writeText(w, http.StatusOK, "ok")
	default:
		writeText(w, http.StatusNotFound, "the paths are /healthz, /debug/vars, /metrics and /v1/metrics-help")
	}
}

func (d *Daemon) serveMetricsHelp(w http.ResponseWriter) {
	raw, err := json.Marshal(telemetry.GatewayMetricTable())
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeResponse(w, http.StatusOK, raw)
}
