package query

import (
	"fmt"
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// call is a search or booking call from a caller at the entry instance. A booking
// call waits for the outcome from the ledger of this instance or, if another
// instance owns the booking id, from that instance.
type call struct {
	id        model.CallID
	requestID string
	trace     string
	body      []byte
	route     int32 // none for a booking call
	arrivedAt time.Duration
	budget    time.Duration
	deadline  time.Duration // latest time of the answer: arrivedAt + budget - reserve
	timer     int32
	dirty     bool

	search  searchState
	booking bookingCallState
}

// searchState is the progress of a search.
type searchState struct {
	snapshot        model.SnapshotVersion
	totalPartitions int
	parts           []part
	openParts       int           // number of parts in state partOpen
	dirtyParts      []int32       // parts that runCall has to process
	nextHedgeAt     time.Duration // earliest time at which a hedge may be due
	mayHaveRun      bool          // some attempt ran or may have run
	lastFailure     model.Kind    // kind of the last failure, for the error if no part is answered
	stats           model.CallStats
}

type partState uint8

const (
	partOpen partState = iota
	partAnswered
	partMissing // will not be answered
)

// part is the sub-request of a search to one target group.
type part struct {
	group        int32
	state        partState
	attempted    bool          // at least one attempt was started
	hedged       bool          // the hedge was sent or was not possible when due
	retryFree    bool          // the next attempt is not charged to the retry budget
	pending      int32         // number of attempts in progress
	firstAttempt int32         // head of the list of attempts in progress
	tried        []int32       // targets that must not be chosen again
	hedgeAt      time.Duration // when a hedge is due

	// The answer, if the state is partAnswered.
	target     int32
	partitions []uint32
	body       []byte
}

func (e *Engine) handleSearchCall(in model.SearchCall) {
	if err := e.admitCall(in.Budget, len(in.Body)); err != nil {
		e.emit(model.SearchAnswer{Call: in.Call, Error: err})
		return
	}
	r, err := e.findRoute(in.Route, objects.RouteSearch)
	if err == nil && e.callCount() >= e.limits.MaxInFlight {
		err = tooManyCallsError()
	}
	if err == nil {
		err = e.admitSearch(r, in.Budget)
	}
	if err != nil {
		e.emit(model.SearchAnswer{Call: in.Call, Error: err})
		return
	}
	i, c := e.newCall(in.Call, in.RequestID, in.Trace, in.Body, in.Budget)
	c.route = r
	e.pinSnapshot(c)
	e.markCallDirty(i)
}

func (e *Engine) newCall(id model.CallID, requestID, trace string, body []byte, budget time.Duration) (int32, *call) {
	i, c := e.calls.alloc()
	parts, dirtyParts := c.search.parts, c.search.dirtyParts
	*c = call{
		id: id, requestID: requestID, trace: trace, body: body,
		arrivedAt: e.now, budget: budget,
		deadline: e.now + budget - e.answerReserve(budget),
		timer:    e.timers.create(timerCall, i),
		route:    none,
	}
	c.search.parts, c.search.dirtyParts = parts[:0], dirtyParts[:0]
	c.booking.reset()
	e.callIndex[id] = i
	e.timers.set(c.timer, c.deadline)
	return i, c
}

// pinSnapshot starts the search, or starts it again, on the current snapshot of
// its route.
func (e *Engine) pinSnapshot(c *call) {
	choice := e.currentSnapshot(c.route)
	s := &c.search
	s.snapshot, s.totalPartitions, s.openParts = choice.version, choice.totalPartitions, 0
	s.dirtyParts, s.nextHedgeAt = s.dirtyParts[:0], model.NoWake
	groups := e.routes[c.route].groups
	s.parts = slices.Grow(s.parts[:0], len(groups))[:len(groups)]
	for k, g := range groups {
		p := &s.parts[k]
		*p = part{group: g, firstAttempt: none, target: none, tried: p.tried[:0]}
		if choice.missing[k] {
			p.state = partMissing
		} else {
			s.openParts++
			s.dirtyParts = append(s.dirtyParts, int32(k))
		}
	}
}

func (e *Engine) markCallDirty(i int32) {
	if c := e.calls.at(i); !c.dirty {
		c.dirty = true
		e.dirtyCalls = append(e.dirtyCalls, i)
	}
}

// runCall sends the sub-requests that the search needs. It answers the search if
// no part is open or the deadline has passed.
func (e *Engine) runCall(i int32) {
	c := e.calls.at(i)
	if !c.dirty {
		return // answered after it was marked
	}
	c.dirty = false
	if e.now >= c.deadline {
		e.answerSearch(i)
		return
	}
	if e.restartIfVersionGone(i) {
		return
	}
	// Work that is returned during the loop appends to dirtyParts.
	for k := 0; k < len(c.search.dirtyParts); k++ {
		partIdx := c.search.dirtyParts[k]
		if p := &c.search.parts[partIdx]; p.state == partOpen && p.pending == 0 {
			e.sendPart(i, partIdx)
		}
	}
	c.search.dirtyParts = c.search.dirtyParts[:0]
	e.flushSearchRelays(c)
	if c.search.openParts == 0 {
		e.answerSearch(i)
		return
	}
	e.timers.set(c.timer, min(c.deadline, c.search.nextHedgeAt))
}

// sendPart sends the part, which must have no attempt in progress, to a replica of
// its group. If a trial is due and the hedge budget allows it, the part also goes to
// a slow replica. The part becomes missing if no replica may be asked or the retry
// budget is used up.
func (e *Engine) sendPart(callIdx, partIdx int32) {
	c := e.calls.at(callIdx)
	p := &c.search.parts[partIdx]
	retry := p.attempted
	uncharged := p.retryFree || !retry
	p.retryFree = false
	t := e.chooseReplica(c, p, none)
	if t == none || !e.maySend() || !uncharged && !e.takeRetryToken() {
		if !retry {
			c.search.lastFailure = model.KindNoTarget
		}
		if !e.maySend() {
			c.search.lastFailure = e.notReadyKind()
		}
		e.markPartMissing(c, p)
		return
	}
	if retry {
		c.search.stats.Retries++
	} else {
		c.search.stats.SubRequests++
		e.hedgeBudget.deposit()
		e.retryBudget.deposit()
	}
	p.attempted = true
	p.hedgeAt = e.now + e.hedgeDelay(p.group)
	c.search.nextHedgeAt = min(c.search.nextHedgeAt, p.hedgeAt)
	e.startSearchAttempt(callIdx, partIdx, t, false)
	if trialTarget := e.trialReplica(c, p); trialTarget != none && e.takeHedgeToken() {
		c.search.stats.Hedges++
		e.startSearchAttempt(callIdx, partIdx, trialTarget, true)
	}
}

func (e *Engine) markPartMissing(c *call, p *part) {
	p.state = partMissing
	c.search.openParts--
}

// handleCallTimer answers a call at its deadline, and before that sends the hedges
// that are due.
func (e *Engine) handleCallTimer(i int32) {
	c := e.calls.at(i)
	switch {
	case c.booking.active:
		e.handleBookCallDeadline(i)
	case e.now >= c.deadline:
		e.answerSearch(i)
	default:
		c.search.nextHedgeAt = e.sendDueHedges(i)
		e.timers.set(c.timer, min(c.deadline, c.search.nextHedgeAt))
	}
}

// answerSearch ends a search with the answers that have arrived.
func (e *Engine) answerSearch(i int32) {
	c := e.calls.at(i)
	e.cancelAttempts(c)
	s := &c.search
	a := model.SearchAnswer{Call: c.id, Snapshot: s.snapshot, Total: s.totalPartitions, Stats: s.stats}
	a.Searched = e.coverage(s)
	answered := 0
	for k := range s.parts {
		if s.parts[k].state == partAnswered {
			answered++
		}
	}
	if answered > 0 {
		a.Parts = make([]model.AnswerPart, 0, answered)
	}
	if missing := len(s.parts) - answered; missing > 0 {
		a.Missing = make([]model.GroupID, 0, missing)
	}
	for k := range s.parts {
		p := &s.parts[k]
		if p.state == partAnswered {
			a.Parts = append(a.Parts, model.AnswerPart{
				Group: e.groups[p.group].id, Target: e.targets[p.target].id, Body: p.body,
			})
		} else {
			a.Missing = append(a.Missing, e.groups[p.group].id)
		}
	}
	slices.Sort(a.Missing)
	if answered == 0 {
		a.Error = e.searchError(c)
	}
	e.emit(a)
	e.endCall(i)
}

// searchError returns the error of a search that no group answered.
func (e *Engine) searchError(c *call) *model.Error {
	err := &model.Error{Kind: c.search.lastFailure, Execution: model.NotRun}
	if c.search.mayHaveRun {
		err.Execution = model.Unknown
	}
	switch {
	case e.now >= c.deadline:
		err.Kind = model.KindDeadline
		err.Message = "no group answered before the deadline; allow more time or check the targets"
	case err.Kind == model.KindNone:
		err.Kind = model.KindNoTarget
		fallthrough
	default:
		err.Message = fmt.Sprintf("no group answered, last failure %s; check the state of the targets", err.Kind)
	}
	return err
}

func (e *Engine) endCall(i int32) {
	c := e.calls.at(i)
	delete(e.callIndex, c.id)
	e.timers.remove(c.timer)
	parts, dirtyParts := c.search.parts, c.search.dirtyParts
	for k := range parts {
		p := &parts[k]
		*p = part{tried: p.tried[:0]}
	}
	*c = call{}
	c.search.parts, c.search.dirtyParts = parts[:0], dirtyParts[:0]
	e.calls.release(i)
}

// handleCancelCall ends the call of a caller that has disconnected. The attempts of
// a search are cancelled. A booking continues, and its outcome is kept for a repeat
// of the call.
func (e *Engine) handleCancelCall(id model.CallID) {
	i, ok := e.callIndex[id]
	if !ok {
		return
	}
	c := e.calls.at(i)
	err := &model.Error{Kind: model.KindCancelled, Execution: model.Unknown,
		Message: "the caller ended the request; send a booking again with the same id to learn its outcome"}
	if c.booking.active {
		e.answerBookCall(i, bookResult{kind: err.Kind, execution: err.Execution, message: err.Message})
		return
	}
	if !c.search.mayHaveRun && c.search.stats.SubRequests == 0 {
		err.Execution = model.NotRun
	}
	e.cancelAttempts(c)
	e.emit(model.SearchAnswer{Call: c.id, Error: err, Snapshot: c.search.snapshot, Total: c.search.totalPartitions, Stats: c.search.stats})
	e.endCall(i)
}
