// Package fleet is the control plane of the decision core: membership, state
// exchange, adoption of configurations, assignment of leads, target probes and
// readiness. It implements view.View for the data plane.
//
// Each concept has a file:
//
//   - members: the instance list and the states that members announce
//   - exchange: gossip rounds, version vectors and pushed changes
//   - detect: failure detection by direct and indirect pings, and detection of
//     a suspension of the process or the machine
//   - configuration: reading, fetching, adopting and confirming sets
//   - set: loading a set into the tables of groups, targets and places
//   - leads: assignment of leads and their handover
//   - probes: probing led targets and publishing their states
//   - gate: gradual admission of places that return to service
//   - readiness, stop, status, timers and limits
//
// # Publication numbers
//
// An instance draws the heartbeats of its own member state and the numbers of
// its target states from one counter, which it keeps above every number that
// it has seen. One version vector therefore covers both kinds. Of two states
// of a target, the state with the higher number was published either with
// knowledge of the other state or concurrently with it.
//
// # The instance list
//
// After a failed read the last list stays in use. An empty list is ignored if
// an earlier list has been read; as the first list, it counts as a list of
// this instance alone. An instance that is alone on the list serves alone. An
// instance that is not on the list is not ready, because its peers lack its
// address and cannot answer it.
//
// The list can lag. While it still names a dead member, suspicion keeps that
// member out of the ranking. While the lists of peers lack a new instance, the
// new instance waits up to 5 s for their first answer.
package fleet
