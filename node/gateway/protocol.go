package gateway

import (
	"net/http"

	"galenadyke.dev/core/gateway"
)

// Protocol reads and writes the headers that the platform adds to HTTP.
type Protocol interface {
	// ParseCaller parses the headers of a caller's request.
	ParseCaller(http.Header) gateway.CallerHeaders
	// SetsHeader reports whether the instance sets a header of requests to targets
	// itself, so that the caller's value is not forwarded. The name is in canonical form.
	SetsHeader(canonicalName string) bool
	// AppendAttempt appends the header lines of an attempt, each with its line end.
	AppendAttempt(lines []byte, headers gateway.AttemptHeaders) []byte
	// ParseReply parses the headers of a target's answer.
	ParseReply(http.Header) gateway.ReplyHeaders
	// SetGathered sets the headers of an answer that was merged from parts: the stamps of
	// these parts, which prove that their targets ran the request, and the number of parts
	// that are missing.
	SetGathered(h http.Header, stamps []string, missing int)
}

// connectionHeaders are not forwarded, as they concern a single connection (RFC 9110,
// section 7.6.1), or as the instance sets or answers them itself.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	// Set from the length of the body that was read.
	"Content-Length": true,
	// Answered by net/http, which serves the callers.
	"Expect": true,
}

// forwardedHeaders returns the headers of h without those that concern a single connection
// and those for which drop reports true. The value slices are shared with h.
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
