// Package bench measures the tier. For each policy and scenario it starts a
// deployment of separate processes, applies the same load and prints what
// callers and targets observed.
package bench
