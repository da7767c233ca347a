package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
)

// A request that is forwarded once makes one trace with a span for each hop. The trace continues
// that of the caller and is passed on to the server.
func TestSpanForEachHop(t *testing.T) {
	is := is.New(t)
	recorder := tracetest.NewSpanRecorder()
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder))
	defer func() { _ = provider.Shutdown(context.Background()) }()
	tracing := func(d *Deps) { d.Tracer = provider.Tracer("test") }
	gate, edge := start(t, "one", tracing), start(t, "two", tracing)
	gate.finder.set(here(testService(), backend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Traceparent"))
	})))
	edge.finder.set(route.Forward{Service: testService(), Addresses: []string{address(gate.forwards)}})
	const trace = "0af7651916cd43dd8448eb211c80319c"
	got := do(t, post(is, edge.callers.URL+"/oddaja/x", "text", "Traceparent", "00-"+trace+"-b7ad6b7169203331-01"))
	is.True(strings.HasPrefix(string(got.body), "00-"+trace+"-"))
	edge.callers.Close()
	gate.forwards.Close()
	var names []string
	for _, span := range recorder.Ended() {
		is.Equal(span.SpanContext().TraceID().String(), trace)
		names = append(names, span.Name())
	}
	is.Equal(len(names), 4)
	is.Equal(strings.Count(strings.Join(names, " "), spanServe), 2)
	is.True(!strings.Contains(string(got.body), "b7ad6b7169203331"))
}

func TestTraceContextIsPassedOnWithoutTracer(t *testing.T) {
	is := is.New(t)
	i := start(t, "one", nil)
	i.finder.set(here(testService(), backend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Traceparent"))
	})))
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	is.Equal(string(do(t, post(is, i.callers.URL+"/oddaja/x", "text", "Traceparent", parent)).body), parent)
}

// The names of the metrics are stable, because operators monitor them.
func TestVars(t *testing.T) {
	is := is.New(t)
	i := start(t, "one", nil)
	i.finder.set(here(testService(), backend(t, echo)))
	do(t, post(is, i.callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "x"))
	do(t, post(is, i.callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "x"))
	i.finder.set(route.Unavailable{Reason: route.ReasonNoOwner})
	do(t, post(is, i.callers.URL+"/oddaja/x", "text"))
	i.awaitIdle()
	var vars struct {
		Ran      int            `json:"requests-ran"`
		NotRun   int            `json:"requests-not-run"`
		Replayed int            `json:"resends-replayed"`
		Refusals map[string]int `json:"refusals"`
		Services []ServiceStatus
	}
	is.NoErr(json.Unmarshal([]byte(i.front.Vars().String()), &vars))
	is.Equal(vars.Ran, 2)
	is.Equal(vars.NotRun, 1)
	is.Equal(vars.Replayed, 1)
	is.Equal(vars.Refusals, map[string]int{"no-owner": 1})
	is.Equal(vars.Services[0].NumRecords, 1)
	is.Equal(vars.Services[0].Servers, []ServerStatus{{Server: "oddaja-a", Slots: 2, Connections: 1}})
}
