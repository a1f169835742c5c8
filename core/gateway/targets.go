package gateway

import (
	"slices"
	"strconv"
	"time"

	"galenadyke.dev/core/model"
)

// service is a row of the table of services.
type service struct {
	id     ServiceID
	limits Service
	// shard is set once a configuration has the service as a shard of a gathering route.
	shard   bool
	targets []*target // in the order in which they were listed
	budget  retryBudget
	// recent are the times of the last attempts that targets answered.
	recent recentTimes
	// waiting is the queue of parts that wait for a target with a free connection.
	waiting []waitingPart
}

// target is a row of the table of targets. All times are on the Boot clock.
type target struct {
	Target
	// era is the store's era of the entry.
	era       uint64
	coldUntil time.Duration
	// gone is set when the target was removed, or another target has its address.
	gone bool
	// leaving is set once an answer of the target stated that it is about to end. It is never
	// taken back.
	leaving bool
	pause   pause
	// lapsedAt is when the entry was removed during or shortly after an outage of
	// the store; 0 if the entry exists.
	lapsedAt time.Duration

	inFlight []*attempt // in the order of sending

	// slowness is the moving average of the ratio of observed to typical service
	// time, without the network round trip, as of the last sample at slownessAt.
	slowness   float64
	slownessAt time.Duration
	// lastRatio is the latest sample of slowness.
	lastRatio float64
	// failures is the moving average of the share of attempts that failed, as of the
	// last sample at failuresAt.
	failures   float64
	failuresAt time.Duration
	// consecutiveFailures counts the failures since the last answer. downUntil is when
	// a target that is down may be tried again; downBackoff is the present delay
	// between tries, 0 if the target is up.
	consecutiveFailures int
	downUntil           time.Duration
	downBackoff         time.Duration
	// silentSince is the time at which an attempt was sent that timed out after
	// silentAfter or more: the first such attempt since the target's last answer. It is
	// 0 if there is none.
	silentSince time.Duration

	// directUntil is until when attempts are not sent through a forwarder, as one refused.
	directUntil time.Duration

	// breaks are the attempts that broke since the last result of a probe, at most maxBreaks.
	breaks []brokenAttempt
	// soundAt is the time of the last probe that connected.
	soundAt time.Duration

	load         Load          // last load report
	loadAt       time.Duration // time of the last load report, 0 if there is none
	coldRequests recentRequests
	rateLimit    rateLimit
}

func (g *Gateway) service(id ServiceID) *service {
	s := g.services[id]
	if s == nil {
		s = &service{id: id, limits: Service{Name: id}}
		g.services[id] = s
	}
	return s
}

// storeState is what is known of the platform's store.
type storeState struct {
	known    bool // whether a complete read has arrived
	relayed  bool // whether the last read came from another instance
	position StorePosition
	// answeredAt is when the store last answered this instance or its source.
	answeredAt time.Duration
	// lost is set while the store does not answer this instance or its source, and
	// lostAt is when that began. returnedAt is when the store last answered again after
	// it was lost, 0 if that never happened.
	lost       bool
	lostAt     time.Duration
	returnedAt time.Duration
}

// returnedWithin reports whether the store answered again less than d ago.
func (s *storeState) returnedWithin(now, d time.Duration) bool {
	return s.returnedAt > 0 && now-s.returnedAt < d
}

func (g *Gateway) storeAnswered(in StoreAnswered) {
	g.store.answeredAt = max(g.store.answeredAt, g.now-in.Age)
	if g.store.lost {
		g.store.lost, g.store.returnedAt = false, g.now
		g.emit(Event{Name: "StoreRegained", Subject: "store", Before: "lost", After: "answers"})
	}
}

func (g *Gateway) storeFailed(in StoreFailed) {
	if !g.store.lost {
		g.store.lost, g.store.lostAt = true, g.now
		g.emit(Event{Name: "StoreLost", Subject: "store", Before: "answers", After: in.Cause, Warning: true})
	}
	if g.source.from != "" {
		g.avoidSource()
	}
	g.chooseSource()
}

