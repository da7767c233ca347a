package replay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// ErrRecipe is returned for a recipe or deployment that does not exist.
var ErrRecipe = errors.New("replay: unknown recipe")

// Recipe makes a trace from a seed.
type Recipe struct {
	Name string
	// Description says what happens in the trace.
	Description string
	// Deployments are those that the recipe is made for.
	Deployments []string
	make        func(m *maker)
}

const (
	second = Time(1000)
	minute = 60 * second
	hour   = 60 * minute
)

// Recipes returns all recipes.
func Recipes() []Recipe {
	both := []string{"rokopisna", "uva"}
	return []Recipe{
		{Name: "busy-volume", Deployments: []string{"rokopisna"}, make: busyVolume,
			Description: "One hour; the pages of one parish volume draw up to a third of all requests, then fade."},
		{Name: "hotel-season", Deployments: []string{"uva"}, make: hotelSeason,
			Description: "Four hours; requests triple while a few cheeses become popular and stay so."},
		{Name: "coming-and-going", Deployments: both, make: comingAndGoing,
			Description: "A day; each server stops three times, half of them lost without notice, and returns cold within minutes."},
		{Name: "rolling-replacement", Deployments: both, make: rollingReplacement,
			Description: "Each server in turn leaves, is replaced after 30 s and returns cold; four minutes for each."},
		{Name: "domain-cut", Deployments: both, make: domainCut,
			Description: "Three hours; the first domain is cut off for two, and loses a server meanwhile."},
		{Name: "log-down", Deployments: both, make: logDown,
			Description: "Two hours; the log is down for one, in which the second domain loses its leader and a server at once."},
		{Name: "hot-shift", Deployments: both, make: hotShift,
			Description: "Two hours; a set of 24 hot keys is replaced each four minutes."},
	}
}

// Generate makes the trace of a recipe for a deployment.
func Generate(recipe, deployed string, seed uint64) ([]TimedEvent, error) {
	at := slices.IndexFunc(Recipes(), func(r Recipe) bool { return r.Name == recipe })
	if at < 0 {
		return nil, fmt.Errorf("%w: %q", ErrRecipe, recipe)
	}
	r := Recipes()[at]
	if !slices.Contains(r.Deployments, deployed) {
		return nil, fmt.Errorf("%w: %q is not for deployment %q", ErrRecipe, recipe, deployed)
	}
	d := rokopisna()
	if deployed == "uva" {
		d = uva()
	}
	m := &maker{deployment: d, random: rand.New(rand.NewPCG(seed, uint64(at)))}
	m.add(0, Header{Deployment: d.name, Recipe: recipe, Seed: seed, OneWayMicros: d.oneWayMicros})
	m.add(0, Bundled{Bundle: d.bundle()})
	r.make(m)
	slices.SortStableFunc(m.trace, func(a, b TimedEvent) int { return int(a.At - b.At) })
	return m.trace, nil
}

// maker collects the events of a trace. They are sorted by time at the end.
type maker struct {
	deployment deployment
	random     *rand.Rand
	trace      []TimedEvent
}

func (m *maker) add(at Time, ev Event) {
	m.trace = append(m.trace, TimedEvent{At: at, Event: ev})
}

// hotKey is a hot key with its part of all requests of its service.
type hotKey struct {
	name string
	part float64
}

// hotSet draws hot keys. Together they bring the given part of all requests, the hottest at
// most a third of what one server's equal share is.
func (m *maker) hotSet(w workload, n int, part float64) []hotKey {
	set := make([]hotKey, n)
	sum := 0.0
	for i := range set {
		set[i] = hotKey{name: fmt.Sprintf("%s%d", w.hotPrefix, m.random.IntN(1_000_000)), part: 0.5 + m.random.Float64()}
		sum += set[i].part
	}
	for i := range set {
		set[i].part = min(set[i].part*part/sum, 1.0/3/float64(w.servers))
	}
	return set
}

// requests adds records of one workload from a time on for a span: the usual rate times a
// factor, with some hot keys.
func (m *maker) requests(w workload, at, span Time, factor float64, hot []hotKey) {
	total := float64(w.perSecond) * float64(span) / 1000 * factor
	r := Requests{Service: w.name, SpanMillis: span, RunMillis: w.runMillis}
	rest := total
	for _, h := range hot {
		if n := int(total * h.part); n > 0 {
			if r.Counts == nil {
				r.Counts = map[string]int{}
			}
			r.Counts[h.name] += n
			rest -= float64(n)
		}
	}
	r.Others = &Others{Prefix: w.prefix, Keys: max(w.keys, 1), Requests: int(rest * (0.95 + 0.1*m.random.Float64()))}
	m.add(at, r)
}

// usual adds records of all workloads over the length of a trace. Hot keys of divided
// services stay the same.
func (m *maker) usual(length, span Time, factor func(at Time) float64) {
	for _, w := range m.deployment.services {
		var hot []hotKey
		if w.divided {
			hot = m.hotSet(w, 12, 0.1)
		}
		for at := Time(0); at < length; at += span {
			m.requests(w, at, span, factor(at), hot)
		}
	}
	m.add(length, Ended{})
}

// steady is a factor that does not change.
func steady(Time) float64 {
	return 1
}
