// Package trace sets up OpenTelemetry: where the spans of requests go.
package trace

import (
	"context"
	"errors"
	"fmt"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Exporter says where spans go.
type Exporter string

// The exporters.
const (
	// None makes no spans. The trace context of callers is passed on as it is.
	None Exporter = "none"
	// Stdout writes each span as a line of JSON.
	Stdout Exporter = "stdout"
)

// ErrExporter is returned for an exporter that is not known.
var ErrExporter = errors.New("trace: unknown exporter")

// scope names the tracer, and with it the origin of spans.
const scope = "example.org/mustardring"

// Provider makes the tracer of one instance.
type Provider struct {
	provider *sdk.TracerProvider
}

// New returns a provider for the named instance of a failure domain. Spans are written to w
// in batches.
func New(e Exporter, instance, domain string, w io.Writer) (*Provider, error) {
	switch e {
	case None, "":
		return &Provider{}, nil
	case Stdout:
	default:
		return nil, fmt.Errorf("%w: %q", ErrExporter, e)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	origin := resource.NewSchemaless(
		attribute.String("service.name", "mustardring"),
		attribute.String("service.instance.id", instance),
		attribute.String("failure-domain", domain),
	)
	return &Provider{provider: sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithResource(origin))}, nil
}

// Tracer returns the tracer, nil if no spans are made.
func (p *Provider) Tracer() trace.Tracer {
	if p.provider == nil {
		return nil
	}
	return p.provider.Tracer(scope)
}

// Close writes the spans that are left.
func (p *Provider) Close(ctx context.Context) error {
	if p.provider == nil {
		return nil
	}
	if err := p.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}
