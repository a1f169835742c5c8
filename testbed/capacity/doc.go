// Package capacity holds the benchmarks on which docs/CAPACITY.md is based. They
// measure what requests and the control plane cost one instance in memory,
// processor time and encoded bytes, for several sizes of the fleet and of the
// configuration set.
package capacity
