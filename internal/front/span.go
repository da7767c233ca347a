package front

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"example.org/mustardring/pkg/caller"
)

// The names of spans.
const (
	spanServe   = "serve"
	spanForward = "forward"
	spanSend    = "send"
)

// traceContext is the W3C trace context (traceparent and tracestate).
var traceContext propagation.TraceContext

// startServeSpan starts the span of a request at this instance and returns the function that ends
// it. Without a tracer it does nothing, and the trace context of the caller is passed on unchanged.
func (f *Front) startServeSpan(w http.ResponseWriter, q *request) func() {
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

// startHopSpan starts the span of the next hop, adds the trace context to the headers h, and
// returns the function that ends the span.
func (f *Front) startHopSpan(ctx context.Context, name, to string, h http.Header) func() {
	if f.deps.Tracer == nil {
		return func() {}
	}
	ctx, span := f.deps.Tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("to", to),
	))
	traceContext.Inject(ctx, propagation.HeaderCarrier(h))
	return func() { span.End() }
}
