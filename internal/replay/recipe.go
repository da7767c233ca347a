package replay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// ErrRecipe is returned for a recipe that does not exist or is not defined for a deployment.
var ErrRecipe = errors.New("replay: unknown recipe")

// Recipe generates traces of one kind.
type Recipe struct {
	Name string
	// Description states what happens in the trace.
	Description string
	// Deployments are the names of the deployments for which the recipe is defined.
	Deployments []string
	// make adds the events of the trace after the header and the bundle.
	make func(g *generator)
}

const (
	second = Time(1000)
	minute = 60 * second
	hour   = 60 * minute
)

// Recipes returns all recipes. The position of a recipe is part of the seed of its random
// numbers.
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

// Generate generates the trace of a recipe for a deployment, both given by name. The same
// arguments always give the same trace.
func Generate(recipe, deploymentName string, seed uint64) ([]TimedEvent, error) {
	at := slices.IndexFunc(Recipes(), func(r Recipe) bool { return r.Name == recipe })
	if at < 0 {
		return nil, fmt.Errorf("%w: %q", ErrRecipe, recipe)
	}
	r := Recipes()[at]
	if !slices.Contains(r.Deployments, deploymentName) {
		return nil, fmt.Errorf("%w: %q is not defined for deployment %q", ErrRecipe, recipe, deploymentName)
	}
	d := rokopisna()
	if deploymentName == "uva" {
		d = uva()
	}
	g := &generator{deployment: d, random: rand.New(rand.NewPCG(seed, uint64(at)))}
	g.add(0, Header{Deployment: d.name, Recipe: recipe, Seed: seed, OneWayMicros: d.oneWayMicros})
	g.add(0, BundleInForce{Bundle: d.bundle()})
	r.make(g)
	slices.SortStableFunc(g.trace, func(a, b TimedEvent) int { return int(a.At - b.At) })
	return g.trace, nil
}

// generator collects the events of a trace. Generate sorts them by time at the end.
type generator struct {
	deployment deployment
	random     *rand.Rand
	trace      []TimedEvent
}

func (g *generator) add(at Time, ev Event) {
	g.trace = append(g.trace, TimedEvent{At: at, Event: ev})
}

// hotKey is a hot key and its share of all requests of its service.
type hotKey struct {
	name  string
	share float64
}

// drawHotKeys returns n random hot keys. Their shares of all requests sum to the given share, but
// each is limited to a third of the mean share of a server.
func (g *generator) drawHotKeys(w workload, n int, share float64) []hotKey {
	set := make([]hotKey, n)
	sum := 0.0
	for i := range set {
		set[i] = hotKey{name: fmt.Sprintf("%s%d", w.hotKeyPrefix, g.random.IntN(1_000_000)), share: 0.5 + g.random.Float64()}
		sum += set[i].share
	}
	for i := range set {
		set[i].share = min(set[i].share*share/sum, 1.0/3/float64(w.servers))
	}
	return set
}

// addRequests adds a record of the requests of one workload in the span from a time on: the usual
// rate times the factor, with the given hot keys. The number of the other requests varies
// randomly by 5%.
func (g *generator) addRequests(w workload, at, span Time, factor float64, hot []hotKey) {
	total := float64(w.requestRate) * float64(span) / 1000 * factor
	r := Requests{Service: w.name, SpanMillis: span, RunMillis: w.runMillis}
	rest := total
	for _, h := range hot {
		if n := int(total * h.share); n > 0 {
			if r.Counts == nil {
				r.Counts = map[string]int{}
			}
			r.Counts[h.name] += n
			rest -= float64(n)
		}
	}
	r.Uniform = &UniformRequests{Prefix: w.keyPrefix, Keys: max(w.keyCount, 1), Requests: int(rest * (0.95 + 0.1*g.random.Float64()))}
	g.add(at, r)
}

// addWorkloads adds the requests of all workloads for the length of a trace, a record per span,
// and the end of the trace. Divided services have the same hot keys all the time.
func (g *generator) addWorkloads(length, span Time, factor func(at Time) float64) {
	for _, w := range g.deployment.services {
		var hot []hotKey
		if w.divided {
			hot = g.drawHotKeys(w, 12, 0.1)
		}
		for at := Time(0); at < length; at += span {
			g.addRequests(w, at, span, factor(at), hot)
		}
	}
	g.add(length, Ended{})
}

// constantRate is the factor of a workload at its usual rate.
func constantRate(Time) float64 {
	return 1
}
