// Package load generates open-loop load on the HTTP interface of one or more
// instances: calls arrive by a Poisson schedule with a fixed seed and do not wait
// for answers. Latency counts from the scheduled arrival, so that a stall shows
// in every call that it delayed.
package load
