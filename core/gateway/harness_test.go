package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

const ms = time.Millisecond

// behaviour says how a target ends an attempt: after which time, and how.
type behaviour func(SendAttempt) (time.Duration, AttemptEnded)

// world drives one gateway with targets that answer in its own time.
type world struct {
	t   *testing.T
	g   *Gateway
	now time.Duration
	// targets are the behaviours by target; the others answer after 10 ms.
	targets map[model.TargetID]behaviour
	due     []dueInput

	lastRequest RequestID
	sent        []SendAttempt
	sentAt      []time.Duration
	delegated   []Delegate
	cancelled   []AttemptID
	answers     map[RequestID]Answer
	answeredAt  map[RequestID]time.Duration
	events      []Event
	states      []SendState
	sources     []FollowStore
	fetches     []FetchState
	opened      []OpenConnection
	ready       ReadyChanged
	accepting   bool
	stopped     bool
}

type dueInput struct {
	at time.Duration
	in Input
}

func newWorld(t *testing.T, change ...func(*Config)) *world {
	cfg := Config{Self: "self", Address: "10.0.0.1:7000", Place: "ikeja", Capacity: 0.4, Life: 1, Seed: 1,
		Limits: Limits{Budget: BudgetLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: 50},
			ColdOvershoot: 1.5, ColdSlack: 5, StopTime: 6 * time.Second}}
	for _, c := range change {
		c(&cfg)
	}
	w := &world{t: t, g: New(cfg), now: time.Second, targets: make(map[model.TargetID]behaviour),
		answers: make(map[RequestID]Answer), answeredAt: make(map[RequestID]time.Duration), accepting: true}
	w.tick()
	return w
}

// step passes inputs and ticks once.
func (w *world) step(inputs ...Input) {
	for _, in := range inputs {
		w.g.Step(in)
	}
	w.tick()
}

func (w *world) tick() {
	for _, out := range w.g.Tick(model.Now{Mono: w.now, Boot: w.now}) {
		w.act(out)
	}
}

func (w *world) act(out Output) {
	switch out := out.(type) {
	case SendAttempt:
		w.sent, w.sentAt = append(w.sent, out), append(w.sentAt, w.now)
		does := w.targets[out.Target]
		if does == nil {
			does = answersAfter(10 * ms)
		}
		after, ended := does(out)
		ended.Attempt = out.Attempt
		w.due = append(w.due, dueInput{min(w.now+after, out.Deadline), ended})
	case Delegate:
		w.delegated = append(w.delegated, out)
	case CancelAttempt:
		w.cancelled = append(w.cancelled, out.Attempt)
		for i, d := range w.due {
			if e, ok := d.in.(AttemptEnded); ok && e.Attempt == out.Attempt {
				w.due[i] = dueInput{w.now, AttemptEnded{Attempt: out.Attempt, Outcome: OutcomeTimedOut}}
			}
		}
	case Answer:
		if _, again := w.answers[out.Request]; again {
			w.t.Errorf("request %d is answered twice", out.Request)
		}
		w.answers[out.Request], w.answeredAt[out.Request] = out, w.now
	case Event:
		w.events = append(w.events, out)
	case SendState:
		w.states = append(w.states, out)
	case FollowStore:
		w.sources = append(w.sources, out)
	case OpenConnection:
		w.opened = append(w.opened, out)
	case FetchState:
		w.fetches = append(w.fetches, out)
	case ReadyChanged:
		w.ready = out
	case StopAccepting:
		w.accepting = false
	case Stopped:
		w.stopped = true
	}
}

// run advances the time, tick by tick, to the next input or timer.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for {
		next := min(end, w.g.NextWake())
		for _, due := range w.due {
			next = min(next, due.at)
		}
		w.now = max(w.now, next)
		var inputs []Input
		w.due = slices.DeleteFunc(w.due, func(due dueInput) bool {
			if due.at <= w.now {
				inputs = append(inputs, due.in)
			}
			return due.at <= w.now
		})
		w.step(inputs...)
		if w.now >= end && len(inputs) == 0 && w.g.NextWake() > w.now {
			return
		}
	}
}

