// Package target is the stand-in for the targets, the servers that galenadyke
// sends work to. One process serves many targets, each on its own address,
// with slots, a cold start, delays and faults as set. A control endpoint on a
// separate address changes them at run time and reads counts.
//
// The package is for demonstrations, tests and measurements and is not
// shipped.
package target
