package model

import "strconv"

// Execution says what is known about the effect of a request.
type Execution uint8

// The values of Execution. The zero value is the cautious one.
const (
	// Unknown means that the request may have run.
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
// docs/OPERATIONS.md has an entry for each.
type Kind uint16

// The kinds of error, with their identifiers.
const (
	KindNone             Kind = 0
	KindBadRequest       Kind = 101 // malformed call
	KindBodyTooLarge     Kind = 102 // body over the published limit
	KindNoDeadline       Kind = 103 // call without a deadline
	KindDeadlineTooLong  Kind = 104 // deadline over the published limit
	KindNoRoute          Kind = 105 // route is not in the set in force
	KindWrongRouteKind   Kind = 106 // booking on a search route or the reverse
	KindBadBookingID     Kind = 107 // booking id missing or malformed
	KindBookingExpired   Kind = 108 // booking id is past its valid time
	KindBookingConflict  Kind = 109 // booking id used before with another body
	KindNotReady         Kind = 201 // instance has no configuration in force yet
	KindUnconfirmed      Kind = 202 // configuration not confirmed lately
	KindStopping         Kind = 203 // instance is stopping
	KindOverloaded       Kind = 204 // call would miss its deadline
	KindTooManyCalls     Kind = 205 // in-flight limit of the instance
	KindNoTarget         Kind = 301 // no eligible target
	KindNoSnapshot       Kind = 302 // no index version that the groups share
	KindTargetOut        Kind = 303 // target or its place is taken out
	KindTargetShed       Kind = 304 // target refused before execution
	KindTargetConnection Kind = 305 // connection to the target failed
	KindTargetAnswer     Kind = 306 // answer contradicts the request
	KindVersionGone      Kind = 307 // target no longer serves the version
	KindTargetStalled    Kind = 308 // all requests in flight at the target are overdue
	KindNotLead          Kind = 401 // asked instance does not lead the target
	KindPeerLost         Kind = 402 // connection to an instance failed
	KindOwnerLost        Kind = 403 // owner of the booking id is gone
	KindDeadline         Kind = 404 // deadline passed
	KindCancelled        Kind = 405 // caller gave up
)

// kindNames holds the name of each kind without its prefix.
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

// Error is an error of the tier. Execution survives every hop between
// instances, so that the caller can tell "was not run" from "may have run".
type Error struct {
	Kind      Kind
	Execution Execution
	// Message says what is wrong and what to do about it.
	Message string
}

func (e *Error) Error() string { return e.Message }
