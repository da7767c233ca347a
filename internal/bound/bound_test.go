package bound

import (
	"errors"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/config"
)

// small has one kind of 100 requests a second with 100 ms of work, and three servers of two slots.
func small() Sheet {
	return Sheet{Seconds: 100, Services: []Service{{
		Name: "books", Slots: 2, Servers: []Servers{{2, 1}, {1, 2}},
		Kinds: []Kind{{Name: "read", WorkMillis: 100, Rate: 100, PatienceMillis: 1000, Keyed: true}},
	}}}
}

func between(from, seconds float64) Disruption {
	return Disruption{Name: "d", StartSeconds: from, DurationSeconds: seconds}
}

// Each figure is worked out by hand from the formulas of the design page, for 10 s with 1,000 requests.
func TestLost(t *testing.T) {
	rejection := &Rejection{Service: "books", Share: 0.5}
	cut := func(stay bool, takeover float64) *Cut {
		return &Cut{CallerShare: 1.0 / 3, ServerShare: 1.0 / 3, CallersStay: stay, TakeoverSeconds: takeover}
	}
	tests := map[string]struct {
		change func(v *Service)
		cause  cause
		want   float64
	}{
		// 500 - 2 x 2 / 0.1 x 11
		"hot key":             {nil, &HotKey{"books", "read", 0.5}, 60},
		"key that is not hot": {nil, &HotKey{"books", "read", 0.4}, 0},
		// Of 1,000 the last 100 wait until the end. 900 x 0.5, then 900 x 0.25
		"rejection":              {nil, rejection, 450},
		"rejection and a return": {func(v *Service) { v.Returns = 1 }, rejection, 225},
		// 450 - 0.5 x (5 + 0.1 x 1,000)
		"rejection and retries": {func(v *Service) { v.RetryRatio, v.RetrySlack, v.RetryWindowSeconds = 0.1, 5, 10 }, rejection, 397.5},
		// Two windows of 6 s: 450 - 0.5 x (2 x 5 + 0.1 x 1,200)
		"rejection and two windows": {func(v *Service) { v.RetryRatio, v.RetrySlack, v.RetryWindowSeconds = 0.1, 5, 6 }, rejection, 385},
		// A caller asks 1.5 times: 225 - 0.5 x 0.1 x 1,500
		"returns earn retries": {func(v *Service) { v.Returns, v.RetryRatio, v.RetryWindowSeconds = 1, 0.1, 10 }, rejection, 150},
		"all rejected":         {func(v *Service) { v.Returns, v.RetrySlack, v.RetryWindowSeconds = 3, 5, 10 }, &Rejection{"books", 1, 0}, 900},
		// The fastest server is among the others: 900 - 2 x 2 x 10 / 0.1
		"two of three reject": {nil, &Rejection{"books", 1, 2}, 500},
		// 900 x 4/9
		"cut": {nil, cut(true, 50), 400},
		// 300 x 4/9 before a takeover is known to be too late, 600 x 1/3 after it
		"cut and a takeover": {nil, cut(true, 4), 1000.0 / 3},
		// 900 x (1/3 x 4/9 + 2/3 x 1/9)
		"cut and moving callers": {func(v *Service) { v.Returns = 1 }, cut(false, 50), 200},
		// Either side may have the fast server: 1,200 - (4 + 2) x 10 / 0.1 outside, 600 - 4 x 10 / 0.1 inside
		"cut without keys": {func(v *Service) { v.Kinds[0].Keyed, v.Kinds[0].Rate = false, 200 }, cut(true, 50), 800},
		// 3,000 - 8 x 11 / 0.1
		"burst": {nil, &Burst{"books", 3}, 2120},
		// Both kinds arrive 500 times; 8 x 11 = 88 s of work: 500 x 0.1, then 38 / 0.2
		"burst of two kinds": {func(v *Service) {
			v.Kinds[0].Rate = 50
			v.Kinds = append(v.Kinds, Kind{Name: "write", WorkMillis: 200, Rate: 50, PatienceMillis: 500})
		}, &Burst{"books", 1}, 310},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, d := small(), between(10, 10)
			switch c := test.cause.(type) {
			case *HotKey:
				d.HotKey = c
			case *Rejection:
				d.Rejection = c
			case *Cut:
				d.Cut = c
			case *Burst:
				d.Burst = c
			}
			s.Disruptions = []Disruption{d}
			if test.change != nil {
				test.change(&s.Services[0])
			}
			is.NoErr(s.Check("sheet.json"))
			rows := Compute(s).Parts[0].Rows
			is.True(math.Abs(rows[len(rows)-1].Lost-test.want) < 1e-6) // lost
		})
	}
}

