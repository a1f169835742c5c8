// Package fleet is the control plane of the decision core: membership, state
// exchange, adoption of configurations, assignment of leads, probes and
// readiness. It implements view.View for the data plane.
package fleet
