// Package query is the data plane of the decision core: calls, attempts,
// target queues, warm-up, hedging and bookings. It reads the control plane
// through view.View only.
//
// An instance has up to three roles. The entry instance answers the search or
// booking call from a caller. The lead of a target queues the work for the target
// and limits the work in flight there. The owner of a booking id, which is the
// instance that issued the id, runs the booking and keeps its outcome.
package query
