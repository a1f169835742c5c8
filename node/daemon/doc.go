// Package daemon assembles an instance: it connects the loop around the decision
// core with the servers and clients, and runs the graceful stop.
package daemon
