package engine_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// checks holds the state with which a cluster checks the statements of design
// section 1.
type checks struct {
	// maxLeads is the number of instances that may act as lead of one target at the
	// same time. It exceeds 1 if views of the fleet may differ.
	maxLeads            int
	violations          []string
	loadStopped         bool
	faultInjected       bool
	configServiceFaulty bool // the configuration service has or may get an injected fault, so that new sets need not come into force
	searches            int
	incompleteSearches  int // searches that failed or had partial coverage
	unknownBookings     int // bookings with an unknown outcome
}

// callerCall is a call from a caller and its answers.
type callerCall struct {
	id          model.CallID
	node        *node
	incarnation model.Incarnation
	startedAt   time.Duration
	budget      time.Duration
	requestID   string // different for each call
	booking     model.BookingID
	repeats     int
	cancelled   bool
	answers     []model.Output
	onAnswer    func(model.Output) // called with the first answer; may be nil
}

// reportViolation records the violation of a statement of design section 1. Statement 0
// stands for the checks of checkRecovered. Only the first six violations are kept.
func (c *cluster) reportViolation(statement int, format string, args ...any) {
	if len(c.violations) < 6 {
		c.violations = append(c.violations, fmt.Sprintf("statement %d at %v: ", statement, c.now)+fmt.Sprintf(format, args...))
	}
}

// generateLoad sends searches and bookings at random until loadStopped is set. It cancels
// some of the searches.
func (c *cluster) generateLoad() {
	if c.loadStopped {
		return
	}
	if n := c.pickReadyInstance(); n != nil {
		call := c.search(n, 200*ms)
		if c.rng.IntN(30) == 0 {
			c.after(4*ms, func() { c.cancelCall(call) })
		}
	}
	if c.rng.IntN(3) == 0 {
		c.startBooking()
	}
	c.after(15*ms+time.Duration(c.rng.IntN(10000))*time.Microsecond, c.generateLoad)
}

