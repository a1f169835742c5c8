// Package cell runs a deployment of separate processes on loopback addresses:
// two platform stand-ins, targets and daemons. The demonstration, the
// end-to-end tests and the measurements use it.
package cell
