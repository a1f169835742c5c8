package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/node/callers"
	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/telemetry"
)

// defaultLimits applies until a configuration is known. The idle timeout is longer than
// callers keep idle connections.
var defaultLimits = gateway.CallerLimits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 20, IdleTimeout: 2 * time.Minute}

// callerRequest is a request from a caller that was read completely.
type callerRequest struct {
	id     gateway.RequestID
	method string
	host   string
	path   string
	caller gateway.CallerHeaders
	// head is the request line and the forwarded headers, each with its line end,
	// without the empty line.
	head []byte
	body []byte
	// digest identifies the request by its content, 0 if another instance sent none.
	digest gateway.RequestDigest
	// traceparent identifies the span of the request, the parent of the attempts' spans.
	// It is empty if spans are not exported.
	traceparent string
	// delegated is set if another instance delegated the request.
	delegated bool
	answered  chan gateway.Answer // receives the core's answer
	// forwarded receives the ends of a batch that another instance sent; it is nil for
	// other requests.
	forwarded chan gateway.ReplyBatch

	mu      sync.Mutex // guards the fields below
	replies map[gateway.AttemptID]*reply
	// holds are the memory of the request's own body and of the answers to its attempts.
	// released is set once they have been given back.
	holds    []*memory.Hold
	released bool
}

// keepReply keeps the memory of a target's answer to an attempt until release and, if whole
// is set, the answer itself: the core may choose it as the answer to the caller.
func (r *callerRequest) keepReply(id gateway.AttemptID, rep *reply, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		rep.hold.Release()
		return
	}
	r.holds = append(r.holds, rep.hold)
	if !whole {
		return
	}
	if r.replies == nil {
		r.replies = make(map[gateway.AttemptID]*reply, 1)
	}
	r.replies[id] = rep
}

// release gives back the memory of all bodies once the request has been answered.
func (r *callerRequest) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	for _, h := range r.holds {
		h.Release()
	}
	r.holds = nil
}

func (r *callerRequest) reply(id gateway.AttemptID) *reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replies[id]
}

// callerServer serves requests from callers over HTTP. It also keeps the requests that other
// instances delegate until they are answered.
type callerServer struct {
	protocol    Protocol
	submit      func(gateway.Input) bool
	bootTime    func() time.Duration // returns the time of the Boot clock
	digestKey   []byte               // the same for all instances of a deployment
	metrics     Metrics
	spans       *telemetry.Spans
	listener    callers.Listener
	http        *khttp.Server
	limits      atomic.Pointer[gateway.CallerLimits]
	connections *callers.Connections
	bodies      *memory.Budget
	lastID      atomic.Uint64

	mu       sync.Mutex // guards requests; held for map operations only
	requests map[gateway.RequestID]*callerRequest
}

// newCallerServer returns a server of callers with at most maxConnections connections, 0 for
// any number.
func newCallerServer(l *callers.DrainingListener, p Protocol, submit func(gateway.Input) bool, bootTime func() time.Duration, bodies *memory.Budget, maxConnections int, m Metrics, spans *telemetry.Spans) *callerServer {
	s := &callerServer{protocol: p, submit: submit, bootTime: bootTime, bodies: bodies, metrics: m, spans: spans, requests: make(map[gateway.RequestID]*callerRequest)}
	limits := defaultLimits
	s.limits.Store(&limits)
	s.connections = callers.NewConnections(callerHeadTimeout, func() time.Duration { return s.limits.Load().IdleTimeout })
	s.connections.Limits = callers.Limits{MaxConnections: maxConnections, MaxHeadBytes: func() int { return s.limits.Load().MaxHeaderBytes },
		Memory: bodies, WriteTimeout: callerWriteTimeout, OnRefused: func(cause callers.Refusal) { m.RequestUnread(string(cause)) }}
	s.listener = callers.Listener{DrainingListener: l, Connections: s.connections}
	s.http = newServer(s.listener, s)
	s.http.ConnState, s.http.ConnContext = s.connections.ConnState, callers.ConnContext
	return s
}

// setLimits applies published limits. Limits that are not published stay unchanged.
func (s *callerServer) setLimits(published gateway.CallerLimits) {
	limits := *s.limits.Load()
	if published.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = published.MaxHeaderBytes
	}
	if published.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = published.MaxBodyBytes
	}
	if published.IdleTimeout > 0 {
		limits.IdleTimeout = published.IdleTimeout
	}
	s.limits.Store(&limits)
}

// drain stops accepting callers and waits for the answers to their requests or the end of ctx.
func (s *callerServer) drain(ctx context.Context) callers.DrainReport {
	return s.listener.Drain(ctx)
}

// close ends the server. Requests that are still arriving are answered until ctx ends.
func (s *callerServer) close(ctx context.Context) {
	s.connections.AwaitUnused(ctx)
	_ = s.http.Close() // the end of the process closes the remaining connections
}

