// Package callers keeps the connections of callers to an HTTP server, so that a planned stop
// answers each request that has arrived. The graceful shutdown of net/http resets connections
// that wait to be accepted, closes connections as idle although bytes of a request have been
// read, and drops requests that it reads after it has begun.
//
// It also bounds what callers can take: the number of connections, the memory of heads, and the
// time to accept an answer. What exceeds a bound is refused or ends its connection.
package callers
