package gateway

import (
	"net/http"

	"galenadyke.dev/core/gateway"
)

// Protocol reads and writes the headers that the platform adds to HTTP.
type Protocol interface {
	// Caller reads the head of a caller's request.
	Caller(http.Header) gateway.CallerHeaders
	// Own reports whether the instance sets a header of the request to a target
	// itself. The name is in canonical form.
	Own(canonicalName string) bool
	// Attempt appends the header lines of an attempt.
	Attempt(lines []byte, head gateway.AttemptHeaders) []byte
	// Reply reads the head of a target's answer.
	Reply(http.Header) gateway.ReplyHeaders
	// Gathered sets the headers of an answer that was merged from parts.
	Gathered(h http.Header, stamps []string, missing int)
}

// connectionHeaders concern one connection only and are not passed on (RFC 9110,
// section 7.6.1).
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	// Set from the length that was read.
	"Content-Length": true,
	// Answered by the server of callers' connections.
	"Expect": true,
}

// forwardedHeaders returns the headers that do not concern one connection only. The
// slices are shared with h.
func forwardedHeaders(h http.Header, drop func(canonicalName string) bool) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !connectionHeaders[name] && !drop(name) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for _, name := range splitList(line) {
			delete(out, http.CanonicalHeaderKey(name))
		}
	}
	return out
}