// storeRead applies a change of the store unless it is older than the known state. A
// relayed change must be newer, and the first one of a new era complete.
func (g *Gateway) storeRead(in StoreRead) {
	known, read := g.store.position, in.position()
	restored := known.BeforeEra(read)
	if read.Before(known) || (in.Relayed && !known.Before(read)) || (restored && !in.Complete) {
		return
	}
	g.store.position, g.store.relayed = StorePosition{max(known.Era, read.Era), read.Revision}, in.Relayed
	g.gather.places = nil
	if restored {
		g.storeRestored(known, read)
	}
	if in.Complete {
		g.replaceAll(in)
	} else {
		for _, t := range in.Targets {
			g.entryRead(t)
		}
		for _, id := range in.Removed {
			g.entryRemoved(id)
		}
		for _, p := range in.Evacuated {
			g.evacuationRead(p, true)
		}
		for _, p := range in.Restored {
			g.evacuationRead(p, false)
		}
	}
	g.dispatchAll()
}

// replaceAll applies a complete read: targets and evacuations that it lacks are
// removed.
func (g *Gateway) replaceAll(in StoreRead) {
	g.store.known, g.departureQueries = true, departureQueryRounds
	inRead := make(map[model.TargetID]bool, len(in.Targets))
	for _, t := range in.Targets {
		inRead[t.ID] = true
		g.entryRead(t)
	}
	for _, id := range sortedKeys(g.targets) {
		if !inRead[id] {
			g.entryRemoved(id)
		}
	}
	for id, d := range g.departures {
		if !inRead[id] {
			d.ignored = nil
		}
	}
	evacuatedInRead := make(map[model.PlaceID]bool, len(in.Evacuated))
	for _, p := range in.Evacuated {
		evacuatedInRead[p] = true
		g.evacuationRead(p, true)
	}
	for _, p := range sortedKeys(g.evacuated) {
		if !evacuatedInRead[p] && !g.restore.evacuations[p] {
			g.setEvacuated(p, false)
		}
	}
}

func (g *Gateway) setEvacuated(p model.PlaceID, isEvacuated bool) {
	if g.evacuated[p] == isEvacuated {
		return
	}
	if isEvacuated {
		g.evacuated[p] = true
	} else {
		delete(g.evacuated, p)
	}
	g.emit(Event{Name: "PlaceEvacuated", Subject: string(p), Before: strconv.FormatBool(!isEvacuated), After: strconv.FormatBool(isEvacuated)})
}

// upsertTarget adds or updates a target. An entry with another incarnation, address
// or service discards everything that was known of the target.
func (g *Gateway) upsertTarget(in Target) {
	t := g.targets[in.ID]
	if t != nil && (t.Address != in.Address || t.Service != in.Service || t.StartedAtMillis != in.StartedAtMillis) {
		g.removeTarget(t)
		t = nil
	}
	if t == nil {
		t = &target{Target: in, slowness: 1}
		g.targets[in.ID] = t
		s := g.service(in.Service)
		s.targets = append(s.targets, t)
		g.openAhead(t)
	} else if t.State != in.State {
		g.emit(Event{Name: "TargetState", Subject: string(t.ID), Before: t.State.String(), After: in.State.String()})
	}
	t.Target = in
	t.era = g.store.position.Era
	t.lapsedAt = 0
	t.coldUntil = 0
	if in.ColdFor > 0 {
		t.coldUntil = g.now + in.ColdFor
	}
}

// openAhead opens a connection to a new target before there is a request for it. Right
// after the start an instance knows no larger instance and would take itself for a
// gatherer. As each connection costs the target time, no connection is opened ahead
// before gathererSearchTime.
func (g *Gateway) openAhead(t *target) {
	if g.now-g.startedAt >= gathererSearchTime && t.State == TargetReady && g.mayOpenAhead(t, g.service(t.Service)) {
		g.emit(OpenConnection{Target: t.ID, Address: t.Address})
	}
}

