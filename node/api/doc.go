// Package api serves callers, the balancer and operators over HTTP. It refuses a
// call that is malformed, too large or without a deadline, without passing it to
// the core.
package api
