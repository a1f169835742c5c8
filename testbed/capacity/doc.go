// Package capacity holds the benchmarks behind docs/CAPACITY.md: the cost of
// the control plane of one instance at several sizes of the fleet and of the
// set, in memory, processor time and encoded bytes, and the cost of requests.
package capacity