// pickReadyInstance returns a random instance that the balancer may send calls to, or
// nil if there is none. An instance that was told to stop still gets calls during the
// balancer delay.
func (c *cluster) pickReadyInstance() *node {
	var ready []*node
	for _, n := range c.nodes {
		if n.up && (n.ready || n.stopRequestedAt > 0 && c.now-n.stopRequestedAt < 490*ms) {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[c.rng.IntN(len(ready))]
}

// newCall registers a new newCall at the instance.
func (c *cluster) newCall(n *node, budget time.Duration) *callerCall {
	id := model.CallID(len(c.callsInOrder) + 1)
	call := &callerCall{id: id, node: n, incarnation: n.incarnation, startedAt: c.now, budget: budget, requestID: fmt.Sprint("r", id)}
	c.calls[id] = call
	c.callsInOrder = append(c.callsInOrder, call)
	return call
}

func (c *cluster) search(n *node, budget time.Duration) *callerCall {
	call := c.newCall(n, budget)
	c.stepHook("SearchCall", n, nil, nil)
	n.step(model.SearchCall{Call: call.id, RequestID: call.requestID, Route: "search", Budget: budget, Body: []byte(call.requestID)})
	return call
}

func (c *cluster) cancelCall(call *callerCall) {
	if call.node.incarnation == call.incarnation {
		call.cancelled = true
		call.node.step(model.CancelCall{Call: call.id})
	}
}

// startBooking gets a booking id from a random instance and then sends the booking to a
// random instance, which may be a different one.
func (c *cluster) startBooking() {
	n := c.pickReadyInstance()
	if n == nil {
		return
	}
	ids := c.newCall(n, second)
	ids.onAnswer = func(o model.Output) {
		if b := o.(model.BookingIDs); b.Error == nil {
			c.book(b.IDs[0], 0)
		}
	}
	n.step(model.IssueBookingIDs{Call: ids.id, Count: 1})
}

// book sends a booking. It repeats the booking, up to two times, if the outcome is
// unknown, and at random in a quarter of all other cases.
func (c *cluster) book(id model.BookingID, repeats int) {
	n := c.pickReadyInstance()
	if n == nil {
		return
	}
	call := c.newCall(n, 400*ms)
	call.booking, call.repeats = id, repeats
	call.onAnswer = func(o model.Output) {
		outcomeUnknown := o.(model.BookAnswer).Error != nil && o.(model.BookAnswer).Error.Execution == model.Unknown
		if repeats < 2 && (outcomeUnknown || c.rng.IntN(4) == 0) {
			c.after(time.Duration(c.rng.IntN(600))*ms, func() { c.book(id, repeats+1) })
		}
	}
	c.stepHook("BookCall", n, nil, nil)
	n.step(model.BookCall{Call: call.id, RequestID: call.requestID, Booking: id, Route: "book", Budget: call.budget, Body: []byte(id.String())})
}

// receiveAnswer records and checks an answer to a caller.
func (c *cluster) receiveAnswer(n *node, o model.Output) {
	var call *callerCall
	switch o := o.(type) {
	case model.SearchAnswer:
		call = c.calls[o.Call]
		c.stepHook("SearchAnswer", n, nil, nil)
		c.checkSearch(call, &o)
	case model.BookAnswer:
		call = c.calls[o.Call]
		c.stepHook("BookAnswer", n, nil, nil)
		if o.Error == nil && string(o.Body) != call.booking.String()+" "+call.booking.String() {
			c.reportViolation(5, "booking %s: got answer %q, want that of its own execution", call.booking, o.Body)
		}
		if o.Error != nil && o.Error.Execution == model.Unknown {
			c.unknownBookings++
		}
	case model.BookingIDs:
		call = c.calls[o.Call]
	}
	call.answers = append(call.answers, o)
	if lateness := c.now - call.startedAt - call.budget; lateness > 0 && !n.faulted {
		c.reportViolation(5, "%s at %s answered %v after its deadline", call.requestID, n.id, lateness)
	}
	if call.onAnswer != nil && len(call.answers) == 1 && !call.cancelled {
		call.onAnswer(o)
	}
}

// checkSearch compares the answer to a search with the bodies of its parts. In these, the
// targets state the request, the version and the partitions that they searched.
func (c *cluster) checkSearch(call *callerCall, a *model.SearchAnswer) {
	c.searches++
	if a.Error != nil || a.Searched < a.Total {
		c.incompleteSearches++
	}
	if a.Error != nil {
		return
	}
	searched := map[string]bool{}
	for _, part := range a.Parts {
		var requestID string
		var version model.SnapshotVersion
		body, partitions, _ := strings.Cut(string(part.Body), "[")
		_, _ = fmt.Sscanf(body, "%s %d", &requestID, &version)
		if requestID != call.requestID {
			c.reportViolation(5, "search %s: got a part of the answer to %s", call.requestID, requestID)
		}
		if version != a.Snapshot {
			c.reportViolation(1, "search %s of version %d: got a part of version %d", call.requestID, a.Snapshot, version)
		}
		for _, partition := range strings.Fields(strings.TrimSuffix(partitions, "]")) {
			searched[partition] = true
		}
	}
	if len(searched) != a.Searched || a.Total != 2*c.searchGroups {
		c.reportViolation(2, "search %s: the answer states %d of %d partitions, but the targets searched %d", call.requestID, a.Searched, a.Total, len(searched))
	}
	if len(a.Missing)+len(a.Parts) != c.searchGroups {
		c.reportViolation(2, "search %s: got %d parts and %d missing groups, want one or the other for each group", call.requestID, len(a.Parts), len(a.Missing))
	}
}

// checkArrival checks that a target gets no new work once it has been out of service for
// withdrawalTime, except from an instance that may serve alone.
func (c *cluster) checkArrival(tgt *target, r *request) {
	if tgt.withdrawnAt > 0 && c.now > tgt.withdrawnAt+withdrawalTime+5*ms && !c.mayServeAlone(r.sender) {
		c.reportViolation(4, "target %s got request %s from %s %v after it was taken out of service, want no new work", tgt.Name, r.RequestID, r.sender.id, c.now-tgt.withdrawnAt)
	}
}

// mayServeAlone reports whether the instance cannot read the service but reaches half of
// the fleet or more, or did so less than withdrawalTime ago. Design section 3.6 lets such
// an instance keep its set in force, even if instances that it cannot reach accept a later
// one.
func (c *cluster) mayServeAlone(n *node) bool {
	reached, all := 0, 0
	for _, other := range c.nodes {
		if other.up {
			all++
		}
		if other.up && (other == n || !c.isCut(n, other)) {
			reached++
		}
	}
	if c.readService(n) == "" && reached < all && 2*reached >= all {
		n.lastServedAlone = c.now
	}
	return n.lastServedAlone > 0 && c.now < n.lastServedAlone+withdrawalTime
}

// checkRunning compares the requests in flight at a target with the number that it
// sustains: one after its start and one more after every eight completions, up to its
// slots. Until its restart must have been detected, all slots may be in use. Each of up to
// maxLeads leads may send this number.
func (c *cluster) checkRunning(tgt *target) {
	sustained := min(tgt.Slots, 1+tgt.completed/8)
	if c.now < tgt.startedAt+tgt.detectionTime {
		sustained = tgt.Slots
	}
	if inFlight := len(tgt.inFlight); inFlight > sustained*c.maxLeads {
		c.reportViolation(3, "target %s has %d requests in flight, but sustains only %d after %d completions", tgt.Name, inFlight, sustained, tgt.completed)
	}
}

// handleEvent checks and records a set that comes into force. It calls the step hook for
// events that are steps of a scenario.
func (c *cluster) handleEvent(n *node, o model.Event) {
	switch o.Name {
	case "ConfigAccepted":
		set := c.setByOrder(o.After)
		if n.acceptedSet != nil && !set.Newer(n.acceptedSet) {
			c.reportViolation(10, "%s replaced set %s by %s, which is not newer", n.id, o.Before, o.After)
		}
		n.acceptedSet = set
		c.stepHook("ConfigAccepted", n, nil, nil)
	case "LeadState":
		c.stepHook("LeadState "+o.After, n, nil, c.target(model.TargetID(o.Subject)))
	case "MemberStatus", "Stop":
		c.stepHook(o.Name+" "+o.After, n, c.node(model.InstanceID(o.Subject)), nil)
	}
}

// setByOrder returns the published set with the given order, in the text form of events,
// or nil if there is none.
func (c *cluster) setByOrder(order string) *objects.Set {
	for _, raw := range c.publishedRaws {
		if s := c.setsByRaw[raw]; order == fmt.Sprintf("%d/%s", s.Generation, s.Digest) {
			return s
		}
	}
	return nil
}

// checkSetInForce checks that the given set, or a newer one, is in force at all ready
// instances without a fault, unless the configuration service is faulty.
func (c *cluster) checkSetInForce(set *objects.Set) {
	for _, n := range c.nodes {
		if n.up && !n.faulted && n.ready && !c.configServiceFaulty && (n.acceptedSet == nil || set.Newer(n.acceptedSet)) {
			c.reportViolation(10, "%s does not hold set %d/%s or a newer one %v after its publication", n.id, set.Generation, set.Digest, withdrawalTime)
		}
	}
}

// checkStop checks, when an instance has stopped, that it has answered all its calls, unless
// a fault was injected at it.
func (c *cluster) checkStop(n *node) {
	for _, call := range c.callsInOrder {
		if call.node == n && call.incarnation == n.incarnation && len(call.answers) == 0 && !n.faulted {
			c.reportViolation(9, "%s stopped without an answer to %s, called at %v", n.id, call.requestID, call.startedAt)
		}
	}
}

// checkAtEnd checks the statements about answers, executions and stops that can be
// checked only after the load has ended.
func (c *cluster) checkAtEnd() {
	for _, call := range c.callsInOrder {
		// A process that was killed, or that stopped at its time limit after a
		// pause, disconnected its callers.
		disconnected := call.node.incarnation != call.incarnation || !call.node.up && (call.node.stoppedAt == 0 || call.node.faulted)
		if len(call.answers) > 1 || len(call.answers) == 0 && !disconnected {
			c.reportViolation(5, "%s at %s, called at %v: got %d answers, want 1", call.requestID, call.node.id, call.startedAt, len(call.answers))
		}
		for _, o := range call.answers {
			c.checkExecution(call, o)
		}
	}
	for _, call := range c.callsInOrder {
		if id := call.booking.String(); call.booking.Owner != "" && c.executions[id] > 1 {
			c.reportViolation(7, "booking %s ran %d times, want at most once", id, c.executions[id])
		}
	}
	for _, n := range c.nodes {
		if n.stopRequestedAt > 0 && !n.faulted && (n.stoppedAt == 0 || n.stoppedAt-n.stopRequestedAt > 5*second) {
			c.reportViolation(9, "%s was told to stop at %v and stopped at %v, want within 5s", n.id, n.stopRequestedAt, n.stoppedAt)
		}
	}
}

// checkExecution compares what an answer says about execution with the number of
// executions at the targets.
func (c *cluster) checkExecution(call *callerCall, o model.Output) {
	var err *model.Error
	key := call.requestID
	switch o := o.(type) {
	case model.SearchAnswer:
		err = o.Error
	case model.BookAnswer:
		err, key = o.Error, call.booking.String()
		if err == nil && c.executions[key] == 0 {
			c.reportViolation(5, "booking %s: the answer says that it ran, but no target ran it", key)
		}
	}
	if err != nil && err.Execution == model.NotRun && c.executions[key] > 0 {
		c.reportViolation(6, "%s at %s: the answer says that it did not run (%v: %s), but a target ran it", key, call.node.id, err.Kind, err.Message)
	}
}

// checkRecovered checks that all running instances are ready and answer searches with
// full coverage after the faults.
func (c *cluster) checkRecovered() {
	for _, n := range c.nodes {
		if !n.up {
			continue
		}
		if !n.ready {
			c.reportViolation(0, "%s is not ready after the fault", n.id)
			continue
		}
		call := c.search(n, second)
		c.run(second)
		if i := slices.IndexFunc(call.answers, func(o model.Output) bool {
			a, ok := o.(model.SearchAnswer)
			return ok && a.Error == nil && a.Searched == a.Total
		}); i < 0 {
			c.reportViolation(0, "%s after the fault: got answers %+v, want one with full coverage", n.id, call.answers)
		}
	}
}
