package rules_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/rules"
)

func config() *rules.Config {
	c := &rules.Config{Hosts: map[string][]*rules.Route{"a.example": {
		{Name: "all", Prefix: "/"}, {Name: "deep", Prefix: "/x/y/"}, {Name: "short", Prefix: "/x/"},
	}}}
	c.Sort()
	return c
}

func TestMatch(t *testing.T) {
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":      {"a.example", "/x/y/z", "deep"},
		"shorter prefix":      {"a.example", "/x/z", "short"},
		"only whole segments": {"a.example", "/x/yy", "short"},
		"the root":            {"a.example", "/", "all"},
		"other host":          {"b.example", "/x/", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := config().Match(test.host, test.path)
			if test.want == "" {
				is.True(r == nil)
				return
			}
			is.Equal(r.Name, test.want)
		})
	}
}

func TestPickKeepsWeights(t *testing.T) {
	is := is.New(t)
	r := &rules.Route{Services: []rules.WeightedService{{"a", 90}, {"b", 9}, {"c", 1}}}
	r.Seed(12345)
	counts := map[string]int{}
	for range 1000 {
		counts[r.Pick()]++
	}
	is.True(counts["a"] > 890 && counts["a"] < 910)
	is.True(counts["b"] > 80 && counts["b"] < 100)
	is.True(counts["c"] > 5 && counts["c"] < 15)
}

// The deciding instance had lost the store as a server drained, so nobody moved its keys, and
// requests went on reaching it after its time to leave.
func TestClosed(t *testing.T) {
	now := time.Unix(100, 0)
	tests := map[string]struct {
		server  rules.Server
		divided bool
		want    bool
	}{
		"in service":                {rules.Server{}, true, false},
		"drains, no keys":           {rules.Server{Draining: true, LeaveBy: now.Add(time.Second)}, false, true},
		"drains, keys not moved":    {rules.Server{Draining: true, LeaveBy: now.Add(time.Second)}, true, false},
		"drains, time to leave has": {rules.Server{Draining: true, LeaveBy: now.Add(-time.Millisecond)}, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(test.server.Closed(test.divided, now), test.want)
		})
	}
}
