package gateway

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// Limits are the settings that may change while the instance runs.
type Limits struct {
	// Seeds are the addresses at which other instances may receive state messages.
	Seeds []string
	// Budget bounds, for each service, the attempts beyond the first of each request.
	Budget BudgetLimits
	// ColdOvershoot and ColdSlack bound the requests per second to a cold target,
	// summed over all instances, to WarmupRate * ColdOvershoot + ColdSlack.
	ColdOvershoot float64
	ColdSlack     float64
	// StopTime bounds the duration of the graceful stop.
	StopTime time.Duration
}

// Config configures a Gateway.
type Config struct {
	Self model.InstanceID
	// Address is the address at which this instance receives state messages.
	Address string
	Place   model.PlaceID
	// Capacity is the processor capacity of this instance, in cores.
	Capacity float64
	// Incarnation is a random number drawn at each start. It identifies the run of
	// the instance.
	Incarnation uint64
	Seed        uint64
	Limits
}

// Gateway is the decision core. It is not safe for concurrent use.
type Gateway struct {
	cfg Config
	now time.Duration // Boot clock of the present tick
	// startedAt is the time of the first tick, on the Boot clock.
	startedAt time.Duration
	rng       *rand.Rand

	inputs []Input
	out    []Output
	timers timerHeap
	// cancelledTimers is the number of timers whose task was cancelled.
	cancelledTimers int

	config      *Configuration // nil until known
	routes      *routes
	roundRobins map[string]*weightedRoundRobin // by route name
	latency     map[string]*histogram          // by route name

	services  map[ServiceID]*service
	targets   map[model.TargetID]*target
	evacuated map[model.PlaceID]bool // data centres that operators evacuated
	// roundTrips are the network round-trip times to data centres, where known.
	roundTrips map[model.PlaceID]time.Duration
	store      storeState
	restore    restoreState
	// departures are the targets that left within departureMemory.
	departures map[model.TargetID]*departure
	// departureQueries is the number of rounds of state messages that ask others for their
	// departures, as this instance may have missed some.
	departureQueries int

	requests map[RequestID]*request
	attempts map[AttemptID]*attempt
	batches  map[AttemptID]*batch // by ID
	// collecting are the requests with attempts that are sent at the end of the tick.
	collecting []*request
	// withDeferredParts are the requests with parts that wait until the request is cleared.
	withDeferredParts []*request
	// probes are the targets with a probe in progress.
	probes map[model.TargetID]*target
	lastID AttemptID

	members members
	crashes crashTable
	source  source
	gather  gatherState
	stop    stopState
	ready   ReadinessChanged // present readiness
}

// New returns a gateway that has no configuration yet.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		roundRobins: make(map[string]*weightedRoundRobin),
		latency:     make(map[string]*histogram),
		services:    make(map[ServiceID]*service),
		targets:     make(map[model.TargetID]*target),
		evacuated:   make(map[model.PlaceID]bool),
		roundTrips:  make(map[model.PlaceID]time.Duration),
		requests:    make(map[RequestID]*request),
		attempts:    make(map[AttemptID]*attempt),
		batches:     make(map[AttemptID]*batch),
		probes:      make(map[model.TargetID]*target),
		ready:       ReadinessChanged{Reason: "no configuration is known yet"},
	}
	g.members.byName = make(map[model.InstanceID]*member)
	g.crashes = newCrashTable()
	g.restore = restoreState{evacuations: make(map[model.PlaceID]bool)}
	g.departures = make(map[model.TargetID]*departure)
	return g
}

// Step records an input for the next tick.
func (g *Gateway) Step(in Input) { g.inputs = append(g.inputs, in) }

// Tick handles the recorded inputs and the due timers, and returns the outputs for
// the driver to carry out. The slice is valid until the next call.
func (g *Gateway) Tick(now model.Now) []Output {
	clear(g.out)
	g.out = g.out[:0]
	first := g.now == 0
	g.now = now.Boot
	if first {
		g.begin()
	}
	for _, in := range g.inputs {
		g.handle(in)
	}
	clear(g.inputs)
	g.inputs = g.inputs[:0]
	for len(g.timers) > 0 && g.timers[0].at <= g.now {
		t := heap.Pop(&g.timers).(timer).task
		if t.fire == nil {
			g.cancelledTimers--
			continue
		}
		fire := t.fire
		t.fire = nil
		fire()
	}
	g.resumeDeferred()
	g.sendAllCollected()
	g.updateReady()
	return g.out
}

