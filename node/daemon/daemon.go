package daemon

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"galenadyke.dev/core/engine"
	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/node/api"
	"galenadyke.dev/node/backend"
	"galenadyke.dev/node/callers"
	"galenadyke.dev/node/driver"
	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/peer"
	"galenadyke.dev/node/platform"
	"galenadyke.dev/node/settings"
	"galenadyke.dev/node/telemetry"
)

const (
	// callerMemoryShare is the share of the setting memory_mb that the heads and bodies of calls
	// may take, and peerMemoryShare that of messages of instances that are arriving. Without the
	// setting they are shares of defaultMemoryMB, in which a message of the largest size has
	// room.
	callerMemoryShare = 0.1875
	peerMemoryShare   = 0.3125
	defaultMemoryMB   = 256
	// callerDescriptorShare is the share of the descriptors of the process that the connections
	// of callers may take.
	callerDescriptorShare = 0.5
	// peerConnections bounds the connections of other instances, and peerDescriptorShare is the
	// share of the descriptors that they may take.
	peerConnections     = 1024
	peerDescriptorShare = 0.25
)

// newBudget returns a budget of a share of the setting memory_mb.
func newBudget(memoryMB int, share float64) *memory.Budget {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	return memory.NewBudget(int64(share * float64(memoryMB) * (1 << 20)))
}

// Daemon is one running instance.
type Daemon struct {
	coreCfg         model.CoreConfig
	log             *telemetry.Log
	metrics         *telemetry.Metrics
	spans           *telemetry.Spans
	ring            *driver.Ring
	loop            *driver.Loop[model.Input, model.Output]
	api             *api.Server
	backend         *backend.Backend
	links           *peer.Links
	peerServer      *peer.Server
	configReader    *platform.ConfigReader
	instanceWatcher *platform.InstanceWatcher

	// set is the newest set that passed the check. It is used on the loop's
	// goroutine only.
	set *objects.Set
	// stopped is closed when the core has completed the graceful stop. failed
	// receives the errors of failed servers.
	stopped     chan struct{}
	stoppedOnce sync.Once
	failed      chan error

	httpListener, grpcListener net.Listener
	stopInstances              context.CancelFunc // ends instanceWatcher.Run
	running                    sync.WaitGroup     // the goroutines of Start
}

// Incarnation returns a new incarnation number for this instance. The number must rise
// with each restart, and an instance has no disk on which to keep a counter. So it is the
// wall-clock time in Unix nanoseconds, as two starts of an instance are always more than
// 1 ns apart. If the clock is set back between two starts, other instances take the
// new incarnation for an older one until the clock has caught up; keep the clocks
// synchronized.
func Incarnation() model.Incarnation { return model.Incarnation(time.Now().UnixNano()) }

// New opens the listeners and assembles the parts of an instance. Log lines go to w.
func New(s settings.Settings, w io.Writer) (*Daemon, error) {
	telemetry.QuietLibraries()
	coreCfg, err := coreConfig(s)
	if err != nil {
		return nil, err
	}
	d := &Daemon{coreCfg: coreCfg, metrics: telemetry.NewMetrics(), stopped: make(chan struct{}), failed: make(chan error, 2)}
	if err := d.listen(s); err != nil {
		return nil, err
	}
	if d.spans, err = telemetry.NewSpans(s.Spans, s.Instance, s.Place); err == nil {
		d.log, err = telemetry.NewLog(w, s.LogLevel, d.metrics)
	}
	if err != nil {
		return nil, errors.Join(err, d.httpListener.Close(), d.grpcListener.Close())
	}
	d.assemble(s)
	return d, nil
}

// coreConfig returns the configuration of the core for a new incarnation, with a
// random seed if the settings give none.
func coreConfig(s settings.Settings) (model.CoreConfig, error) {
	seed := s.Seed
	if seed == 0 {
		var raw [8]byte
		if _, err := cryptorand.Read(raw[:]); err != nil {
			return model.CoreConfig{}, err
		}
		seed = binary.LittleEndian.Uint64(raw[:])
	}
	return s.CoreConfig(Incarnation(), seed), nil
}

func (d *Daemon) listen(s settings.Settings) error {
	var err error
	if d.httpListener, err = net.Listen("tcp", s.HTTPListen); err != nil {
		return fmt.Errorf("http_listen: %w; use a free port of an address of this machine", err)
	}
	if d.grpcListener, err = net.Listen("tcp", s.GRPCListen); err != nil {
		return errors.Join(fmt.Errorf("grpc_listen: %w; use a free port of an address of this machine", err), d.httpListener.Close())
	}
	return nil
}

