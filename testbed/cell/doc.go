// Package cell runs a small deployment (a cell) of separate processes on
// loopback addresses: two platform stand-ins, stand-ins for targets, and
// daemons. The demonstration, the end-to-end tests and the benchmark use it.
package cell
