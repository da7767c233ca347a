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

func taken(domain string, base uint64, ranges ...keys.Range) record.HomesTaken {
	return record.HomesTaken{
		Domain:   domain,
		Base:     base,
		Services: []record.ServiceHomes{{Service: "pregled", Ranges: ranges}},
	}
}

// A bundle moves a range from one domain to another while the first is cut off from the log
// and still serves it. The second reads the bundle, states the range, and would serve it as
// well: a batch is claimed twice. The fold gives the range to the second only after the first
// has left it out.
func TestHomesPassOnlyWhenLeftOut(t *testing.T) {
	is := is.New(t)
	s := New(nil)
	is.Equal(s.takeHomes(0, taken("klet", 0, lower, upper)), Result(Accepted{}))
	is.Equal(s.takeHomes(1, taken("podstresje", 0, upper)), Result(Accepted{}))
	is.Equal(len(FindHomes(s.Homes, "pregled", "podstresje").Ranges), 0)
	is.Equal(s.takeHomes(2, taken("klet", 1, lower)), Result(Accepted{}))
	is.Equal(s.takeHomes(3, taken("podstresje", 2, upper)), Result(Accepted{}))
	is.Equal(FindHomes(s.Homes, "pregled", "podstresje").Ranges, []keys.Range{upper})
}

// A leader that was succeeded leaves a range out in a statement that arrives late, by an old
// term or after its successor's statement. The successor serves the range again; were the old
// statement obeyed, another domain would take the range and serve it too.
func TestHomesOfOldLeaderAreRefused(t *testing.T) {
	tests := map[string]record.HomesTaken{
		"older term":           {Domain: "klet", Log: 4, Base: 3},
		"before the successor": {Domain: "klet", Log: 5, Base: 1},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(nil)
			s.Terms["klet"] = Term{Log: 5}
			first, second := taken("klet", 0, lower), taken("klet", 1, lower)
			first.Log, second.Log = 5, 5
			is.Equal(s.takeHomes(0, first), Result(Accepted{}))
			is.Equal(s.takeHomes(2, second), Result(Accepted{}))
			r.Services = []record.ServiceHomes{{Service: "pregled"}}
			refused, ok := s.takeHomes(5, r).(Rejected)
			is.True(ok)
			is.Equal(refused.Cause, CauseSuperseded)
			is.Equal(FindHomes(s.Homes, "pregled", "klet").Ranges, []keys.Range{lower})
		})
	}
}

func TestHomesSurviveCheckpoint(t *testing.T) {
	is := is.New(t)
	s := New(nil)
	is.Equal(s.takeHomes(0, taken("klet", 0, lower)), Result(Accepted{}))
	data, err := s.Encode()
	is.NoErr(err)
	restored, err := Restore(data, nil)
	is.NoErr(err)
	is.Equal(restored.Homes, s.Homes)
}