// openAllAhead opens connections to the targets that were listed during
// gathererSearchTime and have not been used yet.
func (g *Gateway) openAllAhead() {
	for _, id := range sortedKeys(g.targets) {
		if t := g.targets[id]; len(t.inFlight) == 0 && t.slownessAt == 0 {
			g.openAhead(t)
		}
	}
}

// mayOpenAhead reports whether this instance is likely to send work to a new target
// and the target accepts two connections from each instance that sends to it.
func (g *Gateway) mayOpenAhead(t *target, s *service) bool {
	if !g.hasGatherCapacity(g.cfg.Capacity) || (s.limits.MaxConnections > 0 && 2*g.sendingInstances(s) > s.limits.MaxConnections) {
		return false
	}
	if t.Place == g.cfg.Place {
		return true
	}
	if s.shard && g.hasForwarder(t.Place) {
		return false
	}
	return slices.ContainsFunc(s.targets, func(other *target) bool { return other.Place == g.cfg.Place })
}

// entryRemoved handles the removal of a target's entry. During an outage of the store
// the entries of live targets lapse too, so a ready target stays in use until
// lapseGrace after the store has returned.
func (g *Gateway) entryRemoved(id model.TargetID) {
	if d := g.departures[id]; d != nil {
		d.ignored = nil
	}
	t := g.targets[id]
	if t == nil {
		return
	}
	if t.lapsedAt == 0 && t.State == TargetReady && !t.leaving && g.storeRecentlyLost() {
		t.lapsedAt = g.now
		g.removeLapsed(t)
		return
	}
	if t.lapsedAt == 0 {
		g.targetLeft(t)
	}
}

// removeLapsed removes a target whose entry lapsed, once lapseGrace has passed since the store
// returned, unless the entry is back by then.
func (g *Gateway) removeLapsed(t *target) {
	switch {
	case g.targets[t.ID] != t || t.lapsedAt == 0:
	case g.store.lost:
		g.after(lapseGrace, func() { g.removeLapsed(t) })
	case g.store.returnedWithin(g.now, lapseGrace):
		g.after(g.store.returnedAt+lapseGrace-g.now, func() { g.removeLapsed(t) })
	default:
		g.targetLeft(t)
	}
}

// storeRecentlyLost reports whether the store does not answer or returned less than
// lapseGrace ago.
func (g *Gateway) storeRecentlyLost() bool {
	return g.store.lost || g.store.returnedWithin(g.now, lapseGrace)
}

// targetLeaving stops sending work to a target that has stated that it is about to end, before
// its entry shows it. Attempts in flight continue.
func (g *Gateway) targetLeaving(t *target) {
	if t.leaving {
		return
	}
	t.leaving = true
	g.gather.places = nil
	g.emit(CloseIdleConnections{Target: t.ID, Address: t.Address})
	g.emit(Event{Name: "TargetLeaving", Subject: string(t.ID), Before: t.State.String(), After: "leaving"})
}

// removeTarget removes a target. Its attempts in flight continue.
func (g *Gateway) removeTarget(t *target) {
	g.gather.places = nil
	delete(g.targets, t.ID)
	t.gone = true
	s := g.service(t.Service)
	s.targets = slices.DeleteFunc(s.targets, func(other *target) bool { return other == t })
	g.emit(CloseIdleConnections{Target: t.ID, Address: t.Address})
	g.emit(Event{Name: "TargetGone", Subject: string(t.ID), Before: t.State.String(), After: "gone"})
}

// String returns the name used in logs.
func (s TargetState) String() string {
	if s == TargetDraining {
		return "draining"
	}
	return "ready"
}