// newServer returns a kratos server that passes every request unchanged to the handler. It
// bypasses the router of kratos, which would clean paths.
func newServer(l net.Listener, h http.Handler) *khttp.Server {
	s := khttp.NewServer(
		khttp.Listener(l),
		// Without an address, kratos looks it up in the network interfaces.
		khttp.Address(l.Addr().String()),
		khttp.Timeout(0), // each request has its own deadline
		khttp.Filter(func(http.Handler) http.Handler { return h }),
	)
	s.ReadHeaderTimeout = callerHeadTimeout
	s.MaxHeaderBytes = maxCallerHeadBytes
	s.DisableGeneralOptionsHandler = true
	return s
}

// newControlServer returns a server for the balancer or operators, which passes every request
// to the handler. The memory of heads is taken from the budget.
func newControlServer(l net.Listener, h http.Handler, budget *memory.Budget) *khttp.Server {
	connections := callers.NewConnections(controlTimeout, func() time.Duration { return controlIdleTimeout })
	connections.Limits = callers.Limits{MaxConnections: maxControlConnections(), MaxHeadBytes: func() int { return maxControlHeadBytes },
		Memory: budget, WriteTimeout: controlTimeout}
	s := newServer(callers.Listener{DrainingListener: callers.NewDrainingListener(l.(*net.TCPListener)), Connections: connections}, h)
	s.ConnState = connections.ConnState
	s.ReadHeaderTimeout, s.ReadTimeout = controlTimeout, controlTimeout
	s.IdleTimeout = -1 // connections closes idle ones
	return s
}

// ServeHTTP implements http.Handler. It serves a request from a caller.
func (s *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := s.readRequest(w, r)
	if err != nil {
		// After the answer net/http reads the rest of a body.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTime))
		s.refuseUnread(w, r, err)
		return
	}
	defer req.release()
	started := s.bootTime()
	a, ok := s.handle(r.Context(), req, r.Header.Get(traceparentHeader), gateway.Arrived{Host: req.host, Path: req.path})
	if !ok {
		s.metrics.CallerDisconnected()
		// The caller has closed the connection, so there is nobody to answer.
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, req, a)
	s.metrics.Answered(a, s.bootTime()-started)
}

// newRequest returns a request with a new ID.
func (s *callerServer) newRequest(method string, caller gateway.CallerHeaders) *callerRequest {
	return &callerRequest{id: gateway.RequestID(s.lastID.Add(1)), method: method, caller: caller,
		answered: make(chan gateway.Answer, 1)}
}

// traceparentHeader is the header that identifies the parent of a span (W3C Trace
// Context).
const traceparentHeader = "Traceparent"

// handle submits a request to the core and waits for its answer. It reports false if ctx
// ended first. parent is the traceparent of the sender, empty if it sent none.
func (s *callerServer) handle(ctx context.Context, req *callerRequest, parent string, arrived gateway.Arrived) (gateway.Answer, bool) {
	var endSpan func(failure string)
	req.traceparent, endSpan = s.spans.StartRequest(parent, req.caller.AttemptID, req.delegated)
	s.add(req)
	defer s.remove(req.id)
	arrived.Request = req.id
	arrived.At, arrived.Remaining = s.bootTime(), req.caller.Remaining
	arrived.Digest, arrived.Organisation, arrived.AttemptID = req.digest, req.caller.Organisation, req.caller.AttemptID
	s.submit(arrived)
	select {
	case a := <-req.answered:
		failure := ""
		if !a.Served() {
			failure = a.Kind.String()
		}
		endSpan(failure)
		return a, true
	case <-ctx.Done():
		s.submit(gateway.CallerDisconnected{Request: req.id})
		endSpan("caller_left")
		return gateway.Answer{}, false
	}
}

func (s *callerServer) add(req *callerRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[req.id] = req
}

func (s *callerServer) remove(id gateway.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, id)
}

// pending returns the number of requests without an answer.
func (s *callerServer) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *callerServer) request(id gateway.RequestID) *callerRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

// deliver passes an answer to the goroutine that serves the request. It returns the
// request, or nil if the caller has disconnected.
func (s *callerServer) deliver(a gateway.Answer) *callerRequest {
	req := s.request(a.Request)
	if req != nil {
		req.answered <- a
	}
	return req
}

// pathOf returns the path as the caller sent it, without decoding or cleaning.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}

// requestTarget returns the request target in origin form (RFC 9112, section 3.2.1).
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readRequest reads the complete request before it is handled, so that it can be sent to
// more than one target and is never sent partially when a caller stops sending.
func (s *callerServer) readRequest(w http.ResponseWriter, r *http.Request) (*callerRequest, error) {
	req := s.newRequest(r.Method, s.protocol.ParseCaller(r.Header))
	req.host, req.path = r.Host, pathOf(r)
	limits := s.limits.Load()
	if size := max(headSize(r), callers.HeadBytes(r.Context())); size > limits.MaxHeaderBytes {
		return nil, &headTooLargeError{Size: size, Limit: limits.MaxHeaderBytes}
	}
	limit := limits.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if r.ContentLength != 0 {
		if err := s.readCallerBody(w, r, req, limit); err != nil {
			return nil, err
		}
	}
	var head bytes.Buffer
	head.Grow(512)
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, requestTarget(r), r.Host)
	if err := forwardedHeaders(r.Header, s.setsHeader).Write(&head); err != nil {
		return nil, err
	}
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(req.body))
	}
	req.head = head.Bytes()
	req.digest = requestDigest(s.digestKey, r.Method, r.Host, requestTarget(r), req.caller.Organisation, req.body)
	return req, nil
}