// NextWake returns the time of the next timer on the Boot clock, or model.NoWake
// if there is none.
func (g *Gateway) NextWake() time.Duration {
	if len(g.timers) == 0 {
		return model.NoWake
	}
	return g.timers[0].at
}

// begin starts the periodic and delayed work at the first tick.
func (g *Gateway) begin() {
	g.startedAt, g.departureQueries = g.now, departureQueryRounds
	g.after(sourceStartDelay, g.chooseSource)
	g.after(gathererSearchTime, g.openAllAhead)
	g.gossip()
}

func (g *Gateway) handle(in Input) {
	switch in := in.(type) {
	case Arrived:
		g.requestArrived(in)
	case CallerDisconnected:
		g.callerDisconnected(in.Request)
	case AttemptEnded:
		g.attemptEnded(in)
	case BatchArrived:
		g.batchArrived(in)
	case BatchReplied:
		g.batchReplied(in)
	case BatchEnded:
		g.batchEnded(in)
	case TargetProbed:
		g.targetProbed(in)
	case ConfigurationRead:
		g.adopt(in.Configuration)
	case StoreRead:
		g.storeRead(in)
	case StoreAnswered:
		g.storeAnswered(in)
	case StoreFailed:
		g.storeFailed(in)
	case SourceFailed:
		g.sourceFailed(in)
	case StateReceived:
		g.stateReceived(in)
	case LimitsChanged:
		g.cfg.Limits = in.Limits
	case Stop:
		g.beginStop()
	}
}

func (g *Gateway) emit(out Output) { g.out = append(g.out, out) }

// adopt puts a configuration in force if its version is higher than the present one.
func (g *Gateway) adopt(c *Configuration) {
	previous := g.configurationVersion()
	if g.config != nil && c.Version <= previous {
		return
	}
	g.config, g.routes = c, newRoutes(c)
	g.gather.places = nil
	for _, s := range c.Services {
		g.service(s.Name).limits = s
	}
	for i := range c.Routes {
		for _, id := range c.Routes[i].Shards {
			g.service(id).shard = true
		}
	}
	g.emit(Event{Name: "ConfigurationAdopted", Subject: string(g.cfg.Self), Before: formatUint(previous), After: formatUint(c.Version)})
}

// configurationVersion returns the version of the configuration in force, 0 if there is none.
func (g *Gateway) configurationVersion() uint64 {
	if g.config == nil {
		return 0
	}
	return g.config.Version
}

// typicalServiceTime returns the median time that targets take for an attempt of
// the route, without the network round trip.
func (g *Gateway) typicalServiceTime(r *Route) time.Duration {
	return g.routeLatency(r.Name).quantile(0.5, defaultServiceTime)
}

func (g *Gateway) routeLatency(name string) *histogram {
	h := g.latency[name]
	if h == nil {
		h = &histogram{}
		g.latency[name] = h
	}
	return h
}

// timer runs a task at a time on the Boot clock.
type timer struct {
	at   time.Duration
	task *task
}

// task is what a timer does. Only the timers of requests are cancelled, so fire checks whether
// the state that it refers to still exists.
type task struct{ fire func() } // nil if it was cancelled or has run

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

// after schedules fire for d from now, and returns the task.
func (g *Gateway) after(d time.Duration, fire func()) *task {
	t := &task{fire}
	heap.Push(&g.timers, timer{at: g.now + d, task: t})
	return t
}

// afterFor schedules fire for d from now, unless the request is removed from the table before.
func (g *Gateway) afterFor(r *request, d time.Duration, fire func()) {
	r.timers = append(r.timers, g.after(d, fire))
}

// minCancelledTimers is the number of cancelled timers from which they are removed early.
const minCancelledTimers = 256

// cancelTimers cancels the timers of a request. Most requests end long before their deadline,
// and a timer refers to its request. Once half of all timers are cancelled, these are removed.
func (g *Gateway) cancelTimers(r *request) {
	for _, t := range r.timers {
		if t.fire != nil {
			t.fire = nil
			g.cancelledTimers++
		}
	}
	r.timers = nil
	if g.cancelledTimers < minCancelledTimers || g.cancelledTimers < len(g.timers)/2 {
		return
	}
	g.timers = slices.DeleteFunc(g.timers, func(t timer) bool { return t.task.fire == nil })
	heap.Init(&g.timers)
	g.cancelledTimers = 0
}
