package stubs_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/stubs"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

func exchange(t *testing.T, base string, x grant.Exchange) grant.Answer {
	t.Helper()
	answer, err := tryExchange(base, x)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func tryExchange(base string, x grant.Exchange) (grant.Answer, error) {
	var answer grant.Answer
	x.Service, x.Server = "oddaja", "s1"
	body, err := json.Marshal(x)
	if err != nil {
		return answer, err
	}
	resp, err := admin.Post(base+grant.ExchangePath, "application/json", bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

// A server that checks grants refuses a request without a grant as not run, runs one after it has
// received a grant for all keys, and after a crash starts with a new incarnation and no grant.
func TestServerObeysGrant(t *testing.T) {
	is := is.New(t)
	base, client := start(t, stubs.ServerSettings{ChecksGrants: true})
	got, err := send(t.Context(), client, base, "a")
	is.NoErr(err)
	is.Equal(got.status, http.StatusMisdirectedRequest)
	is.Equal(got.outcome, caller.NotRun)

	term := grant.Term{Log: 1}
	before := exchange(t, base, grant.Exchange{Term: term})
	granted := exchange(t, base, grant.Exchange{Term: term, Grant: &grant.Grant{
		Epoch:       grant.Epoch{Term: term, Sequence: 1},
		Incarnation: before.Incarnation,
		Deadline:    before.Clock + grant.Instant(9*time.Second),
		Ranges:      []keys.Range{keys.Full},
	}})
	is.Equal(granted.Refusal, grant.RefusalNone)
	got, err = send(t.Context(), client, base, "b")
	is.NoErr(err)
	is.Equal(got.outcome, caller.Ran)

	setFault(t, base, stubs.ServerFault{Crash: true, RestartMillis: 1})
	// The old process may answer once more, and until the new one starts the exchange fails.
	after := grant.Answer{Incarnation: before.Incarnation}
	for err != nil || after.Incarnation == before.Incarnation {
		after, err = tryExchange(base, grant.Exchange{Term: term})
	}
	is.True(after.Epoch.IsZero())
	is.True(!after.Voting)
	page := runsOf(t, base)
	is.Equal(page.Total, 1)
	is.Equal(page.Refused, 1)
}