// request sends a request on the only host and returns its id.
func (w *world) request(path string, remaining time.Duration) RequestID {
	w.lastRequest++
	w.step(Arrived{Request: w.lastRequest, Host: "h.example", Path: path, At: w.now, Remaining: remaining})
	return w.lastRequest
}

// sentTo returns the targets of the attempts of a request, in order.
func (w *world) sentTo(id RequestID) []model.TargetID {
	var out []model.TargetID
	for _, s := range w.sent {
		if s.Request == id {
			out = append(out, s.Target)
		}
	}
	return out
}

func (w *world) saw(event, subject string) bool {
	return slices.ContainsFunc(w.events, func(e Event) bool { return e.Name == event && e.Subject == subject })
}

// answersAfter answers with success. Reused says that the time does not include
// a connect, so that the gateway learns from it.
func answersAfter(d time.Duration) behaviour {
	return func(s SendAttempt) (time.Duration, AttemptEnded) {
		return d, AttemptEnded{Outcome: OutcomeSuccess, Status: 200, Reused: true,
			Part: Part{Stamp: "stamp-" + string(s.Target), Records: record(byte(len(s.Target)))}}
	}
}

func endsAfter(d time.Duration, o Outcome) behaviour {
	return func(SendAttempt) (time.Duration, AttemptEnded) {
		return d, AttemptEnded{Outcome: o, Cause: o.String()}
	}
}

// silent never answers: the attempt ends at its deadline.
func silent(SendAttempt) (time.Duration, AttemptEnded) {
	return time.Hour, AttemptEnded{Outcome: OutcomeTimedOut}
}

// record returns a record whose first byte is b.
func record(b byte) []byte {
	r := make([]byte, RecordSize)
	r[0] = b
	return r
}

// listed returns n ready targets of a service, alternately in two places.
func listed(s ServiceID, n int) []Target {
	var out []Target
	for i := range n {
		place := model.PlaceID("ikeja")
		if i%2 == 1 {
			place = "lekki"
		}
		out = append(out, Target{ID: model.TargetID(fmt.Sprintf("%s-%d", s, i)), Service: s,
			Address: fmt.Sprintf("10.1.%d.%d:80", len(s), i+1), Place: place, Slots: 2})
	}
	return out
}

// plainRoute is a route to service "s" at /p/.
func plainRoute(idempotent bool) Route {
	return Route{Name: "plain", Host: "h.example", Prefix: "/p/", Idempotent: idempotent, Timeout: time.Second,
		LatencyObjective: 400 * ms, MaxAttempts: 2, Backends: []WeightedService{{Service: "s", Weight: 1}}}
}

// gatherRoute is a route over n shards at /g/.
func gatherRoute(n int, coverage float64) Route {
	r := Route{Name: "gather", Host: "h.example", Prefix: "/g/", Idempotent: true, Timeout: time.Second,
		LatencyObjective: 120 * ms, MaxAttempts: 2, TopK: 3, MinCoverage: coverage}
	for i := range n {
		r.Shards = append(r.Shards, shard(i))
	}
	return r
}

func shard(i int) ServiceID { return ServiceID(fmt.Sprintf("shard%02d", i)) }

// publish puts a configuration and all targets in force.
func (w *world) publish(version uint64, targets []Target, routes ...Route) {
	c := &Configuration{Version: version, Routes: routes}
	for i := range routes {
		for _, s := range routes[i].Shards {
			c.Services = append(c.Services, Service{Name: s, MaxConnections: 26})
		}
		for _, b := range routes[i].Backends {
			c.Services = append(c.Services, Service{Name: b.Service, MaxConnections: 100})
		}
	}
	if err := c.Check(); err != nil {
		w.t.Fatal(err)
	}
	w.step(ConfigurationRead{c}, StoreRead{Revision: version, Complete: true, Targets: targets})
}

// shardTargets returns two targets for each of n shards.
func shardTargets(n int) []Target {
	var out []Target
	for i := range n {
		out = append(out, listed(shard(i), 2)...)
	}
	return out
}
