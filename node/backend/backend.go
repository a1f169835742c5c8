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

// probeTimeout bounds a health probe. A probe that takes longer than the
// interval between probes says that the target is not healthy.
const probeTimeout = 500 * time.Millisecond

// Spans starts the span of an attempt. It returns the traceparent to pass on
// and the function that ends the span.
type Spans interface {
	Attempt(out model.SendTarget) (traceparent string, end func(model.TargetReply))
}

// Config configures a Backend. All fields are required.
type Config struct {
	Submit func(model.Input) bool
	// Boot reads CLOCK_BOOTTIME.
	Boot    func() time.Duration
	Spans   Spans
	Metrics Metrics
}

// Metrics counts what the package does.
type Metrics interface {
	ConnectionOpened()
	TargetReplied(model.TargetReply)
}

// Backend carries out SendTarget, CancelTarget and ProbeTarget. Its methods
// are called by the loop and never block.
type Backend struct {
	cfg     Config
	targets *targets
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	mu   sync.Mutex // guards work; held for map operations only
	work map[model.WorkID]context.CancelFunc
}

// New returns a Backend without connections.
func New(cfg Config) *Backend {
	ctx, stop := context.WithCancel(context.Background())
	return &Backend{
		cfg:     cfg,
		targets: newTargets(cfg.Metrics.ConnectionOpened),
		ctx:     ctx,
		stop:    stop,
		work:    make(map[model.WorkID]context.CancelFunc),
	}
}

// Close cancels all work and waits for its end.
func (b *Backend) Close() {
	b.stop()
	b.running.Wait()
	b.targets.close()
}

// Apply takes over the connection limits of the set in force.
func (b *Backend) Apply(set *objects.Set) {
	limits := make(map[model.TargetID]published)
	for i := range set.Groups {
		for _, t := range set.Groups[i].Targets {
			limits[model.TargetID(t.Name)] = published{address: t.Address, connections: t.Connections, slots: t.Slots}
		}
	}
	b.targets.apply(limits)
}

// Send starts one unit of work. Exactly one TargetReply follows.
func (b *Backend) Send(out model.SendTarget) {
	remaining := out.Deadline - b.cfg.Boot()
	ctx, cancel := context.WithTimeout(b.ctx, max(0, remaining))
	b.mu.Lock()
	b.work[out.Work] = cancel
	b.mu.Unlock()
	tg := b.targets.get(out.Target, out.Address)
	b.running.Go(func() {
		defer cancel()
		reply := b.attempt(ctx, tg, out)
		b.mu.Lock()
		delete(b.work, out.Work)
		b.mu.Unlock()
		b.cfg.Metrics.TargetReplied(reply)
		b.cfg.Submit(reply)
	})
}

// Cancel cancels a unit of work. Its TargetReply still follows.
func (b *Backend) Cancel(work model.WorkID) {
	b.mu.Lock()
	cancel := b.work[work]
	b.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// attempt makes the one request of a unit of work.
func (b *Backend) attempt(ctx context.Context, tg *target, out model.SendTarget) model.TargetReply {
	traceparent, end := b.cfg.Spans.Attempt(out)
	x := &exchange{deadline: out.Deadline, now: b.cfg.Boot}
	req := b.request(ctx, tg, out, traceparent, x)
	reply := model.TargetReply{Work: out.Work}
	resp, err := tg.transport.RoundTrip(req)
	if err != nil {
		classifyError(&reply, ctx, x, err)
	} else {
		b.readAnswer(ctx, &reply, out, x, resp)
	}
	if at := x.writtenAt.Load(); at != 0 {
		reply.Latency = b.cfg.Boot() - time.Duration(at)
	}
	if reply.Reset {
		b.targets.cool(tg)
	}
	end(reply)
	return reply
}

// request builds a request that net/http cannot repeat: its body cannot be
// rewound (no GetBody), so the transport writes it at most once, and it has no
// Idempotency-Key header, which would permit a replay after bytes were written.
func (b *Backend) request(ctx context.Context, tg *target, out model.SendTarget, traceparent string, x *exchange) *http.Request {
	header := make(http.Header, 6)
	header.Set("Content-Type", "application/json")
	header.Set("X-Request-Id", out.RequestID)
	if traceparent != "" {
		header.Set("Traceparent", traceparent)
	}
	u := tg.book
	if out.BookingID == "" {
		u = tg.search
		header.Set("X-Snapshot", strconv.FormatUint(uint64(out.Snapshot), 10))
	} else {
		header.Set("X-Booking-Id", out.BookingID)
	}
	setDeadline(header, out.Deadline-b.cfg.Boot())
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			// The wait for a connection counts against the deadline.
			setDeadline(header, out.Deadline-b.cfg.Boot())
			info.Conn.(*conn).current.Store(x)
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

func setDeadline(header http.Header, remaining time.Duration) {
	header.Set("X-Deadline-Ms", strconv.FormatInt(max(0, remaining.Milliseconds()), 10))
}

// onceBody is a body that net/http does not know how to rewind.
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

// Probe reads a health report. Exactly one ProbeReply follows.
func (b *Backend) Probe(out model.ProbeTarget) {
	tg := b.targets.get(out.Target, out.Address)
	b.running.Go(func() {
		ctx, cancel := context.WithTimeout(b.ctx, probeTimeout)
		defer cancel()
		report, err := b.readReport(ctx, tg)
		if err != nil {
			b.targets.cool(tg)
		} else {
			b.openAhead(out.Target, tg)
		}
		b.cfg.Submit(model.ProbeReply{Target: out.Target, OK: err == nil, Report: report})
	})
}

// openAhead opens a connection for each slot, so that the first work at a
// target does not wait for connects. Concurrent requests are the only way to
// make http.Transport do so; health reports are the cheapest ones. One of them
// takes the connection of the probe.
func (b *Backend) openAhead(id model.TargetID, tg *target) {
	for range b.targets.claimWarmUp(id, tg) {
		b.running.Go(func() {
			ctx, cancel := context.WithTimeout(b.ctx, probeTimeout)
			defer cancel()
			_, _ = b.readReport(ctx, tg)
		})
	}
}

func (b *Backend) readReport(ctx context.Context, tg *target) (model.TargetReport, error) {
	req := (&http.Request{Method: http.MethodGet, URL: tg.health, Host: tg.health.Host, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	// A connection still names the exchange before; without this a probe would
	// be checked against that deadline.
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*conn).current.Store(nil) },
	}))
	resp, err := tg.transport.RoundTrip(req)
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
