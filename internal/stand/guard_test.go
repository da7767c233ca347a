package stand_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/stand"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

func exchange(t *testing.T, base string, x grant.Exchange) grant.Answer {
	t.Helper()
	x.Service, x.Server = "oddaja", "s1"
	body, err := json.Marshal(x)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := admin.Post(base+grant.ExchangePath, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var answer grant.Answer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer
}

// A server that checks grants gets a request for a key that it does not own, then the grant,
// then the same request, then crashes. The first is refused as not run, the second runs, and
// after the crash nothing of the grant is left.
func TestServerObeysGrant(t *testing.T) {
	is := is.New(t)
	base, client := start(t, stand.ServerSettings{ChecksGrants: true})
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

	setFault(t, base, stand.ServerFault{Crash: true, RestartMillis: 1})
	after := grant.Answer{Incarnation: before.Incarnation}
	for after.Incarnation == before.Incarnation {
		if resp, err := admin.Get(base + stand.HealthPath); err == nil {
			resp.Body.Close()
			after = exchange(t, base, grant.Exchange{Term: term})
		}
	}
	is.True(after.Epoch.IsZero())
	is.True(!after.Voting)
	page := runsOf(t, base)
	is.Equal(page.Total, 1)
	is.Equal(page.Refused, 1)
}
