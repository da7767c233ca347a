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

func taken(domain string, version uint64, ranges ...keys.Range) record.HomesTaken {
	return record.HomesTaken{Domain: domain, Service: "pregled", Version: version, Ranges: ranges}
}

// A bundle moves a range from one domain to another while the first is cut off from the log
// and still serves it. The second reads the bundle, states the range, and would serve it as
// well: a batch is claimed twice. The fold gives the range to the second only after the first
// has left it out.
func TestHomesPassOnlyWhenLeftOut(t *testing.T) {
	is := is.New(t)
	s := New(nil)
	is.Equal(s.takeHomes(0, taken("klet", 1, lower, upper)), Verdict(Accepted{}))
	is.Equal(s.takeHomes(1, taken("podstresje", 2, upper)), Verdict(Accepted{}))
	is.Equal(len(s.TakenBy("pregled", "podstresje").Ranges), 0)
	is.Equal(s.takeHomes(2, taken("klet", 2, lower)), Verdict(Accepted{}))
	is.Equal(s.takeHomes(3, taken("podstresje", 2, upper)), Verdict(Accepted{}))
	is.Equal(s.TakenBy("pregled", "podstresje").Ranges, []keys.Range{upper})
	is.Equal(s.takeHomes(4, taken("podstresje", 2, upper)), Verdict(Repeated{}))
}

// A leader that was succeeded states homes late, by an old bundle or an old term. Its
// statement must change nothing: the successor may have granted by its own.
func TestHomesOfOldLeaderAreRefused(t *testing.T) {
	tests := map[string]record.HomesTaken{
		"older version": {Domain: "klet", Service: "pregled", Version: 1, Log: 5},
		"older term":    {Domain: "klet", Service: "pregled", Version: 3, Log: 4},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(nil)
			s.Terms["klet"] = Term{Log: 5}
			first := record.HomesTaken{Domain: "klet", Service: "pregled", Version: 2, Log: 5, Ranges: []keys.Range{lower}}
			is.Equal(s.takeHomes(0, first), Verdict(Accepted{}))
			refused, ok := s.takeHomes(1, r).(Refused)
			is.True(ok)
			is.Equal(refused.Cause, CauseSuperseded)
			is.Equal(s.TakenBy("pregled", "klet").Ranges, []keys.Range{lower})
		})
	}
}

func TestHomesSurviveCheckpoint(t *testing.T) {
	is := is.New(t)
	s := New(nil)
	is.Equal(s.takeHomes(0, taken("klet", 1, lower)), Verdict(Accepted{}))
	data, err := s.Encode()
	is.NoErr(err)
	restored, err := Restore(data, nil)
	is.NoErr(err)
	is.Equal(restored.Homes, s.Homes)
}
