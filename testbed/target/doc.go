// Package target simulates targets, the back-end servers to which galenadyke
// sends requests. One process serves many targets, each on its own address,
// with configurable slots, cold start, delays and faults. A control endpoint on
// a separate address changes these settings at run time and returns counts.
//
// The package is for demonstrations, tests and measurements and is not part of
// a release.
package target