// observe updates the state of a target from the end of an attempt.
func (g *Gateway) observe(a *attempt, in AttemptEnded) {
	t := a.target
	t.removeAttempt(a)
	if a.lostWithForwarder {
		return
	}
	if in.HasLoad {
		t.load, t.loadAt = in.Load, g.now
	}
	if in.HasCold {
		t.coldUntil = g.now + in.ColdFor
	}
	g.observeRateLimit(a, in)
	if in.Leaving {
		g.targetLeaving(t)
	}
	g.observePause(a, in)
	if in.Outcome == OutcomeSuccess || in.Outcome == OutcomeFailure {
		g.service(t.Service).recent.add(g.now - a.sentAt)
	}
	switch in.Outcome {
	case OutcomeSuccess:
		g.observeLatency(a, in)
		t.recordAnswer()
		t.recordFailure(g.now, 0)
	case OutcomeFailure:
		t.recordAnswer()
		t.recordFailure(g.now, 1)
	case OutcomeRejected:
		t.recordAnswer()
	case OutcomeShed:
		t.recordAnswer()
		t.recordFailure(g.now, 0.5)
	case OutcomeMisdirected:
		t.gone = true
		g.gather.places = nil
		g.emit(Event{Name: "TargetReplaced", Subject: string(t.ID), Before: t.Address, After: "address taken by another target", Warning: true})
	case OutcomeBroken:
		t.recordFailure(g.now, 1)
		g.countFailure(t, in.Cause)
	case OutcomeNotSent:
		t.recordFailure(g.now, 1)
		g.countFailure(t, in.Cause)
	case OutcomeTimedOut:
		if g.now-a.sentAt >= silentAfter && t.silentSince == 0 {
			t.silentSince = a.sentAt
			g.markDown(t, "silent")
		} else if g.now-a.sentAt >= silentAfter {
			g.countFailure(t, "silent")
		}
	}
}

// observeLatency updates the latencies of the route and the slowness of the target
// from a successful answer. It ignores an attempt that had to open a connection.
func (g *Gateway) observeLatency(a *attempt, in AttemptEnded) {
	if !in.Reused {
		return
	}
	took := max(0, g.now-a.sentAt-g.roundTrip(a.target.Place))
	h := g.routeLatency(a.request.route.Name)
	typical := h.quantile(0.5, defaultServiceTime)
	h.add(took)
	t := a.target
	ratio := min(maxSlowness, float64(took)/float64(typical))
	// A single slow answer is a pause or a straggler; only two in a row show a slow
	// target.
	ratio, t.lastRatio = min(ratio, max(1, t.lastRatio)), ratio
	t.slowness = t.slownessNow(g.now)*(1-slownessSmoothing) + ratio*slownessSmoothing
	t.slownessAt = g.now
}

// recordAnswer marks the target as up.
func (t *target) recordAnswer() {
	t.consecutiveFailures, t.downUntil, t.downBackoff, t.silentSince = 0, 0, 0, 0
}

// recordFailure adds a sample to the failure rate: 0 for a success, 0.5 for a shed
// request, 1 for a failure.
func (t *target) recordFailure(now time.Duration, sample float64) {
	t.failures = t.failuresNow(now)*(1-failureSmoothing) + sample*failureSmoothing
	t.failuresAt = now
}

// countFailure counts an attempt without an answer. It marks the target as down after
// downAfterFailures of them, or again if the target was already down.
func (g *Gateway) countFailure(t *target, cause string) {
	t.consecutiveFailures++
	if t.consecutiveFailures >= downAfterFailures || t.downBackoff > 0 {
		g.markDown(t, cause)
	}
}

// markDown excludes the target for a delay that doubles each time, up to
// maxDownBackoff.
func (g *Gateway) markDown(t *target, cause string) {
	if t.downBackoff == 0 {
		g.emit(Event{Name: "TargetDown", Subject: string(t.ID), Before: "up", After: cause, Warning: true})
	}
	t.downBackoff = min(maxDownBackoff, max(minDownBackoff, 2*t.downBackoff))
	t.downUntil = g.now + t.downBackoff
}

func (t *target) slownessNow(now time.Duration) float64 {
	return 1 + (t.slowness-1)*decay(now-t.slownessAt, slownessDecay)
}

func (t *target) failuresNow(now time.Duration) float64 {
	return t.failures * decay(now-t.failuresAt, failureDecay)
}

func (t *target) removeAttempt(a *attempt) {
	t.inFlight = slices.DeleteFunc(t.inFlight, func(other *attempt) bool { return other == a })
}
