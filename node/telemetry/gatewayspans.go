package telemetry

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"galenadyke.dev/core/gateway"
)

// Enabled reports whether spans are exported. If not, a gateway passes the
// caller's traceparent to targets like any other header.
func (s *Spans) Enabled() bool { return s.provider != nil }

// StartRequest starts the span of a request at a gateway. parent is the traceparent
// of the sender; an invalid one is ignored. delegated reports whether another
// instance sent the request for one of its callers. The caller of StartRequest must
// call end, with an empty failure after a success. Without an exporter, the returned
// traceparent is empty.
func (s *Spans) StartRequest(parent, requestID string, delegated bool) (traceparent string, end func(failure string)) {
	if s.provider == nil {
		return "", func(string) {}
	}
	traceparent, span := s.startSpan(parent, "request", trace.SpanKindServer,
		attribute.String("request_id", requestID), attribute.Bool("delegated", delegated))
	return traceparent, func(failure string) { endSpan(span, failure) }
}

// StartGatewayAttempt starts the span of a gateway's attempt at a target. Without an
// exporter, the returned traceparent is empty.
func (s *Spans) StartGatewayAttempt(parent string, out gateway.SendAttempt) (traceparent string, end func(gateway.Outcome)) {
	if s.provider == nil {
		return "", ignoreOutcome
	}
	return s.startHop(parent, "target", attribute.String("target", string(out.Target)))
}

// StartDelegation starts the span of a request that a gateway delegates to
// another instance. Without an exporter, the returned traceparent is empty.
func (s *Spans) StartDelegation(parent string, out gateway.Delegate) (traceparent string, end func(gateway.Outcome)) {
	if s.provider == nil {
		return "", ignoreOutcome
	}
	return s.startHop(parent, "delegate", attribute.String("instance", out.To))
}

// StartForwarding starts the span of a batch that a gateway sends through another
// instance. Without an exporter, the returned traceparent is empty.
func (s *Spans) StartForwarding(parent string, out gateway.SendBatch) (traceparent string, end func(gateway.Outcome)) {
	if s.provider == nil {
		return "", ignoreOutcome
	}
	return s.startHop(parent, "forward", attribute.String("instance", out.To), attribute.Int("attempts", len(out.Targets)))
}

func ignoreOutcome(gateway.Outcome) {}

// startHop starts the span of a request to a target or another instance.
func (s *Spans) startHop(parent, name string, attributes ...attribute.KeyValue) (string, func(gateway.Outcome)) {
	traceparent, span := s.startSpan(parent, name, trace.SpanKindClient, attributes...)
	return traceparent, func(o gateway.Outcome) {
		failure := ""
		if o != gateway.OutcomeSuccess {
			failure = o.String()
		}
		endSpan(span, failure)
	}
}
