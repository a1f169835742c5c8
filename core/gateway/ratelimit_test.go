package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// limitWindow is the time over which the requests to a target with a rate limit are counted,
// and limitOvershoot and limitSlack are the bound: limitOvershoot times what the limit allows
// in that time, plus limitSlack. An instance counts limitNotice after it was told, and all of
// them limitSettling after the target first stated the limit.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	limitNotice    = 500 * ms
	limitSettling  = 4 * time.Second
)

// limitedTarget is a target that states a rate limit from a time on, and counts the requests
// of instances that have been told.
type limitedTarget struct {
	rate        float64
	from, until time.Duration
	toldAt      map[*harness]time.Duration
	arrivals    []time.Duration
}

func newLimitedTarget(rate float64, from, until time.Duration) *limitedTarget {
	return &limitedTarget{rate: rate, from: from, until: until, toldAt: make(map[*harness]time.Duration)}
}

// behaviour returns the target's behaviour towards an instance: it answers after 10 ms.
func (l *limitedTarget) behaviour(h *harness) targetBehaviour {
	return func(s SendAttempt) (time.Duration, AttemptEnded) {
		after, ended := answersAfter(10 * ms)(s)
		if told, ok := l.toldAt[h]; ok && h.now >= told+limitNotice && h.now >= l.from+limitSettling && h.now < l.until {
			l.arrivals = append(l.arrivals, h.now)
		}
		if h.now >= l.from && h.now < l.until {
			ended.RateLimit, ended.HasRateLimit = l.rate, true
			if _, ok := l.toldAt[h]; !ok {
				l.toldAt[h] = h.now + after
			}
		}
		return after, ended
	}
}

// most returns the largest number of counted requests in a limitWindow.
func (l *limitedTarget) most() int {
	most, first := 0, 0
	slices.Sort(l.arrivals)
	for i, at := range l.arrivals {
		for at-l.arrivals[first] > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (l *limitedTarget) allowed() int {
	return int(limitOvershoot*l.rate*limitWindow.Seconds() + limitSlack)
}

// limitFleet is a fleet of instances in one data centre that know each other.
type limitFleet struct {
	t         *testing.T
	instances []*harness
	rng       *rand.Rand
	heartbeat uint64
	answered  int // number of requests with a usable answer
	requests  int
}

// newLimitFleet starts n instances with a configuration and targets.
func newLimitFleet(t *testing.T, n int, seed uint64, targets []Target, route Route) *limitFleet {
	f := &limitFleet{t: t, rng: rand.New(rand.NewPCG(seed, 0))}
	for i := range n {
		h := newHarness(t, func(c *Config) { c.Self, c.Seed = f.name(i), seed*1000+uint64(i) })
		h.publish(1, targets, route)
		f.instances = append(f.instances, h)
	}
	return f
}

func (f *limitFleet) name(i int) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("instance-%03d", i))
}

// run plays d with a number of requests a second that arrive at random instances.
func (f *limitFleet) run(d time.Duration, path string, perSecond float64) {
	const slice = 5 * ms
	for passed := time.Duration(0); passed < d; passed += slice {
		if f.instances[0].now%time.Second < slice {
			f.exchangeStates()
		}
		for due := perSecond * slice.Seconds(); due > 0; due-- {
			if f.rng.Float64() < due {
				f.requests++
				f.instances[f.rng.IntN(len(f.instances))].request(path, time.Second)
			}
		}
		for _, h := range f.instances {
			h.run(slice)
		}
	}
	f.answered = 0
	for _, h := range f.instances {
		for _, a := range h.answers {
			if a.Served() {
				f.answered++
			}
		}
	}
}

// exchangeStates makes all instances known to each other as alive.
func (f *limitFleet) exchangeStates() {
	f.heartbeat++
	for _, h := range f.instances {
		for i := range f.instances {
			m := otherMember(0)
			m.Name, m.Address, m.Place, m.Configuration, m.Heartbeat = f.name(i), fmt.Sprintf("10.0.1.%d:7000", i), "ikeja", 1, f.heartbeat
			h.g.Step(StateReceived{State: StateMessage{Sender: m}})
		}
		h.tick()
	}
}

// Guards against a target that gets far more requests than the limit that it states, from
// instances that each know the limit.
func TestRequestsOfAllInstancesStayWithinTheStatedLimit(t *testing.T) {
	for _, c := range []struct {
		instances int
		rate      float64 // stated by one of two targets
		perSecond float64 // of requests to the fleet
		gathering bool
	}{
		{7, 22.9, 90, true}, {8, 5, 90, true}, {21, 22.9, 90, true}, {4, 60, 200, true},
		{8, 1.4, 12, false}, {8, 30, 120, false}, {71, 10, 60, false}, {71, 1.3, 20, false}, {20, 0, 20, false},
	} {
		t.Run(fmt.Sprintf("%d instances, %.1f a second, gathering %v", c.instances, c.rate, c.gathering), func(t *testing.T) {
			for seed := range uint64(3) {
				route, path, service := plainRoute(true), "/p/x", ServiceID("s")
				targets := readyTargets("s", 2)
				if c.gathering {
					route, path, service, targets = gatherRoute(2, 1), "/g/x", shard(0), shardTargets(2)
				}
				f := newLimitFleet(t, c.instances, seed, targets, route)
				l := newLimitedTarget(c.rate, 5*time.Second, 30*time.Second)
				for _, h := range f.instances {
					h.targets[model.TargetID(string(service)+"-0")] = l.behaviour(h)
				}
				f.run(30*time.Second, path, c.perSecond)
				if most := l.most(); most > l.allowed() {
					t.Errorf("seed %d: the target got %d requests in %v, allowed %d", seed, most, limitWindow, l.allowed())
				}
				if f.answered < f.requests*98/100 {
					t.Errorf("seed %d: %d of %d requests were answered although the other target has no limit", seed, f.answered, f.requests)
				}
			}
		})
	}
}