// readCallerBody reads the body of a request. It is bounded in bytes, in time, and by the
// memory for all bodies in progress.
func (s *callerServer) readCallerBody(w http.ResponseWriter, r *http.Request, req *callerRequest, limit int64) error {
	control := http.NewResponseController(w)
	// Fails only if the connection has no deadlines, as in tests without a connection.
	_ = control.SetReadDeadline(time.Now().Add(callerBodyTimeout))
	hold := s.bodies.Hold(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	body, err := readBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, hold)
	if err != nil {
		hold.Release()
		return err
	}
	_ = control.SetReadDeadline(time.Time{})
	req.body, req.holds = body, append(req.holds, hold)
	return nil
}

// setsHeader reports whether the instance itself sets a header of the requests to targets,
// so that the caller's value is not forwarded.
func (s *callerServer) setsHeader(canonicalName string) bool {
	return s.protocol.SetsHeader(canonicalName) || s.spans.Enabled() && canonicalName == traceparentHeader
}

// headSize returns the smallest size of the head of a request on the wire, in bytes. It is
// without the spaces around values, which net/http removes.
func headSize(r *http.Request) int {
	// The request line with its two spaces, the Host header and the empty line.
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host:") + len(r.Host) + 4*len("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(":") + len(value) + len("\r\n")
		}
	}
	return size
}

// headTooLargeError is the error of a request whose head exceeds the published limit. Size
// and Limit are in bytes.
type headTooLargeError struct{ Size, Limit int }

// Error implements error.
func (e *headTooLargeError) Error() string {
	return fmt.Sprintf("the head has %d bytes and may have %d; send fewer or shorter headers", e.Size, e.Limit)
}

// refuseUnread answers a request that readRequest could not read.
func (s *callerServer) refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	var head *headTooLargeError
	if errors.As(err, &head) {
		s.metrics.RequestUnread("head_too_large")
		w.Header().Set("Connection", "close")
		http.Error(w, head.Error(), http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	var over *boundError
	if errors.As(err, &over) && over.bound == boundMemory {
		s.metrics.RequestUnread("no_memory")
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the instance has no memory for the body; send it again later", http.StatusServiceUnavailable)
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.metrics.RequestUnread("too_slow")
		w.Header().Set("Connection", "close")
		http.Error(w, fmt.Sprintf("the body did not arrive within %v", callerBodyTimeout), http.StatusRequestTimeout)
		return
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		s.metrics.RequestUnread("too_large")
		w.Header().Set("Connection", "close")
		http.Error(w, fmt.Sprintf("the body is over the limit of %d bytes; send a shorter one", tooLarge.Limit), http.StatusRequestEntityTooLarge)
		return
	}
	s.metrics.RequestUnread("caller_left")
	panic(http.ErrAbortHandler) // the caller does not send the rest of the request
}

// writeAnswer writes the core's answer to the caller.
func (s *callerServer) writeAnswer(w http.ResponseWriter, req *callerRequest, a gateway.Answer) {
	if a.Closing {
		w.Header().Set("Connection", "close")
	}
	switch a.Kind {
	case gateway.AnswerTarget:
		rep := req.reply(a.Attempt)
		rep.hold.Resume(func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)) })
		for name, values := range forwardedHeaders(rep.header, func(string) bool { return false }) {
			w.Header()[name] = values
		}
		if _, ok := w.Header()["Content-Type"]; !ok {
			w.Header()["Content-Type"] = nil // keeps net/http from guessing a type
		}
		writeResponse(w, rep.status, rep.body)
	case gateway.AnswerGathered:
		s.protocol.SetGathered(w.Header(), a.Stamps, a.Missing)
		w.Header().Set("Content-Type", "application/octet-stream")
		writeResponse(w, http.StatusOK, a.Records)
	case gateway.AnswerRefused:
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		writeText(w, http.StatusServiceUnavailable, a.Reason)
	case gateway.AnswerNoRoute:
		writeText(w, http.StatusNotFound, a.Reason)
	case gateway.AnswerLate:
		writeText(w, http.StatusGatewayTimeout, a.Reason)
	default:
		writeText(w, http.StatusBadGateway, a.Reason)
	}
}

// writeText writes an answer of the instance itself as a line of text.
func writeText(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writeResponse(w, status, []byte(reason+"\n"))
}

// writeResponse writes a complete answer. The error of a failed write is ignored, as it
// means that the caller has disconnected.
func writeResponse(w http.ResponseWriter, status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
