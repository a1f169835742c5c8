package api

import (
	"net/http"

	"galenadyke.dev/core/model"
)

// retryAfterSeconds is the value of Retry-After in a refusal with status 503. A missing
// confirmation, a handover or an overload may be over within about a second.
const retryAfterSeconds = "1"

// statusTable maps the kinds of errors to HTTP statuses. docs/api.md documents it
// for callers.
//
//	400  the call cannot succeed in this form
//	404  the route is not in the set in force
//	409  the booking id has expired, or was used for another booking
//	413  the body exceeds the published limit
//	503  refused before execution, with Retry-After: retry here or elsewhere
//	504  the deadline passed
//	502  all other kinds, which mean that something behind the tier failed
//
// Whether the call ran is stated by "execution" in the body, not by the status.
var statusTable = map[model.Kind]int{
	model.KindBadRequest:      http.StatusBadRequest,
	model.KindNoDeadline:      http.StatusBadRequest,
	model.KindDeadlineTooLong: http.StatusBadRequest,
	model.KindWrongRouteKind:  http.StatusBadRequest,
	model.KindBadBookingID:    http.StatusBadRequest,
	model.KindNoRoute:         http.StatusNotFound,
	model.KindBookingExpired:  http.StatusConflict,
	model.KindBookingConflict: http.StatusConflict,
	model.KindBodyTooLarge:    http.StatusRequestEntityTooLarge,
	model.KindNotReady:        http.StatusServiceUnavailable,
	model.KindUnconfirmed:     http.StatusServiceUnavailable,
	model.KindStopping:        http.StatusServiceUnavailable,
	model.KindOverloaded:      http.StatusServiceUnavailable,
	model.KindTooManyCalls:    http.StatusServiceUnavailable,
	model.KindNoTarget:        http.StatusServiceUnavailable,
	model.KindNoSnapshot:      http.StatusServiceUnavailable,
	model.KindTargetOut:       http.StatusServiceUnavailable,
	model.KindTargetShed:      http.StatusServiceUnavailable,
	model.KindTargetStalled:   http.StatusServiceUnavailable,
	model.KindNotLead:         http.StatusServiceUnavailable,
	model.KindDeadline:        http.StatusGatewayTimeout,
}

// statusOf returns the HTTP status of an error. A 503 promises that the call has
// not run, so an error of a 503 kind whose execution is not NotRun becomes a 502.
func statusOf(e *model.Error) int {
	status, ok := statusTable[e.Kind]
	if !ok || status == http.StatusServiceUnavailable && e.Execution != model.NotRun {
		return http.StatusBadGateway
	}
	return status
}

// refusal returns an error for a call that did not run.
func refusal(kind model.Kind, message string) *model.Error {
	return &model.Error{Kind: kind, Execution: model.NotRun, Message: message}
}
