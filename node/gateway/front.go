package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/node/telemetry"
)

const (
	// headTimeout bounds the time for the head of a caller's request. The bound
	// that is published for callers is a few seconds, and net/http can't change
	// its own while it serves.
	headTimeout = 30 * time.Second
	// maxHeadBytes bounds the head of a request before its published limit is
	// checked; it is the default of net/http.
	maxHeadBytes = http.DefaultMaxHeaderBytes
)

// defaultLimits bounds callers until a configuration is known: a body of 1 MiB,
// a head of 64 KiB, and idle connections longer than callers keep them.
var defaultLimits = gateway.CallerLimits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 20, IdleTimeout: 2 * time.Minute}

// callerRequest is one request of a caller that has been read.
type callerRequest struct {
	id     gateway.RequestID
	method string
	host   string
	path   string
	caller gateway.CallerHeaders
	// head is the request line and the headers that are passed on, each with its
	// line end, without the empty line.
	head []byte
	body []byte
	// traceparent is the parent of the spans of attempts; empty if spans are not
	// exported.
	traceparent string
	// delegated says that another instance gets the answer for its caller.
	delegated bool
	answered  chan gateway.Answer

	mu      sync.Mutex // guards replies
	replies map[gateway.AttemptID]*reply
}

func (r *callerRequest) keep(id gateway.AttemptID, rep *reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replies == nil {
		r.replies = make(map[gateway.AttemptID]*reply, 1)
	}
	r.replies[id] = rep
}

func (r *callerRequest) reply(id gateway.AttemptID) *reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replies[id]
}

// front serves callers.
type front struct {
	protocol Protocol
	submit   func(gateway.Input) bool
	boot     func() time.Duration
	metrics  Metrics
	spans    *telemetry.Spans
	http     *khttp.Server
	limits   atomic.Pointer[gateway.CallerLimits]
	idle     *idleConnections
	lastID   atomic.Uint64

	mu       sync.Mutex // guards requests; held for map operations only
	requests map[gateway.RequestID]*callerRequest
}

func newFront(l net.Listener, p Protocol, submit func(gateway.Input) bool, boot func() time.Duration, m Metrics, spans *telemetry.Spans) *front {
	f := &front{protocol: p, submit: submit, boot: boot, metrics: m, spans: spans, requests: make(map[gateway.RequestID]*callerRequest)}
	limits := defaultLimits
	f.limits.Store(&limits)
	f.idle = newIdleConnections(func() time.Duration { return f.limits.Load().IdleTimeout })
	f.http = newServer(l, f)
	f.http.ConnState = f.idle.changed
	return f
}

// setLimits takes over published limits. What they leave open stays as it is.
func (f *front) setLimits(published gateway.CallerLimits) {
	limits := *f.limits.Load()
	if published.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = published.MaxHeaderBytes
	}
	if published.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = published.MaxBodyBytes
	}
	if published.IdleTimeout > 0 {
		limits.IdleTimeout = published.IdleTimeout
	}
	f.limits.Store(&limits)
}

// newServer returns a kratos server that passes every request to the handler as
// it is: the router of kratos would clean paths.
func newServer(l net.Listener, h http.Handler) *khttp.Server {
	s := khttp.NewServer(
		khttp.Listener(l),
		// Without the address kratos asks for the network interfaces.
		khttp.Address(l.Addr().String()),
		khttp.Timeout(0), // each request has its own deadline
		khttp.Filter(func(http.Handler) http.Handler { return h }),
	)
	s.ReadHeaderTimeout = headTimeout
	s.MaxHeaderBytes = maxHeadBytes
	s.DisableGeneralOptionsHandler = true
	return s
}

// ServeHTTP serves one request of a caller.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := f.readRequest(w, r)
	if err != nil {
		f.refuseUnread(w, r, err)
		return
	}
	started := f.boot()
	a, ok := f.await(r.Context(), req, r.Header.Get(traceparentHeader), gateway.Arrived{Host: req.host, Path: req.path})
	if !ok {
		f.metrics.CallerLeft()
		// The connection is closed: there is no one to answer.
		panic(http.ErrAbortHandler)
	}
	f.write(w, req, a)
	f.metrics.Answered(a, f.boot()-started)
}

// newRequest returns a request with a new id.
func (f *front) newRequest(method string, caller gateway.CallerHeaders) *callerRequest {
	return &callerRequest{id: gateway.RequestID(f.lastID.Add(1)), method: method, caller: caller,
		answered: make(chan gateway.Answer, 1)}
}

// traceparentHeader names the parent of a span (W3C Trace Context).
const traceparentHeader = "Traceparent"

