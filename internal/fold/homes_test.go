package fold

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/keys"
)

var (
	lower = keys.Range{First: 0, Last: 99}
	upper = keys.Range{First: 100, Last: 199}
)

func homesTaken(domain string, base uint64, ranges ...keys.Range) record.HomesTaken {
	return record.HomesTaken{
		Domain:   domain,
		Base:     base,
		Services: []record.ServiceHomes{{Service: "pregled", Ranges: ranges}},
	}
}

// A bundle moves a range from one domain to another while the first is cut off from the log
// and still serves the range. The second states the range and would serve it as well, so that
// two servers would own the same keys. It must get the range only after the first released it.
func TestHomesMoveOnlyAfterRelease(t *testing.T) {
	is := is.New(t)
	s := New(nil)
	is.Equal(s.applyHomesTaken(0, homesTaken("klet", 0, lower, upper)), Result(Accepted{}))
	is.Equal(s.applyHomesTaken(1, homesTaken("podstresje", 0, upper)), Result(Accepted{}))
	is.Equal(len(FindHomes(s.Homes, "pregled", "podstresje").Ranges), 0)
	is.Equal(s.applyHomesTaken(2, homesTaken("klet", 1, lower)), Result(Accepted{}))
	is.Equal(s.applyHomesTaken(3, homesTaken("podstresje", 2, upper)), Result(Accepted{}))
	is.Equal(FindHomes(s.Homes, "pregled", "podstresje").Ranges, []keys.Range{upper})
}

// A former leader releases a range in a statement that arrives late: under an old term, or
// after a statement of its successor, which serves the range again. If the late statement
// were accepted, another domain could take the range and serve it too.
func TestHomesOfOldLeaderAreRejected(t *testing.T) {
	tests := map[string]record.HomesTaken{
		"older term":           {Domain: "klet", Log: 4, Base: 3},
		"before the successor": {Domain: "klet", Log: 5, Base: 1},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(nil)
			s.Terms["klet"] = Term{Log: 5}
			first, second := homesTaken("klet", 0, lower), homesTaken("klet", 1, lower)
			first.Log, second.Log = 5, 5
			is.Equal(s.applyHomesTaken(0, first), Result(Accepted{}))
			is.Equal(s.applyHomesTaken(2, second), Result(Accepted{}))
			r.Services = []record.ServiceHomes{{Service: "pregled"}}
			rejected, ok := s.applyHomesTaken(5, r).(Rejected)
			is.True(ok)
			is.Equal(rejected.Cause, CauseSuperseded)
			is.Equal(FindHomes(s.Homes, "pregled", "klet").Ranges, []keys.Range{lower})
		})
	}
}

func TestHomesSurviveCheckpoint(t *testing.T) {
	is := is.New(t)
	s := New(nil)
	is.Equal(s.applyHomesTaken(0, homesTaken("klet", 0, lower)), Result(Accepted{}))
	data, err := s.Encode()
	is.NoErr(err)
	restored, err := Restore(data, nil)
	is.NoErr(err)
	is.Equal(restored.Homes, s.Homes)
}