// Losses of disruptions at the same time may be the same requests: only the larger counts.
func TestWholeTimeCountsNoRequestTwice(t *testing.T) {
	is := is.New(t)
	s := small()
	s.Services[0].Kinds[0].Rate = 50 // of 80 that the servers can do
	for _, from := range []float64{10, 15, 30} {
		d := between(from, 10)
		d.Rejection = &Rejection{Service: "books", Share: from / 30}
		s.Disruptions = append(s.Disruptions, d)
	}
	parts := Compute(s).Parts
	is.Equal(len(parts), 4)
	is.True(math.Abs(parts[3].Rows[0].Lost-(225+450)) < 1e-6) // 450 x 15/30, and 450 x 30/30
	s.Disruptions = nil
	s.Services[0].Kinds[0].Rate = 160
	is.Equal(Compute(s).Parts[0].Rows[0].Lost, 16_000.0-8*101/0.1) // demand that exceeds all servers
}

// Guards against a bound that is too low: callers whose retries and returns are all used where they
// help are not served beyond it.
func TestRejectionBoundHoldsForCallers(t *testing.T) {
	for _, share := range []float64{0.3, 0.55, 0.9} {
		is := is.New(t)
		s := small()
		v := &s.Services[0]
		v.Returns, v.RetryRatio, v.RetrySlack, v.RetryWindowSeconds = 2, 0.2, 10, 50
		v.Kinds[0].PatienceMillis = 1
		d := between(0, 50)
		d.Rejection = &Rejection{Service: "books", Share: share}
		s.Disruptions = []Disruption{d}
		random := rand.New(rand.NewPCG(1, 2))
		budget, served := v.RetrySlack, 0.0
		for range 5000 {
			for ask := 0; ask < 3; ask++ {
				budget += v.RetryRatio
				ok := random.Float64() >= share
				for ; !ok && budget >= 1; budget-- {
					ok = random.Float64() >= share
				}
				if ok {
					served++
					break
				}
			}
		}
		// Three standard deviations of the number of requests served by chance.
		is.True(served <= 5000-Compute(s).Parts[0].Rows[0].Lost+3*math.Sqrt(5000*share*(1-share)))
	}
}

// A sheet with a fault is refused with the file and the field, and both examples are valid.
func TestSheetFaults(t *testing.T) {
	tests := map[string]struct{ from, to, field string }{
		"valid":             {``, ``, ""},
		"unknown field":     {`"slots"`, `"slot": 1, "slots"`, "slot"},
		"wrong type":        {`"slots": 4`, `"slots": "x"`, "services.slots"},
		"no speed":          {`"speed": 0.5`, `"speed": 0`, "services.sharded.servers.speed"},
		"no patience":       {`"patience-ms": 2000, `, ``, "services.sharded.kinds.read.patience-ms"},
		"same name":         {`"name": "submit"`, `"name": "read"`, "services.sharded.kinds.name"},
		"window missing":    {`"retry-window-seconds": 10`, `"retry-window-seconds": 0`, "services.sharded.retry-window-seconds"},
		"share above one":   {`"share": 0.55`, `"share": 55`, "disruptions.server-full.rejection.share"},
		"unknown service":   {`{"service": "sharded", "share"`, `{"service": "x", "share"`, "disruptions.server-full.rejection.service"},
		"unknown kind":      {`"kind": "read"`, `"kind": "x"`, "disruptions.hot-read.hot-key.kind"},
		"two causes":        {`"burst": {`, `"rejection": {"service": "sharded"}, "burst": {`, "disruptions.surge.*"},
		"no cause":          {`"burst": {"factor": 1.6}`, `"burst": null`, "disruptions.surge.*"},
		"beyond the end":    {`"start-seconds": 40`, `"start-seconds": 55`, "disruptions.surge.duration-seconds"},
		"too many servers":  {`"share": 0.55`, `"share": 0.55, "servers": 202`, "disruptions.server-full.rejection.servers"},
		"negative takeover": {`"takeover-seconds": 7.5`, `"takeover-seconds": -1`, "disruptions.partition.cut.takeover-seconds"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("testdata/a.json")
			is.NoErr(err)
			file := filepath.Join(t.TempDir(), "sheet.json")
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(string(data), test.from, test.to, 1)), 0o600))
			_, err = config.Load[Sheet](file)
			var fault *config.Error
			is.Equal(errors.As(err, &fault), test.field != "")
			if fault != nil {
				is.Equal(fault.Field, test.field)
				is.Equal(fault.File, file)
			}
		})
	}
	_, err := config.Load[Sheet]("testdata/b.json")
	is.New(t).NoErr(err)
}
