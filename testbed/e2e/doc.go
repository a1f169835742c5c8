// Package e2e holds the end-to-end tests. They run real processes on loopback
// addresses for a bounded time and check only documented guarantees.
package e2e
