package api

import (
	"net/http"

	"galenadyke.dev/core/model"
)

// retryAfterSeconds is the Retry-After of a refusal: confirmations, handovers
// and overload change within about a second.
const retryAfterSeconds = "1"

// statusTable is the HTTP status of each kind of error; docs/api.md shows it to
// callers.
//
//	400  the call cannot succeed in this form
//	404  the route is not in the set in force
//	409  the booking id was used up, or used for another booking
//	413  the body is over the published limit
//	503  refused before it ran, with Retry-After: try again, here or elsewhere
//	504  the deadline passed
//	502  everything else: something behind the tier failed
//
// The status does not tell whether the call ran: "execution" in the body does.
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

// statusOf returns the HTTP status of a kind of error. A 503 promises that the
// call has not run, so an unknown outcome is a 502 whatever its kind.
func statusOf(e *model.Error) int {
	status, ok := statusTable[e.Kind]
	if !ok || status == http.StatusServiceUnavailable && e.Execution != model.NotRun {
		return http.StatusBadGateway
	}
	return status
}

func refusal(kind model.Kind, message string) *model.Error {
	return &model.Error{Kind: kind, Execution: model.NotRun, Message: message}
}
