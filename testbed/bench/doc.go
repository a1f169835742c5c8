// Package bench measures the tier. It starts a deployment of real processes
// for each policy and scenario, drives it with the same load and prints what
// callers and targets saw.
package bench
