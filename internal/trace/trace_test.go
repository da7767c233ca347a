package trace

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestExporters(t *testing.T) {
	tests := map[string]struct {
		exporter Exporter
		spans    bool
		fault    error
	}{
		"none":    {exporter: None},
		"unset":   {},
		"stdout":  {exporter: Stdout, spans: true},
		"unknown": {exporter: "smoke", fault: ErrExporter},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			p, err := New(tt.exporter, "one", "klet", &out)
			is.True(errors.Is(err, tt.fault))
			if err != nil {
				return
			}
			is.Equal(p.Tracer() != nil, tt.spans)
			if tt.spans {
				_, span := p.Tracer().Start(context.Background(), "gate")
				span.End()
			}
			is.NoErr(p.Close(context.Background()))
			is.Equal(strings.Contains(out.String(), `"Name":"gate"`), tt.spans)
		})
	}
}
