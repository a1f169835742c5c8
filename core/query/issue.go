package query

import "galenadyke.dev/core/model"

// maxIDsPerCall is the largest number of booking ids that one call may request.
const maxIDsPerCall = 10_000

// maxBatchBytes bounds the memory of the ids that have been issued and not been forgotten. An
// instance of the target size keeps 20 MB: 235 bookings a second, each with one id that is kept
// for twice the default time of its validity.
const maxBatchBytes = 24 << 20

// handleIssueBookingIDs answers a call for new booking ids.
func (e *Engine) handleIssueBookingIDs(in model.IssueBookingIDs) {
	err := e.checkAcceptsCalls()
	if in.Count < 1 || in.Count > maxIDsPerCall {
		err = refusalError(model.KindBadRequest, "count must be from 1 to 10000")
	}
	if err == nil && e.ledger.bytes+batchBytes(in.Count) > maxBatchBytes {
		err = refusalError(model.KindTooManyCalls, "too many booking ids have been issued; use those that you have, or repeat the call later")
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
