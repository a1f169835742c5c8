// Package e2e holds the end-to-end tests: real processes on loopback, bounded
// time, stated outcomes only.
package e2e
