// Package gateway is the daemon that serves a platform's routes. It carries out the
// decisions of package core/gateway: it serves callers over HTTP, sends attempts to
// targets, exchanges state messages with other instances, and performs the graceful
// stop.
package gateway
