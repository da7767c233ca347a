// Package trace sets up OpenTelemetry tracing and the export of spans.
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

// Exporter selects where spans are exported to. It is a value of the settings.
type Exporter string

// The exporters.
const (
	// None records no spans. The trace context of callers is forwarded unchanged.
	None Exporter = "none"
	// Stdout writes each span as a line of JSON.
	Stdout Exporter = "stdout"
)

// ErrExporter is returned for an unknown exporter.
var ErrExporter = errors.New("trace: unknown exporter")

// scope is the name of the tracer: the instrumentation scope of all spans.
const scope = "example.org/mustardring"

// Provider provides the tracer of one instance and exports its spans.
type Provider struct {
	provider *sdk.TracerProvider
}

// New returns a provider for the named instance of a failure domain. The empty exporter means
// None. Stdout writes its spans to w, in batches.
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

// Tracer returns the tracer, or nil if no spans are recorded.
func (p *Provider) Tracer() trace.Tracer {
	if p.provider == nil {
		return nil
	}
	return p.provider.Tracer(scope)
}

// Close exports the remaining spans and ends the provider.
func (p *Provider) Close(ctx context.Context) error {
	if p.provider == nil {
		return nil
	}
	if err := p.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}
