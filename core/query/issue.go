package query

import "galenadyke.dev/core/model"

// maxIDsPerCall is the largest number of booking ids that one call may request.
const maxIDsPerCall = 10_000

// handleIssueBookingIDs answers a call for new booking ids.
func (e *Engine) handleIssueBookingIDs(in model.IssueBookingIDs) {
	err := e.checkAcceptsCalls()
	if in.Count < 1 || in.Count > maxIDsPerCall {
		err = refusalError(model.KindBadRequest, "count must be from 1 to 10000")
	}
	if err != nil {
		e.emit(model.BookingIDs{Call: in.Call, Error: err})
		return
	}
	ttl := e.limits.ReservationTTL
	first := e.ledger.issueIDs(in.Count, e.now, ttl)
	ids := make([]model.BookingID, in.Count)
	for i := range ids {
		ids[i] = model.BookingID{Owner: e.cfg.Self, Incarnation: e.cfg.Incarnation, Counter: first + uint64(i)}
	}
	e.emit(model.BookingIDs{Call: in.Call, IDs: ids, Valid: ttl})
}
