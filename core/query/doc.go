// Package query is the data plane of the decision core: calls, attempts,
// target queues, warm-up, hedging and bookings. It reads the control plane
// through view.View only.
package query
