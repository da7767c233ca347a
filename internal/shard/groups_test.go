package shard_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/shard"
)

// addEven adds requests at random, spread evenly over all keys, from one time to another in seconds.
func addEven(r *shard.Rates, random *rand.Rand, from, to, rate float64) {
	for now := from; now < to; now -= math.Log(1-random.Float64()) / rate {
		r.Add(uint16(random.IntN(shard.NumKeys)), 1, at(now))
	}
}

// spanError returns the mean relative error of the load of spans of keys, as of slow servers among 300, that get a rate each,
// and the load of all.
func spanError(load []float64, rate float64) (spread, total float64) {
	const spanKeys = 87
	spans := 0.0
	for first := 0; first+spanKeys <= shard.NumKeys; first += spanKeys {
		sum := 0.0
		for _, l := range load[first : first+spanKeys] {
			sum += l
		}
		expected := rate * spanKeys / shard.NumKeys
		spread += (sum/expected - 1) * (sum/expected - 1)
		total, spans = total+sum, spans+1
	}
	return math.Sqrt(spread / spans), total
}

// Guards against moves for nothing but the random arrival of requests, and against a load of all keys that is followed late.
func TestSteadyLoadIsSmooth(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 7))
	r := shard.NewGroupRates(at(0))
	addEven(r, random, 0, 30, 6000)
	spread, total := spanError(r.Load(at(30)), 6000)
	addEven(r, random, 30, 33, 3000)
	_, after := spanError(r.Load(at(33)), 3000)
	t.Logf("error %.3f, total %.0f, three seconds after the load has halved %.0f", spread, total, after)
	is.True(spread < 0.1)
	is.True(math.Abs(total-6000) < 200)
	is.True(after < 4700)
}

// Guards against moves for the chance of the first requests that a new leader knows of, and against busy keys that it misses.
func TestNewLoadIsEven(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 7))
	r := shard.NewGroupRates(at(0))
	addEven(r, random, 0, 0.75, 6000)
	spread, _ := spanError(r.Load(at(0.75)), 6000)
	for i := range 6 {
		r.Add(700, 1, at(0.1+0.1*float64(i)))
	}
	t.Logf("error %.3f, busy key %.1f", spread, r.Load(at(0.75))[700])
	is.True(spread < 0.25)
	is.True(r.Load(at(0.75))[700] > 6)
}
