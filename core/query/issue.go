package query

import "galenadyke.dev/core/model"

// maxIssue is the number of booking ids that one call may get.
const maxIssue = 10_000

// issue gives out unused booking ids.
func (e *Engine) issue(in model.IssueBookingIDs) {
	err := e.admitNow()
	if in.Count < 1 || in.Count > maxIssue {
		err = refuse(model.KindBadRequest, "count must be from 1 to 10000")
	}
	if err != nil {
		e.emit(model.BookingIDs{Call: in.Call, Error: err})
		return
	}
	ttl := e.limits.ReservationTTL
	first := e.bookings.issue(in.Count, e.now, ttl)
	ids := make([]model.BookingID, in.Count)
	for i := range ids {
		ids[i] = model.BookingID{Owner: e.cfg.Self, Incarnation: e.cfg.Incarnation, Counter: first + uint64(i)}
	}
	e.emit(model.BookingIDs{Call: in.Call, IDs: ids, Valid: ttl})
}