func (d *Daemon) assemble(s settings.Settings) {
	clock := driver.SystemClock{}
	d.ring = driver.NewRing(d.coreCfg, s.TraceRing)
	d.loop = driver.NewLoop(driver.Config[model.Input, model.Output]{
		Engine: engine.New(d.coreCfg), Actor: d, Recorder: d.ring, Observe: d.observe, Clock: clock, Ticked: d.metrics.Ticked,
	})
	d.metrics.SetQueueLength(d.loop.Queued)
	submit := d.loop.Submit
	d.api = api.New(api.Config{Core: d.coreCfg, Submit: submit, DumpTrace: d.ring.Dump, Metrics: d.metrics, Spans: d.spans,
		Memory: newBudget(s.MemoryMB, callerMemoryShare), MaxConnections: callers.MaxConnections(s.MaxConnections, callerDescriptorShare)}, d.httpListener.(*net.TCPListener))
	d.backend = backend.New(backend.Config{Submit: submit, BootTime: clock.Boot, Spans: d.spans, Metrics: d.metrics})
	peerCfg := peer.Config{Self: d.coreCfg.Self, Incarnation: d.coreCfg.Incarnation, Submit: submit, BootTime: clock.Boot, Log: d.log, Metrics: d.metrics}
	d.links, d.peerServer = peer.NewLinks(peerCfg), peer.NewServer(peerCfg, peer.NewGuard(callers.MaxConnections(peerConnections, peerDescriptorShare), newBudget(s.MemoryMB, peerMemoryShare)))
	d.configReader = platform.NewConfigReader(s.ConfigURL, s.ConfigKey, submit, d.log, d.metrics)
	d.instanceWatcher = platform.NewInstanceWatcher(s.InstancesURL, s.InstancesService, submit, d.log, d.metrics)
}

// Start starts all parts.
func (d *Daemon) Start() {
	d.log.Info("Started", map[string]any{"subject": d.coreCfg.Self, "incarnation": uint64(d.coreCfg.Incarnation),
		"http": d.httpListener.Addr().String(), "grpc": d.grpcListener.Addr().String(), "policy": string(d.coreCfg.Policy)})
	ctx, cancel := context.WithCancel(context.Background())
	d.stopInstances = cancel
	d.running.Go(d.loop.Run)
	d.running.Go(func() { d.reportServeError("grpc", d.peerServer.Serve(d.grpcListener)) })
	d.running.Go(func() { d.reportServeError("http", d.api.Start()) })
	d.running.Go(func() { d.instanceWatcher.Run(ctx) })
}

// reportServeError passes the error of a failed server to the channel of Failed.
func (d *Daemon) reportServeError(server string, err error) {
	if err := driver.ServeError(server, err); err != nil {
		d.failed <- err
	}
}

// Shutdown begins the graceful stop. When it is complete, Stopped is closed.
func (d *Daemon) Shutdown() {
	d.log.Info("ShutdownRequested", map[string]any{"subject": d.coreCfg.Self})
	d.loop.Submit(model.Shutdown{})
	d.api.BeginStop()
}

// Stopped returns a channel that is closed when the core has completed the graceful
// stop.
func (d *Daemon) Stopped() <-chan struct{} { return d.stopped }

// Failed returns a channel that receives the errors of failed servers.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Close ends all parts. First it lets calls that have arrived be answered, within
// callersTimeout, and then the messages that are queued for other instances be sent, within
// about a second.
func (d *Daemon) Close() {
	d.stopInstances()
	d.stopAPI()
	d.links.Close()
	d.configReader.Close()
	d.backend.Close()
	d.peerServer.Close()
	d.loop.Stop()
	d.running.Wait()
	d.log.Info("Stopped", map[string]any{"subject": d.coreCfg.Self})
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	d.spans.Close(ctx)
	d.log.Close()
}

const (
	// closeTimeout bounds the stop of the span exporter.
	closeTimeout = time.Second
	// callersTimeout bounds the stop of the HTTP server. A call may arrive at the end of
	// callers.MaxFreshTime on a connection that was accepted last; its answer has a second.
	callersTimeout = callers.MaxFreshTime + time.Second
)

// stopAPI stops the HTTP server. The core refuses the calls that still arrive.
func (d *Daemon) stopAPI() {
	ctx, cancel := context.WithTimeout(context.Background(), callersTimeout)
	defer cancel()
	d.api.Stop(ctx)
}

// observe passes new sets to the API and the backend, and inputs to the spans,
// before the core acts on them.
func (d *Daemon) observe(inputs []model.Input) {
	for _, in := range inputs {
		switch in := in.(type) {
		case model.ConfigResult:
			d.apply(in.Set)
		case model.PeerConfig:
			d.apply(in.Set)
		}
		d.spans.InputSeen(in)
	}
}

// apply passes a set to the API and the backend. The core adopts each set that is
// newer than the one in force, so the newest set that passed the check is the one in
// force.
func (d *Daemon) apply(set *objects.Set) {
	if set == nil || !set.Newer(d.set) {
		return
	}
	d.set = set
	d.backend.ApplySet(set)
	d.api.ApplySet(set)
}

// Act implements driver.Actor.
func (d *Daemon) Act(out model.Output) {
	switch out := out.(type) {
	case model.SendTarget:
		d.backend.Send(out)
	case model.CancelTarget:
		d.backend.Cancel(out.Work)
	case model.ProbeTarget:
		d.backend.Probe(out)
	case model.SendPeer:
		d.links.Send(d.spans.RelaySent(out))
	case model.ReadConfig:
		d.configReader.Read(out)
	case model.Event:
		d.metrics.EventSeen(out.Name)
		d.log.Event(out)
	case model.Stopped:
		d.stoppedOnce.Do(func() { close(d.stopped) })
	default:
		if !d.api.HandleOutput(out) {
			d.log.Error("OutputUnknown", map[string]any{"subject": fmt.Sprintf("%T", out)})
		}
	}
}
