// Package fleet is the control plane of the decision core: membership, state
// exchange, adoption of configurations, assignment of leads, probes and
// readiness. It implements view.View for the data plane.
//
// Each concept has a file: members (the platform's list and announced states),
// exchange (rounds, version vectors and pushed changes), detect (indirect
// pings, suspicion, suspension of this process), configuration (order,
// readers, fetching and confirmation), set (loading a set), leads (assignment
// and handover), probes (states of led targets), gate (places that return),
// readiness, stop, status and timers.
//
// # Numbers of publications
//
// An instance draws the heartbeats of its own member state and the numbers of
// its target states from one counter, which it keeps above every number that
// it has seen. One version vector therefore covers both, and of two states of
// a target the one with the higher number was published with knowledge of the
// other or concurrently with it.
//
// # The instance list
//
// A failed read keeps the last list, and so does an empty list once another
// has been read. A first list that is empty counts as a list of this instance
// alone, and an instance that is alone on the list works alone. An instance
// that is not on the list is not ready, because its peers lack its address
// and cannot answer it. While the list lags behind a death, suspicion keeps
// the dead member out of the ranking; while the lists of peers lag behind a
// start, the new instance waits up to 5 s for their first answer.
package fleet
