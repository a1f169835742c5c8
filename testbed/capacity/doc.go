// Package capacity holds the benchmarks behind docs/CAPACITY.md. They measure
// the cost of requests and the cost of the control plane of one instance, in
// memory, processor time and encoded bytes, for several sizes of the fleet and
// of the configuration set.
package capacity
