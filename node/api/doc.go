// Package api serves callers, the balancer and operators over HTTP. A call that
// is malformed, too large or without a deadline is refused here and costs the
// core nothing.
package api
