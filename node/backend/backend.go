package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// probeTimeout bounds a health probe. A target that takes longer than the interval
// between probes is not healthy.
const probeTimeout = 500 * time.Millisecond

// Spans records trace spans. StartAttempt starts the span of one attempt; it returns
// the traceparent for the target and a function that ends the span.
type Spans interface {
	StartAttempt(out model.SendTarget) (traceparent string, end func(model.TargetReply))
}

// Config configures a Backend. All fields are required.
type Config struct {
	// Submit passes an input to the event loop. It waits while the queue of the loop
	// is full, and reports false if the loop has ended.
	Submit func(model.Input) bool
	// BootTime returns the time of CLOCK_BOOTTIME.
	BootTime func() time.Duration
	Spans    Spans
	Metrics  Metrics
}

// Metrics counts opened connections and replies.
type Metrics interface {
	ConnectionOpened()
	TargetReplied(model.TargetReply)
}

// Backend carries out SendTarget, CancelTarget and ProbeTarget. Its methods are
// called by the event loop and, except for Close, never block.
type Backend struct {
	cfg     Config
	targets *targetTable
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	mu   sync.Mutex // guards work; held for map operations only
	work map[model.WorkID]context.CancelFunc
}

// New returns a Backend that has no connections yet.
func New(cfg Config) *Backend {
	ctx, stop := context.WithCancel(context.Background())
	return &Backend{
		cfg:     cfg,
		targets: newTargetTable(cfg.Metrics.ConnectionOpened),
		ctx:     ctx,
		stop:    stop,
		work:    make(map[model.WorkID]context.CancelFunc),
	}
}

// Close cancels all work, waits until it has ended and closes idle connections.
func (b *Backend) Close() {
	b.stop()
	b.running.Wait()
	b.targets.close()
}

// ApplySet adopts the addresses, connection limits and slots of the set in force.
func (b *Backend) ApplySet(set *objects.Set) {
	limits := make(map[model.TargetID]targetLimits)
	for i := range set.Groups {
		for _, t := range set.Groups[i].Targets {
			limits[model.TargetID(t.Name)] = targetLimits{address: t.Address, connections: t.Connections, slots: t.Slots}
		}
	}
	b.targets.apply(limits)
}

// Send starts one unit of work. Exactly one TargetReply is submitted for each call.
func (b *Backend) Send(out model.SendTarget) {
	remaining := out.Deadline - b.cfg.BootTime()
	ctx, cancel := context.WithTimeout(b.ctx, max(0, remaining))
	b.mu.Lock()
	b.work[out.Work] = cancel
	b.mu.Unlock()
	tgt := b.targets.get(out.Target, out.Address)
	b.running.Go(func() {
		defer cancel()
		reply := b.attempt(ctx, tgt, out)
		b.mu.Lock()
		delete(b.work, out.Work)
		b.mu.Unlock()
		b.cfg.Metrics.TargetReplied(reply)
		b.cfg.Submit(reply)
	})
}

