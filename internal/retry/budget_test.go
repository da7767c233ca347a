package retry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/retry"
)

// Retries stay within the ratio plus the fixed number, and the fixed number is refilled with time.
func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := retry.NewBudget(0.2, 10*time.Second, func() (float64, bool) { return 10, true }, func() time.Time { return now })
	spent := 0
	for range 100 {
		b.Earn("books")
		if b.Spend("books") {
			spent++
		}
	}
	is.True(spent <= 20+10) // a fifth of the requests plus the fixed number
	is.True(spent >= 10)
	now = now.Add(time.Minute)
	is.True(b.Spend("books"))
}

// Guards against instances that start together and each use the whole fixed number of retries.
func TestBudgetWithoutSlack(t *testing.T) {
	is := is.New(t)
	now, known := time.Unix(0, 0), false
	b := retry.NewBudget(0.2, 10*time.Second, func() (float64, bool) { return 10, known }, func() time.Time { return now })
	is.True(!b.Spend("books"))
	spent := 0
	for range 100 {
		b.Earn("books")
		if b.Spend("books") {
			spent++
		}
	}
	is.True(spent <= 20) // a fifth of the requests
	is.True(spent >= 10)
	for range 100 {
		b.Earn("books")
	}
	now = now.Add(10 * time.Second)
	is.True(!b.Spend("books")) // earned in an earlier window
	known = true
	is.True(b.Spend("books"))
}

// Guards against retries that are earned while nothing fails and are gone when servers begin to reject half of what comes: of
// what ten seconds allow, at least four fifths must be there.
func TestEarnedRetriesLastForTheWindow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := retry.NewBudget(0.2, 10*time.Second, func() (float64, bool) { return 2.5, true }, func() time.Time { return now })
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		b.Earn("books")
	}
	spent := 0
	for b.Spend("books") {
		spent++
	}
	is.True(spent >= 160)
	is.True(spent <= 202)
}

// Guards against more retries in some window than the limit allows, over all instances, while they are killed and start anew,
// the traffic swings, and each retries whenever it may. The requests of a window, of the one before it, or of the one half a
// window before it earn its retries, whichever are most.
func TestLimitHoldsOverAnyWindow(t *testing.T) {
	const (
		instances, ratio    = 20, 0.2
		step, steps, window = 50 * time.Millisecond, 1200, 200
	)
	for name, test := range map[string]struct {
		// kills holds the steps at which a number of instances is killed and starts again.
		kills  []int
		killed int
		// rate is the mean number of requests of an instance in a step, at most.
		rate, slack float64
	}{
		"one kill of half":                          {[]int{steps / 2}, instances / 2, 8, 60},
		"three kills of most":                       {[]int{600, 660, 720}, 17, 8, 60},
		"three kills of most, little traffic":       {[]int{600, 660, 720}, 17, 0.02, 400},
		"seven kills of all, little traffic":        {[]int{600, 620, 640, 660, 680, 700, 720}, instances, 0.02, 400},
		"one kill of all, no traffic":               {[]int{600}, instances, 0, 400},
		"a kill of all each window, little traffic": {[]int{200, 400, 600, 800, 1000}, instances, 0.02, 400},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 1))
				now := time.Unix(0, 0)
				share := func() (float64, bool) { return test.slack / instances, true }
				start := func() *retry.Budget {
					return retry.NewBudget(ratio, 10*time.Second, share, func() time.Time { return now })
				}
				budgets := make([]*retry.Budget, instances)
				for i := range budgets {
					budgets[i] = start()
				}
				var requests, retries [steps]int
				rate := test.rate / 2
				for at := range steps {
					now = now.Add(step)
					if random.IntN(40) == 0 {
						rate = test.rate * random.Float64()
					}
					if slices.Contains(test.kills, at) {
						for i := range test.killed {
							budgets[i] = start()
						}
					}
					for _, b := range budgets {
						for range int(rate*random.Float64()*2 + random.Float64()) {
							requests[at]++
							b.Earn("books")
						}
						for b.Spend("books") {
							retries[at]++
						}
					}
				}
				sum := func(counts [steps]int, from int) (n int) {
					for at := max(from, 0); at < from+window && at < steps; at++ {
						n += counts[at]
					}
					return n
				}
				for from := range steps - window {
					most := max(sum(requests, from), sum(requests, from-window), sum(requests, from-window/2))
					if made, allowed := sum(retries, from), ratio*float64(most)+test.slack; float64(made) > allowed {
						t.Fatalf("seed %d: %d retries in a window that allows %.0f", seed, made, allowed)
					}
				}
			}
		})
	}
}

// Guards against a retry that is not sent and still counts, and against first tries that use what last tries need.
func TestReserveAndRefund(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := retry.NewBudget(0.2, 10*time.Second, func() (float64, bool) { return 0, true }, func() time.Time { return now })
	for range 200 {
		b.Earn("books")
	}
	count := func(reserved float64) (n int) {
		for b.SpendAbove("books", reserved) {
			n++
		}
		return n
	}
	first := count(0.5)
	is.Equal(first, 17)
	is.Equal(count(0), 17)
	b.Refund("books")
	is.Equal(count(0), 1)
	is.Equal(b.Counts()["books"], retry.Counts{Sent: 34, Refused: 3, Refunded: 1})
}
