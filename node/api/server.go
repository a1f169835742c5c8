package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/node/callers"
	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/telemetry"
)

const (
	// readHeaderTimeout bounds the time to read the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout bounds the wait for the next request on a connection.
	idleTimeout = 2 * time.Minute
	// readTimeout bounds the time to read a request whose body no handler reads. It is longer
	// than any call without a body.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the time that a caller takes to accept a write.
	writeTimeout   = 10 * time.Second
	maxHeaderBytes = 32 << 10
)

// Config configures a Server. All fields are required.
type Config struct {
	Core model.CoreConfig
	// Submit passes an input to the event loop. It waits while the queue of the loop
	// is full, and reports false if the loop has ended.
	Submit func(model.Input) bool
	// DumpTrace writes the recorded inputs, for GET /v1/trace.
	DumpTrace func(io.Writer) error
	Metrics   *telemetry.Metrics
	Spans     *telemetry.Spans
	// Memory bounds the memory of heads and bodies, MaxConnections the open connections.
	Memory         *memory.Budget
	MaxConnections int
}

// Server is the HTTP server. HandleOutput and ApplySet are called by the event loop
// and never block.
type Server struct {
	cfg      Config
	listener callers.Listener
	http     *khttp.Server
	calls    *pendingCalls
	ready    atomic.Pointer[model.Ready]
	// stopping is set once answers announce the close of their connection.
	stopping atomic.Bool
	// bodyLimit is max_body_bytes of the set in force.
	bodyLimit atomic.Int64
}

// New returns a server that serves on the listener once Start is called.
func New(cfg Config, l callers.TCPListener) *Server {
	s := &Server{cfg: cfg, calls: newPendingCalls()}
	connections := callers.NewConnections(readHeaderTimeout, func() time.Duration { return idleTimeout })
	connections.Limits = callers.Limits{MaxConnections: cfg.MaxConnections, MaxHeadBytes: func() int { return maxHeaderBytes },
		Memory: cfg.Memory, WriteTimeout: writeTimeout}
	s.listener = callers.Listener{DrainingListener: callers.NewDrainingListener(l), Connections: connections}
	s.ready.Store(&model.Ready{Reason: "the instance has just started"})
	s.bodyLimit.Store(int64(objects.DefaultLimits().MaxBodyBytes))
	s.http = khttp.NewServer(
		khttp.Listener(s.listener),
		khttp.Timeout(0), // each call has its own deadline
		khttp.Filter(s.announceClose),
		khttp.NotFoundHandler(http.HandlerFunc(s.notFound)),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(s.wrongMethod)),
	)
	s.http.ReadHeaderTimeout, s.http.ReadTimeout = readHeaderTimeout, readTimeout
	s.http.IdleTimeout = -1 // connections closes idle ones
	s.http.ConnState = connections.ConnState
	s.http.MaxHeaderBytes = maxHeaderBytes
	s.routes()
	return s
}

func (s *Server) routes() {
	r := s.http.Route("/")
	post := func(path string, h http.HandlerFunc) { r.POST(path, adaptHandler(h)) }
	get := func(path string, h http.HandlerFunc) { r.GET(path, adaptHandler(h)) }
	post("/v1/search", s.search)
	post("/v1/book", s.book)
	post("/v1/booking-ids", s.bookingIDs)
	get("/healthz", s.healthz)
	get("/readyz", s.readyz)
	get("/v1/status", s.status)
	get("/v1/trace", s.trace)
	get("/v1/metrics-help", s.metricsHelp)
	get("/debug/vars", s.vars)
}

// adaptHandler adapts a handler to kratos. It passes the underlying ResponseWriter,
// because the ResponseWriter of kratos defers the status code.
func adaptHandler(h http.HandlerFunc) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		w := ctx.Response()
		if u, ok := w.(interface{ Unwrap() http.ResponseWriter }); ok {
			w = u.Unwrap()
		}
		h(w, ctx.Request())
		return nil
	}
}

// ServeHTTP serves one request, for tests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.ServeHTTP(w, r) }

// Start serves until Stop is called, and then returns nil.
func (s *Server) Start() error {
	defer s.listener.Close() // Stop waits for the listener, also if the server has failed
	return s.http.Start(context.Background())
}

// announceClose makes the answers of a stopping server announce the close of their connection.
func (s *Server) announceClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// BeginStop makes the answers to further calls announce the close of their connection. The
// server goes on until Stop.
func (s *Server) BeginStop() { s.stopping.Store(true) }

// Stop accepts the connections that are waiting, refuses further ones, and waits until the
// calls in progress have been answered, or until the context ends. It closes a connection
// without a call after at most callers.MaxFreshTime. Start must have been called.
func (s *Server) Stop(ctx context.Context) {
	s.BeginStop()
	s.listener.Drain(ctx)
	_ = s.http.Close() // connections still open end with the process
}

// HandleOutput delivers answers to calls and stores the readiness. It reports false
// for other outputs.
func (s *Server) HandleOutput(out model.Output) bool {
	switch out := out.(type) {
	case model.SearchAnswer:
		s.calls.deliver(out.Call, out)
	case model.BookAnswer:
		s.calls.deliver(out.Call, out)
	case model.BookingIDs:
		s.calls.deliver(out.Call, out)
	case model.Status:
		s.calls.deliver(out.Call, out)
	case model.Ready:
		s.ready.Store(&out)
		s.cfg.Metrics.SetReady(out.Ready)
	default:
		return false
	}
	return true
}

// ApplySet adopts the limits of the set in force.
func (s *Server) ApplySet(set *objects.Set) { s.bodyLimit.Store(int64(set.Limits.MaxBodyBytes)) }

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, requestID(r), http.StatusNotFound, refusal(model.KindBadRequest, "no such path: "+r.URL.Path+"; docs/api.md lists the paths"))
}

func (s *Server) wrongMethod(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, requestID(r), http.StatusMethodNotAllowed, refusal(model.KindBadRequest, "the path does not take "+r.Method+"; docs/api.md lists the methods"))
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	ready := s.ready.Load()
	status := http.StatusOK
	if !ready.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readyResponse{Ready: ready.Ready, Reason: ready.Reason})
}

func (s *Server) trace(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	// A failed write means that the reader has disconnected.
	_ = s.cfg.DumpTrace(w)
}

func (s *Server) metricsHelp(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, telemetry.MetricTable())
}

func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(s.cfg.Metrics.Vars())
}

// refuse answers a call that did not reach the core.
func (s *Server) refuse(w http.ResponseWriter, requestID string, status int, e *model.Error) {
	s.cfg.Metrics.CallRefused(e.Kind)
	writeError(w, requestID, status, e)
}

func writeError(w http.ResponseWriter, requestID string, status int, e *model.Error) {
	w.Header().Set("X-Request-Id", requestID)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, status, errorResponse{RequestID: requestID, Error: errorBody{
		ID: e.Kind.ID(), Kind: e.Kind.String(), Execution: e.Execution.String(), Message: e.Message,
	}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		// Marshal fails only for a result that is not JSON. The instance that receives
		// an answer from a target checks the result, so another instance has relayed a
		// damaged answer.
		status = http.StatusBadGateway
		raw, _ = json.Marshal(errorResponse{RequestID: w.Header().Get("X-Request-Id"), Error: errorBody{
			ID: model.KindTargetAnswer.ID(), Kind: model.KindTargetAnswer.String(), Execution: model.Unknown.String(),
			Message: "the answer of a target is not JSON: " + err.Error() + "; check the releases of the instances",
		}})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n')) // a failed write means that the caller has disconnected
}
