package query

import (
	"fmt"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// admitCall runs the checks of a search call that do not depend on its route.
func (e *Engine) admitCall(budget time.Duration, bodyBytes int) *model.Error {
	if err := e.validateCall(budget, bodyBytes); err != nil {
		return err
	}
	return e.checkAcceptsCalls()
}

// validateCall checks the budget and the body size of a call against the limits.
func (e *Engine) validateCall(budget time.Duration, bodyBytes int) *model.Error {
	switch {
	case budget <= 0:
		return refusalError(model.KindNoDeadline, "the call has no deadline; set deadline_ms")
	case budget > e.limits.MaxBudget:
		return refusalError(model.KindDeadlineTooLong,
			fmt.Sprintf("deadline of %v is over the limit of %v; ask for less", budget, e.limits.MaxBudget))
	case bodyBytes > e.limits.MaxBodyBytes:
		return refusalError(model.KindBodyTooLarge,
			fmt.Sprintf("body of %d bytes is over the limit of %d; send less", bodyBytes, e.limits.MaxBodyBytes))
	}
	return nil
}

// checkAcceptsCalls returns an error if this instance accepts no new calls.
func (e *Engine) checkAcceptsCalls() *model.Error {
	switch {
	case e.refusesCalls():
		return refusalError(model.KindStopping, "the instance is stopping; repeat the call at another instance")
	case e.set == nil:
		return refusalError(model.KindNotReady, "no configuration is in force yet; repeat the call at another instance")
	case !e.maySend():
		return refusalError(e.notReadyKind(), "the configuration is not confirmed; repeat the call at another instance")
	}
	return nil
}

// refusalError returns the error of a call that was refused before any work ran.
func refusalError(kind model.Kind, message string) *model.Error {
	return &model.Error{Kind: kind, Execution: model.NotRun, Message: message}
}

func tooManyCallsError() *model.Error {
	return refusalError(model.KindTooManyCalls, "the instance serves as many calls as its limit allows; repeat later or at another instance")
}

func (e *Engine) callCount() int { return e.calls.count }

// findRoute returns the index of the published route id, or an error if there is
// none or its kind differs.
func (e *Engine) findRoute(id model.RouteID, kind objects.RouteKind) (int32, *model.Error) {
	r, ok := e.routeIndex[id]
	if !ok || !e.routes[r].published {
		return none, refusalError(model.KindNoRoute, fmt.Sprintf("route %q is not published; check its name", id))
	}
	if e.routes[r].kind != kind {
		return none, refusalError(model.KindWrongRouteKind, fmt.Sprintf("route %q is a %s route", id, e.routes[r].kind))
	}
	return r, nil
}

// answerReserve returns the part of a budget that is kept for sending the answer
// back, at most half of the budget.
func (e *Engine) answerReserve(budget time.Duration) time.Duration {
	r := time.Duration(float64(budget) * e.limits.AnswerReserve)
	return min(max(r, e.limits.AnswerReserveFloor), budget/2)
}

// admitSearch returns an error if no snapshot can serve the search or if a group
// is not expected to answer in time.
func (e *Engine) admitSearch(r int32, budget time.Duration) *model.Error {
	choice := e.currentSnapshot(r)
	if choice.version == 0 {
		if choice.reason == model.KindNoTarget {
			return refusalError(model.KindNoTarget, "no group of the route has an eligible target; check the order in force and the targets")
		}
		return refusalError(model.KindNoSnapshot, "the groups of the route share no index version; check what the targets serve")
	}
	if e.bypassesLeads() {
		return nil
	}
	remaining := budget - e.answerReserve(budget)
	for k, g := range e.routes[r].groups {
		if !choice.missing[k] && !e.canAnswerInTime(g, choice.version, remaining) {
			return overloadedError()
		}
	}
	return nil
}

func overloadedError() *model.Error {
	return refusalError(model.KindOverloaded, "the call would miss its deadline; repeat later with a longer deadline or send fewer calls")
}

// relayBudgetShare is the share of the remaining budget in which relayed work
// must be expected to finish. The margin allows for the lead's report being one
// round trip old: with 8 instances 4.5 ms apart at 250 % of the capacity, 283 of
// 8006 searches got a partial answer without the margin and 15 with it.
const relayBudgetShare = 0.9

// canAnswerInTime reports whether a usable replica of group g that serves version
// v is expected to answer within the remaining budget. Version v is zero for a
// booking. If no such replica has a lead that can send now, the waits are not known
// and the result is true.
func (e *Engine) canAnswerInTime(g int32, v model.SnapshotVersion, remaining time.Duration) bool {
	anyActiveLead := false
	for _, i := range e.groups[g].replicas {
		if v != 0 && !e.serves(i, v) || !e.isUsable(&e.targets[i]) {
			continue
		}
		if e.inHandover(&e.targets[i]) {
			continue
		}
		anyActiveLead = true
		limit := remaining
		if !e.targets[i].lead.Self {
			limit = time.Duration(float64(remaining) * relayBudgetShare)
		}
		// The latency is capped so that it alone never causes a refusal: without
		// new calls, it would never be measured again.
		if e.expectedWait(i)+min(e.latency(i), remaining/2) <= limit {
			return true
		}
	}
	return !anyActiveLead
}