// Cancel cancels a unit of work. Its TargetReply is still submitted.
func (b *Backend) Cancel(work model.WorkID) {
	b.mu.Lock()
	cancel := b.work[work]
	b.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// attempt sends the single request of a unit of work and returns its result.
func (b *Backend) attempt(ctx context.Context, tgt *target, out model.SendTarget) model.TargetReply {
	traceparent, endSpan := b.cfg.Spans.StartAttempt(out)
	tracker := &writeTracker{deadline: out.Deadline, now: b.cfg.BootTime}
	req := b.newRequest(ctx, tgt, out, traceparent, tracker)
	reply := model.TargetReply{Work: out.Work}
	resp, err := tgt.transport.RoundTrip(req)
	if err != nil {
		classifyError(&reply, ctx, tracker, err)
	} else {
		b.readAnswer(ctx, &reply, out, tracker, resp)
	}
	if startedAt := tracker.firstWriteAt.Load(); startedAt != 0 {
		reply.Latency = b.cfg.BootTime() - time.Duration(startedAt)
	}
	if reply.Reset {
		b.targets.resetWarmUp(tgt)
	}
	endSpan(reply)
	return reply
}

// newRequest returns a request that net/http cannot retry. The body cannot be
// rewound (no GetBody), so the transport writes it at most once. There is no
// Idempotency-Key header, which would permit a retry after bytes were written.
func (b *Backend) newRequest(ctx context.Context, tgt *target, out model.SendTarget, traceparent string, tracker *writeTracker) *http.Request {
	header := make(http.Header, 6)
	header.Set("Content-Type", "application/json")
	header.Set("X-Request-Id", out.RequestID)
	if traceparent != "" {
		header.Set("Traceparent", traceparent)
	}
	u := tgt.book
	if out.BookingID == "" {
		u = tgt.search
		header.Set("X-Snapshot", strconv.FormatUint(uint64(out.Snapshot), 10))
	} else {
		header.Set("X-Booking-Id", out.BookingID)
	}
	setDeadlineHeader(header, out.Deadline-b.cfg.BootTime())
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			// The wait for a connection counts against the deadline.
			setDeadlineHeader(header, out.Deadline-b.cfg.BootTime())
			c := info.Conn.(*conn)
			c.current.Store(tracker)
			tracker.conn.Store(c)
		},
	})
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           u,
		Host:          u.Host,
		Header:        header,
		Body:          &onceBody{data: out.Body},
		ContentLength: int64(len(out.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return req.WithContext(ctx)
}

// setDeadlineHeader sets X-Deadline-Ms to the remaining time, or 0 if there is none.
func setDeadlineHeader(header http.Header, remaining time.Duration) {
	header.Set("X-Deadline-Ms", strconv.FormatInt(max(0, remaining.Milliseconds()), 10))
}

// onceBody is a request body that net/http cannot rewind, and so sends at most
// once.
type onceBody struct {
	data []byte
}

func (o *onceBody) Read(p []byte) (int, error) {
	if len(o.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, o.data)
	o.data = o.data[n:]
	return n, nil
}

func (o *onceBody) Close() error { return nil }

// Probe starts reading the health report of a target. Exactly one ProbeReply is
// submitted for each call.
func (b *Backend) Probe(out model.ProbeTarget) {
	tgt := b.targets.get(out.Target, out.Address)
	b.running.Go(func() {
		ctx, cancel := context.WithTimeout(b.ctx, probeTimeout)
		defer cancel()
		report, err := b.readReport(ctx, tgt)
		if err != nil {
			b.targets.resetWarmUp(tgt)
		} else {
			b.preconnect(out.Target, tgt)
		}
		b.cfg.Submit(model.ProbeReply{Target: out.Target, OK: err == nil, Report: report})
	})
}

// preconnect opens a connection for each slot of a target, so that its first work
// does not wait for connects. http.Transport opens several connections only for
// concurrent requests, and requests for health reports are the cheapest. One of
// them reuses the connection of the probe.
func (b *Backend) preconnect(id model.TargetID, tgt *target) {
	for range b.targets.claimWarmUp(id, tgt) {
		b.running.Go(func() {
			ctx, cancel := context.WithTimeout(b.ctx, probeTimeout)
			defer cancel()
			_, _ = b.readReport(ctx, tgt)
		})
	}
}

func (b *Backend) readReport(ctx context.Context, tgt *target) (model.TargetReport, error) {
	req := (&http.Request{Method: http.MethodGet, URL: tgt.health, Host: tgt.health.Host, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	// A reused connection still refers to the tracker of its previous request. Without
	// the reset, the probe would be checked against the deadline of that request.
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*conn).current.Store(nil) },
	}))
	resp, err := tgt.transport.RoundTrip(req)
	if err != nil {
		return model.TargetReport{}, err
	}
	defer resp.Body.Close()
	raw, err := readAll(resp.Body, resp.ContentLength, maxReportBytes)
	if err != nil {
		return model.TargetReport{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return model.TargetReport{}, errStatus
	}
	return decodeReport(raw)
}
