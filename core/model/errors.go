package model

import "strconv"

// Execution says what is known about the effect of a request.
type Execution uint8

// The values of Execution. The zero value is the safe assumption.
const (
	// Unknown means that the request may have run or may still run.
	Unknown Execution = iota
	// NotRun means that the request has not run and will not run.
	NotRun
	// Ran means that the request has run.
	Ran
)

// String returns the form used in JSON: unknown, not_run or ran.
func (e Execution) String() string {
	switch e {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Kind is the stable identifier of an error. The runbook in
// docs/OPERATIONS.md has an entry for each kind.
type Kind uint16

// The kinds of error, with their identifiers.
const (
	KindNone             Kind = 0
	KindBadRequest       Kind = 101 // call is malformed, or the API has no such path or method
	KindBodyTooLarge     Kind = 102 // body exceeds the published limit
	KindNoDeadline       Kind = 103 // call has no deadline
	KindDeadlineTooLong  Kind = 104 // deadline exceeds the published limit or the fixed maximum of the API
	KindNoRoute          Kind = 105 // route is not in the configuration in force
	KindWrongRouteKind   Kind = 106 // booking on a search route, or search on a booking route
	KindBadBookingID     Kind = 107 // booking id is missing or malformed, or was never issued
	KindBookingExpired   Kind = 108 // booking id has expired
	KindBookingConflict  Kind = 109 // booking id was used before with a different route or body
	KindNotReady         Kind = 201 // instance is not ready, for example without a configuration in force
	KindUnconfirmed      Kind = 202 // configuration has not been confirmed recently
	KindStopping         Kind = 203 // instance is stopping or has stopped
	KindOverloaded       Kind = 204 // call, or a request of it to a target, would miss its deadline
	KindTooManyCalls     Kind = 205 // instance has reached its limit of calls in flight
	KindNoTarget         Kind = 301 // no eligible target
	KindNoSnapshot       Kind = 302 // target groups have no index version in common
	KindTargetOut        Kind = 303 // target drains, or its place is out of service or waits to return
	KindTargetShed       Kind = 304 // target rejected the request before running it
	KindTargetConnection Kind = 305 // connection to the target failed
	KindTargetAnswer     Kind = 306 // answer is invalid or contradicts the request
	KindVersionGone      Kind = 307 // target no longer serves the version
	KindTargetStalled    Kind = 308 // all requests in flight at the target are overdue
	KindNotLead          Kind = 401 // contacted instance is not the target's lead
	KindPeerLost         Kind = 402 // connection to an instance failed
	KindOwnerLost        Kind = 403 // owner of the booking id has stopped or cannot be reached
	KindDeadline         Kind = 404 // deadline passed
	KindCancelled        Kind = 405 // caller cancelled the call
)

// kindNames maps each kind to its name without the prefix Kind.
var kindNames = map[Kind]string{
	KindNone:             "None",
	KindBadRequest:       "BadRequest",
	KindBodyTooLarge:     "BodyTooLarge",
	KindNoDeadline:       "NoDeadline",
	KindDeadlineTooLong:  "DeadlineTooLong",
	KindNoRoute:          "NoRoute",
	KindWrongRouteKind:   "WrongRouteKind",
	KindBadBookingID:     "BadBookingID",
	KindBookingExpired:   "BookingExpired",
	KindBookingConflict:  "BookingConflict",
	KindNotReady:         "NotReady",
	KindUnconfirmed:      "Unconfirmed",
	KindStopping:         "Stopping",
	KindOverloaded:       "Overloaded",
	KindTooManyCalls:     "TooManyCalls",
	KindNoTarget:         "NoTarget",
	KindNoSnapshot:       "NoSnapshot",
	KindTargetOut:        "TargetOut",
	KindTargetShed:       "TargetShed",
	KindTargetConnection: "TargetConnection",
	KindTargetAnswer:     "TargetAnswer",
	KindVersionGone:      "VersionGone",
	KindTargetStalled:    "TargetStalled",
	KindNotLead:          "NotLead",
	KindPeerLost:         "PeerLost",
	KindOwnerLost:        "OwnerLost",
	KindDeadline:         "Deadline",
	KindCancelled:        "Cancelled",
}

// String returns the name of the kind, for example Overloaded.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "Kind" + strconv.Itoa(int(k))
}

// ID returns the identifier that the runbook uses, for example GD-204.
func (k Kind) ID() string { return "GD-" + strconv.Itoa(int(k)) }

// Error is an error that the tier returns to a caller. Execution is preserved
// across every hop between instances, so that the caller can tell a request that
// did not run from one that may have run.
type Error struct {
	Kind      Kind
	Execution Execution
	// Message says what is wrong and what to do about it.
	Message string
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }
