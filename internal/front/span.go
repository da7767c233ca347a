package front

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"example.org/mustardring/pkg/caller"
)

// The names of spans, one for each hop.
const (
	spanServe   = "serve"
	spanForward = "forward"
	spanSend    = "send"
)

// traceContext is the W3C trace context (traceparent and tracestate).
var traceContext propagation.TraceContext

// serveSpan begins the span of a request at this instance, and returns what ends it. Without
// a tracer it does nothing, and the caller's trace context is passed on as it came.
func (f *Front) serveSpan(w http.ResponseWriter, q *request) func() {
	if f.deps.Tracer == nil {
		return func() {}
	}
	ctx := traceContext.Extract(q.Context(), propagation.HeaderCarrier(q.Header))
	ctx, span := f.deps.Tracer.Start(ctx, spanServe, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("service", q.service), attribute.String("request-id", q.id), attribute.Int("hops", q.hops),
	))
	q.Request = q.WithContext(ctx)
	return func() {
		h := w.Header()
		span.SetAttributes(
			attribute.String("outcome", h.Get(caller.HeaderOutcome)), attribute.String("server", h.Get(caller.HeaderServer)),
		)
		span.End()
	}
}

// nextSpan begins the span of the next hop and puts the trace context into its headers. It
// returns what ends the span.
func (f *Front) nextSpan(ctx context.Context, name, to string, h http.Header) func() {
	if f.deps.Tracer == nil {
		return func() {}
	}
	ctx, span := f.deps.Tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("to", to),
	))
	traceContext.Inject(ctx, propagation.HeaderCarrier(h))
	return func() { span.End() }
}
