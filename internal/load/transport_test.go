package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/stubs"
)

// startServer runs a stand-in server that ignores grants until the test ends.
func startServer(t *testing.T, s stubs.ServerSettings) string {
	t.Helper()
	s.Name, s.Service, s.Address, s.Slots, s.Queue = "s1", "oddaja", "127.0.0.1:0", 64, 64
	server := stubs.NewServer(s)
	ctx, cancel := context.WithCancel(t.Context())
	ended, err := server.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return server.Address()
}

// The load tool runs against a server without an entry instance. Each request runs once and gets its
// own complete response.
func TestRunAgainstServer(t *testing.T) {
	tests := map[string]Service{
		"bodies":       {Name: "oddaja", Share: 1, Keys: 50, NonIdempotentShare: 1, BodyBytes: 300},
		"empty bodies": {Name: "oddaja", Share: 1, Keys: 50, NonIdempotentShare: 1},
		"long answers": {Name: "arhiv", Share: 1, Keys: 50, AnswerBytes: 300_000},
	}
	for name, service := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := profile(func(p *Profile) {
				p.Entries, p.Servers = nil, []string{startServer(t, stubs.ServerSettings{})}
				p.Rate, p.DurationMillis, p.DirectShare, p.InFlight = 2000, 100, 1, 16
				p.DeadlineMillis = 60_000
				p.Services = []Service{service}
			})
			report, err := Run(t.Context(), p)
			is.NoErr(err)
			is.Equal(report.Lanes[1].Submissions["ran"], 199)
			is.Equal(*report.Audit, Audit{Complete: true, Ran: 199})
		})
	}
}

// The server closes idle connections, truncates a response and states a wrong length. The transport
// does not write a request twice because of that, and each request is counted once.
func TestTransportSendsOnce(t *testing.T) {
	is := is.New(t)
	address := startServer(t, stubs.ServerSettings{})
	p := profile(func(p *Profile) {
		p.Entries, p.Servers, p.DirectShare, p.InFlight = nil, []string{address}, 1, 1
		p.DeadlineMillis = 60_000
	})
	s := newSender(p, "run")
	s.started = time.Now()
	var all []record
	for n := range 20 {
		if n == 5 {
			postFault(t, address, stubs.ServerFault{DropConnections: true})
		}
		if n == 10 {
			postFault(t, address, stubs.ServerFault{HalfAnswers: 1, WrongLengths: 1})
		}
		all = s.send(t.Context(), planned{id: n, direct: true, nonIdempotent: true}, all)
	}
	runs, complete, err := fetchRuns(t.Context(), plainClient(), []string{address})
	is.NoErr(err)
	is.True(complete)
	got := audit(all, runs, "run-")
	is.Equal(got.Doubled, 0)
	is.Equal(got.Lost, 0)
	is.Equal(got.Cut, 2) // one by the connection, one by its stated length
	is.Equal(got.Crossed, 0)
	is.Equal(got.Ran+got.Unknown, 20)
	is.Equal(got.Ran, 19) // the one on the dropped connection got no response
	is.Equal(got.UnknownNotRun, 1)
}

// plainClient returns a client that uses a new connection for each request.
func plainClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func postFault(t *testing.T, address string, f stubs.ServerFault) {
	t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := plainClient().Post("http://"+address+stubs.FaultPath, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}
