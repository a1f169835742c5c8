package telemetry

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"galenadyke.dev/core/model"
	"galenadyke.dev/node/settings"
)

// maxRelaySpans bounds the number of relays and forwarded bookings that have a span while
// their reply is awaited. Further ones have no span.
const maxRelaySpans = 10_000

// Spans creates a span for each hop of a request: the caller's call, the relay or
// delegation to another instance, and the attempt at a target. A W3C traceparent
// carries the parent span from hop to hop. Without an exporter there are no spans,
// and galenadyked run passes the caller's traceparent on.
type Spans struct {
	provider *sdktrace.TracerProvider // nil without an exporter
	tracer   trace.Tracer
	file     io.Closer

	mu     sync.Mutex // guards relays
	relays map[model.WorkRef]relaySpan
}

// relaySpan is the span of a relay or forwarded booking whose reply is awaited.
type relaySpan struct {
	span trace.Span
	to   model.InstanceID // receiver of the relay or booking
}

// NewSpans returns spans that go to the exporter of the settings. It fails if the
// span file cannot be opened. Close must be called to export the last spans.
func NewSpans(s settings.Spans, instance, place string) (*Spans, error) {
	spans := &Spans{relays: make(map[model.WorkRef]relaySpan)}
	var w io.Writer
	switch s.SpanExporter {
	case settings.ExporterFile:
		f, err := os.OpenFile(s.SpanFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("span_file: %w", err)
		}
		w, spans.file = f, f
	case settings.ExporterStderr:
		w = os.Stderr
	default:
		return spans, nil
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, err
	}
	spans.setProvider(sdktrace.WithBatcher(exporter), instance, place)
	return spans, nil
}

// setProvider makes spans go to an exporter or a span processor, with the instance
// and its data centre as attributes.
func (s *Spans) setProvider(processor sdktrace.TracerProviderOption, instance, place string) {
	s.provider = sdktrace.NewTracerProvider(processor, sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "galenadyked"),
		attribute.String("service.instance.id", instance),
		attribute.String("place", place),
	)))
	s.tracer = s.provider.Tracer("galenadyke.dev/node")
}

// Close exports the spans that have ended. It gives up when ctx ends.
func (s *Spans) Close(ctx context.Context) {
	if s.provider == nil {
		return
	}
	_ = s.provider.Shutdown(ctx) // the process ends even if the last spans are lost
	if s.file != nil {
		_ = s.file.Close()
	}
}

// isTraceparent reports whether a header value is a valid W3C traceparent.
func isTraceparent(traceparent string) bool {
	carrier := propagation.MapCarrier{"traceparent": traceparent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	return trace.SpanContextFromContext(ctx).IsValid()
}

// startSpan starts a span whose parent is given as a traceparent. It returns the
// traceparent of the new span and the span.
func (s *Spans) startSpan(parent, name string, kind trace.SpanKind, attributes ...attribute.KeyValue) (string, trace.Span) {
	carrier := propagation.MapCarrier{"traceparent": parent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	ctx, span := s.tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attributes...))
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"], span
}

// StartCall starts the span of a caller's call. parent is the header that the caller
// sent; if it is not a valid traceparent, it is dropped and not passed on. Without
// an exporter the returned traceparent is that of the caller.
func (s *Spans) StartCall(parent, call, requestID string) (traceparent string, end func(model.Kind)) {
	if parent != "" && !isTraceparent(parent) {
		parent = ""
	}
	if s.provider == nil {
		return parent, func(model.Kind) {}
	}
	traceparent, span := s.startSpan(parent, call, trace.SpanKindServer, attribute.String("request_id", requestID))
	return traceparent, func(kind model.Kind) { endSpan(span, failureName(kind)) }
}

// StartAttempt implements backend.Spans.
func (s *Spans) StartAttempt(out model.SendTarget) (traceparent string, end func(model.TargetReply)) {
	if s.provider == nil {
		return out.Trace, func(model.TargetReply) {}
	}
	traceparent, span := s.startSpan(out.Trace, "target", trace.SpanKindClient,
		attribute.String("target", string(out.Target)), attribute.Bool("hedge", out.Hedge),
		attribute.Int64("snapshot", int64(out.Snapshot)))
	return traceparent, func(r model.TargetReply) {
		span.SetAttributes(attribute.String("execution", r.Execution.String()))
		endSpan(span, failureName(r.Error))
	}
}

// RelaySent starts the span of a relay or a forwarded booking, and returns the
// message with the traceparent of the span. Other messages are returned unchanged.
func (s *Spans) RelaySent(out model.SendPeer) model.SendPeer {
	if s.provider == nil {
		return out
	}
	switch m := out.Message.(type) {
	case model.RelayRequest:
		if len(m.Items) > 0 {
			m.Trace = s.startRelay(m.Trace, "relay", m.Items[0].Ref, out.To,
				attribute.Int("items", len(m.Items)), attribute.Bool("hedge", m.Items[0].Hedge))
			out.Message = m
		}
	case model.BookForward:
		m.Trace = s.startRelay(m.Trace, "forward", m.Ref, out.To)
		out.Message = m
	}
	return out
}

// startRelay starts the span of a message to another instance and keeps it until
// the outcome of ref arrives. It returns the traceparent of the span, or parent if
// maxRelaySpans are kept already.
func (s *Spans) startRelay(parent, name string, ref model.WorkRef, to model.InstanceID, attributes ...attribute.KeyValue) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.relays) >= maxRelaySpans {
		return parent
	}
	traceparent, span := s.startSpan(parent, name, trace.SpanKindClient,
		append(attributes, attribute.String("instance", string(to)))...)
	s.relays[ref] = relaySpan{span: span, to: to}
	return traceparent
}

// InputSeen ends the spans of relays and forwarded bookings that an input answers
// or whose receiver it reports as down. The span of a relay with several items
// ends with the outcome of the first item.
func (s *Spans) InputSeen(in model.Input) {
	if s.provider == nil {
		return
	}
	switch in := in.(type) {
	case model.PeerDown:
		s.endRelaysTo(in.Peer)
	case model.PeerInput:
		switch m := in.Message.(type) {
		case model.RelayReply:
			for i := range m.Items {
				s.endRelay(m.Items[i].Ref, m.Items[i].Error)
			}
		case model.BookOutcome:
			s.endRelay(m.Ref, m.Error)
		}
	}
}

func (s *Spans) endRelaysTo(peer model.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ref, r := range s.relays {
		if r.to == peer {
			delete(s.relays, ref)
			endSpan(r.span, failureName(model.KindPeerLost))
		}
	}
}

func (s *Spans) endRelay(ref model.WorkRef, kind model.Kind) {
	s.mu.Lock()
	r, ok := s.relays[ref]
	delete(s.relays, ref)
	s.mu.Unlock()
	if ok {
		endSpan(r.span, failureName(kind))
	}
}

// failureName returns the name of an error kind, empty for KindNone.
func failureName(kind model.Kind) string {
	if kind == model.KindNone {
		return ""
	}
	return kind.String()
}

// endSpan ends a span. failure is empty after a success.
func endSpan(span trace.Span, failure string) {
	if failure != "" {
		span.SetStatus(codes.Error, failure)
		span.SetAttributes(attribute.String("error.kind", failure))
	}
	span.End()
}
