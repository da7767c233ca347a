package stubs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/stubs"
	"example.org/mustardring/pkg/caller"
)

// start runs a server on a free port until the test ends.
func start(t *testing.T, s stubs.ServerSettings) (base string, client *http.Client) {
	t.Helper()
	s.Name, s.Service, s.Address = "s1", "oddaja", "127.0.0.1:0"
	server := stubs.NewServer(s)
	ctx, cancel := context.WithCancel(t.Context())
	ended, err := server.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	client = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		cancel()
		<-ended
		client.CloseIdleConnections()
	})
	return "http://" + server.Address(), client
}

// response is the response to a request. The body may be truncated.
type response struct {
	outcome caller.Outcome
	status  int
	body    []byte
}

func send(ctx context.Context, client *http.Client, base, id string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/work", bytes.NewReader([]byte("body")))
	if err != nil {
		return response{}, err
	}
	// net/http retries a request with an Idempotency-Key when a connection breaks, if it can get
	// the body again. A request would then run twice without the test noticing.
	req.GetBody = nil
	req.Header.Set(caller.HeaderRequestID, id)
	req.Header.Set(caller.HeaderKey, "key")
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{outcome: caller.Outcome(resp.Header.Get(caller.HeaderOutcome)), status: resp.StatusCode, body: body}, err
}

// admin uses a new connection for each call, so that connection faults of other calls do not affect
// it.
var admin = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func setFault(t *testing.T, base string, f stubs.ServerFault) {
	t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := admin.Post(base+stubs.FaultPath, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatal(resp.Status)
	}
}

func runsOf(t *testing.T, base string) stubs.RunsPage {
	t.Helper()
	resp, err := admin.Get(base + stubs.RunsPath)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var page stubs.RunsPage
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		t.Fatal(err)
	}
	return page
}

func TestServerFaults(t *testing.T) {
	tests := map[string]struct {
		fault   stubs.ServerFault
		outcome caller.Outcome
		cut     bool
		ran     int
	}{
		"no fault":     {outcome: caller.Ran, ran: 1},
		"shed":         {fault: stubs.ServerFault{Shed: true}, outcome: caller.NotRun},
		"half answer":  {fault: stubs.ServerFault{HalfAnswers: 1}, outcome: caller.Ran, cut: true, ran: 1},
		"wrong length": {fault: stubs.ServerFault{WrongLengths: 1}, outcome: caller.Ran, ran: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			base, client := start(t, stubs.ServerSettings{})
			setFault(t, base, test.fault)
			got, err := send(t.Context(), client, base, "a")
			is.Equal(err != nil, test.cut)
			is.Equal(got.outcome, test.outcome)
			var reply stubs.Reply
			whole := json.Unmarshal(got.body, &reply) == nil && reply.RequestID == "a"
			is.Equal(whole, name == "no fault")
			is.Equal(runsOf(t, base).Total, test.ran)
		})
	}
}

// A request crashes the server that runs it, and its caller sends it again. The stand-in records
// both runs across the crashes, so that a test can count how many processes a request crashed.
func TestServerCrashesOnPoison(t *testing.T) {
	is := is.New(t)
	base, client := start(t, stubs.ServerSettings{})
	setFault(t, base, stubs.ServerFault{Poison: "bad", RestartMillis: 1})
	for range 2 {
		_, err := send(t.Context(), client, base, "bad")
		is.True(err != nil)
		for err = io.EOF; err != nil; {
			_, err = send(t.Context(), client, base, "good")
		}
	}
	page := runsOf(t, base)
	crashed := 0
	for _, run := range page.Runs {
		if run.Crashed {
			crashed++
		}
	}
	is.Equal(crashed, 2)
	is.Equal(page.Doubled["bad"], 2)
}

// A request on a silent connection neither runs nor is answered, while a request on a new connection
// runs.
func TestServerSilentConnection(t *testing.T) {
	is := is.New(t)
	base, client := start(t, stubs.ServerSettings{})
	_, err := send(t.Context(), client, base, "a")
	is.NoErr(err)
	setFault(t, base, stubs.ServerFault{SilenceConnections: true})
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan error, 1)
	go func() {
		_, err := send(ctx, client, base, "b")
		answered <- err
	}()
	_, err = send(t.Context(), admin, base, "c")
	is.NoErr(err)
	cancel()
	is.True(<-answered != nil)
	ids := []string{}
	for _, run := range runsOf(t, base).Runs {
		ids = append(ids, run.RequestID)
	}
	is.Equal(ids, []string{"a", "c"})
}