// await passes a request to the core and waits for its answer. It reports false
// if ctx ended first. parent is the traceparent of the sender.
func (f *front) await(ctx context.Context, req *callerRequest, parent string, arrived gateway.Arrived) (gateway.Answer, bool) {
	var endSpan func(failure string)
	req.traceparent, endSpan = f.spans.Request(parent, req.caller.AttemptID, req.delegated)
	f.mu.Lock()
	f.requests[req.id] = req
	f.mu.Unlock()
	defer f.remove(req.id)
	arrived.Request = req.id
	arrived.At, arrived.Remaining = f.boot(), req.caller.Remaining
	f.submit(arrived)
	select {
	case a := <-req.answered:
		failure := ""
		if !a.Served() {
			failure = a.Kind.String()
		}
		endSpan(failure)
		return a, true
	case <-ctx.Done():
		f.submit(gateway.CallerDisconnected{Request: req.id})
		endSpan("caller_left")
		return gateway.Answer{}, false
	}
}

func (f *front) remove(id gateway.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, id)
}

func (f *front) request(id gateway.RequestID) *callerRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[id]
}

// deliver hands an answer to the caller's goroutine. It returns the request, or
// nil if the caller has left.
func (f *front) deliver(a gateway.Answer) *callerRequest {
	req := f.request(a.Request)
	if req != nil {
		req.answered <- a
	}
	return req
}

// pathOf returns the path as the caller sent it.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}

// requestTarget returns the target of the request line in origin form.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readRequest reads the whole request, so that it can be sent to more than one
// target and is never left half sent by a caller that stops.
func (f *front) readRequest(w http.ResponseWriter, r *http.Request) (*callerRequest, error) {
	req := f.newRequest(r.Method, f.protocol.Caller(r.Header))
	req.host, req.path = r.Host, pathOf(r)
	limits := f.limits.Load()
	if size := headSize(r); size > limits.MaxHeaderBytes {
		return nil, &headTooLargeError{Size: size, Limit: limits.MaxHeaderBytes}
	}
	limit := limits.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if r.ContentLength != 0 {
		var err error
		if req.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit)); err != nil {
			return nil, err
		}
	}
	var head bytes.Buffer
	head.Grow(512)
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, requestTarget(r), r.Host)
	if err := passedOn(r.Header, f.own).Write(&head); err != nil {
		return nil, err
	}
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(req.body))
	}
	req.head = head.Bytes()
	return req, nil
}

// own reports whether the instance sets a header of the request to a target
// itself.
func (f *front) own(canonicalName string) bool {
	return f.protocol.Own(canonicalName) || f.spans.Enabled() && canonicalName == traceparentHeader
}

// headSize returns the size of the head of a request on the wire, in bytes.
func headSize(r *http.Request) int {
	// The request line with its two spaces, the Host header and the empty line.
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host: ") + len(r.Host) + 4*len("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return size
}

// headTooLargeError says that the head of a request is over the published limit,
// in bytes.
type headTooLargeError struct{ Size, Limit int }

// Error implements error.
func (e *headTooLargeError) Error() string {
	return fmt.Sprintf("the head has %d bytes and may have %d; send fewer or shorter headers", e.Size, e.Limit)
}

// refuseUnread answers a request that was not read.
func (f *front) refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	var head *headTooLargeError
	if errors.As(err, &head) {
		f.metrics.Unread("head_too_large")
		w.Header().Set("Connection", "close")
		http.Error(w, head.Error(), http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		f.metrics.Unread("too_large")
		w.Header().Set("Connection", "close")
		http.Error(w, fmt.Sprintf("the body is over the limit of %d bytes; send a shorter one", tooLarge.Limit), http.StatusRequestEntityTooLarge)
		return
	}
	f.metrics.Unread("caller_left")
	panic(http.ErrAbortHandler) // the rest of the request will not come
}

// write sends the answer to the caller.
func (f *front) write(w http.ResponseWriter, req *callerRequest, a gateway.Answer) {
	if a.Closing {
		w.Header().Set("Connection", "close")
	}
	switch a.Kind {
	case gateway.AnswerTarget:
		rep := req.reply(a.Attempt)
		for name, values := range passedOn(rep.header, func(string) bool { return false }) {
			w.Header()[name] = values
		}
		if _, ok := w.Header()["Content-Type"]; !ok {
			w.Header()["Content-Type"] = nil // net/http would guess one
		}
		send(w, rep.status, rep.body)
	case gateway.AnswerGathered:
		f.protocol.Gathered(w.Header(), a.Stamps, a.Missing)
		w.Header().Set("Content-Type", "application/octet-stream")
		send(w, http.StatusOK, a.Records)
	case gateway.AnswerRefused:
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		explain(w, http.StatusServiceUnavailable, a.Reason)
	case gateway.AnswerNoRoute:
		explain(w, http.StatusNotFound, a.Reason)
	case gateway.AnswerLate:
		explain(w, http.StatusGatewayTimeout, a.Reason)
	default:
		explain(w, http.StatusBadGateway, a.Reason)
	}
}

func explain(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	send(w, status, []byte(reason+"\n"))
}

// send writes a whole answer. A failed write means that the caller has gone.
func send(w http.ResponseWriter, status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
