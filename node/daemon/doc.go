// Package daemon composes the parts of an instance: it connects the loop around
// the decision core with the servers and clients, and runs the graceful stop.
package daemon