// stateLimit passes the answer to a plain request that states a limit, or none if rate is
// negative, and returns the target.
func (h *harness) stateLimit(rate float64) model.TargetID {
	id := h.request("/p/x", time.Second)
	sent := h.sent[len(h.sent)-1]
	if sent.Request != id {
		h.t.Fatal("the request was not sent")
	}
	h.now += 10 * ms
	h.step(AttemptEnded{Attempt: sent.Attempt, Outcome: OutcomeSuccess, Status: 200, Reused: true, RateLimit: max(0, rate), HasRateLimit: rate >= 0})
	return sent.Target
}

// Guards against requests that wait, or that are sent beyond the limit, when all targets are
// at their rate limit: they are refused at once as not run.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t)
		h.publish(1, readyTargets("s", 2), plainRoute(idempotent))
		h.targets["s-0"], h.targets["s-1"] = neverAnswers, neverAnswers
		for range 2 {
			h.stateLimit(0.5)
		}
		refused := 0
		for range 10 {
			id, before := h.request("/p/x", time.Second), h.now
			if a, ok := h.answers[id]; ok && a.Kind == AnswerRefused && a.RetryAfter > 0 && h.answeredAt[id] == before && a.Attempts == 0 {
				refused++
			}
		}
		if refused != 10 {
			t.Errorf("idempotent %v: got %d of 10 requests refused at once, want 10", idempotent, refused)
		}
	}

	h := newHarness(t)
	h.publish(1, shardTargets(4), gatherRoute(4, 0.9))
	for _, target := range h.g.targets {
		if target.Service == shard(0) {
			target.rateLimit = rateLimit{stated: true, rate: 1, refilledAt: h.now}
		}
	}
	id := h.request("/g/x", time.Second)
	if a := h.answers[id]; a.Kind != AnswerRefused || a.Attempts != 0 {
		t.Errorf("got answer %+v to a query that can't reach its coverage within the limits, want it refused before anything is sent", a)
	}
}

// Guards against a limit that holds after the target no longer states it, and against one
// that an answer from before the statement ends.
func TestLimitEndsWithAnAnswerThatDoesNotStateIt(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 1), plainRoute(true))
	h.targets["s-0"] = neverAnswers
	h.request("/p/x", time.Second)
	early := h.sent[len(h.sent)-1].Attempt
	h.stateLimit(20)
	h.step(AttemptEnded{Attempt: early, Outcome: OutcomeSuccess, Status: 200, Reused: true})
	if !h.g.targets["s-0"].rateLimit.stated {
		t.Error("an answer to an attempt that was sent before the limit was stated ended the limit")
	}
	h.run(time.Second)
	h.stateLimit(-1)
	delete(h.targets, "s-0")
	for range 20 {
		if id := h.request("/p/x", time.Second); len(h.sentTo(id)) != 1 {
			t.Fatal("a request was not sent after the limit had ended")
		}
		h.run(20 * ms)
	}
}

// Guards against a gathering instance that does not learn of the limit of a target which
// only a forwarder talks to.
func TestLimitReportedByAForwarderHolds(t *testing.T) {
	h := newHarnessWithForwarder(t, 4, 0.5)
	h.delegatedRequest()
	if len(h.batches) != 1 {
		t.Fatalf("got %d batches, want 1", len(h.batches))
	}
	b := h.batches[0]
	var ends []BatchEnd
	for i := range b.Targets {
		ends = append(ends, succeeded(i, fmt.Sprint("stamp-", i)))
	}
	ends[0].End.RateLimit, ends[0].End.HasRateLimit = 0, true
	h.step(BatchReplied{Batch: b.Batch, Ends: ends, Records: record(1)}, BatchEnded{Batch: b.Batch})
	limited := b.Targets[0]
	h.delegatedRequest()
	sent := 0
	for _, b := range h.batches[1:] {
		for _, id := range b.Targets {
			if id == limited {
				sent++
			}
		}
	}
	if sent != 0 || len(h.batches) < 2 {
		t.Errorf("got %d attempts at a target with a limit of 0 that a forwarder had reported, in %d batches; want none", sent, len(h.batches)-1)
	}
}

// Guards against an instance that forgets a limit although its target still states it, and
// against one that carries a limit over to the next incarnation of the target.
func TestLimitBelongsToOneIncarnation(t *testing.T) {
	h := newHarness(t)
	targets := readyTargets("s", 1)
	h.publish(1, targets, plainRoute(true))
	h.targets["s-0"] = neverAnswers
	h.stateLimit(0)
	h.step(StoreRead{Revision: 2, Targets: targets})
	if !h.g.targets["s-0"].rateLimit.stated {
		t.Error("a new report of the same incarnation ended the limit")
	}
	targets[0].StartedAtMillis = 7
	h.step(StoreRead{Revision: 3, Targets: targets})
	if h.g.targets["s-0"].rateLimit.stated {
		t.Error("the limit still holds for the next incarnation of the target")
	}
}
