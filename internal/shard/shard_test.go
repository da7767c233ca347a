package shard_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"example.org/mustardring/internal/shard"
)

// testServers returns usable servers with the given capacities, named s00, s01 and so on.
func testServers(capacities ...float64) []shard.ServerState {
	var out []shard.ServerState
	for i, c := range capacities {
		out = append(out, shard.ServerState{ID: fmt.Sprintf("s%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Capacity: c, Slots: 2, Usable: true})
	}
	return out
}

func input(m *shard.Map, load []float64, all []shard.ServerState) shard.Input {
	addresses := map[string]string{}
	for _, s := range all {
		addresses[s.ID] = s.Address
	}
	return shard.Input{Map: m, Servers: all, Load: load, TargetLatency: 0.6, Addresses: addresses}
}

// utilization returns the utilization of each server by id.
func utilization(in shard.Input) map[string]float64 {
	out := map[string]float64{}
	for _, u := range shard.ServerLoads(in) {
		out[u.Server] = u.Load / u.Capacity
	}
	return out
}

// completeMoves returns a copy of the map in which all moves are complete.
func completeMoves(m *shard.Map) *shard.Map {
	out := m.Clone()
	for i := range out.Ranges {
		out.Ranges[i].FormerOwners = nil
	}
	return out
}

// planUntilStable makes plans until the map stays, at most 100, and returns the map and their number.
func planUntilStable(in shard.Input) (*shard.Map, int) {
	for n := range 100 {
		next := shard.Plan(in)
		if next == nil {
			return in.Map, n
		}
		in.Map = completeMoves(next)
	}
	return in.Map, 100
}

func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMap(t, "m")
		data, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := shard.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(*got) != fmt.Sprint(*m) {
			t.Fatalf("got %v, want %v", *got, *m)
		}
	})
}

func drawMap(t *rapid.T, label string) *shard.Map {
	m := shard.Plan(input(&shard.Map{}, nil, testServers(9, 9, 5, 14)))
	for i := range rapid.IntRange(0, 12).Draw(t, label+" changes") {
		r := rapid.IntRange(0, len(m.Ranges)-1).Draw(t, "range")
		if rapid.Bool().Draw(t, "split") {
			m.Split(r, rapid.Uint16().Draw(t, "key"))
			continue
		}
		m.Reassign(r, fmt.Sprintf("new%d", i), []shard.Owner{{Server: m.Ranges[r].Server, Address: "a"}})
	}
	return m
}

func TestDecodeRejects(t *testing.T) {
	good, err := (&shard.Map{Fence: 1, Ranges: []shard.Range{{From: 0, To: shard.NumKeys - 1, Server: "s", Fence: 1}}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	gap, _ := (&shard.Map{Fence: 1, Ranges: []shard.Range{{From: 5, To: shard.NumKeys - 1, Server: "s", Fence: 1}}}).Encode()
	fence, _ := (&shard.Map{Fence: 1, Ranges: []shard.Range{{From: 0, To: shard.NumKeys - 1, Server: "s", Fence: 2}}}).Encode()
	for name, data := range map[string][]byte{
		"empty": nil, "cut": good[:len(good)-2], "a gap": gap, "a fence above the highest": fence, "other": []byte("{}"),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := shard.Decode(data)
			is.New(t).True(err != nil)
		})
	}
}

// Applying the result of Changes with WithChanges must give every key the owner that it has in the new map.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := drawMap(t, "from")
		to := from.Clone()
		for i := range rapid.IntRange(1, 6).Draw(t, "moves") {
			r := rapid.IntRange(0, len(to.Ranges)-1).Draw(t, "range")
			to.Split(r, rapid.Uint16().Draw(t, "key"))
			to.Reassign(r, fmt.Sprintf("later%d", i), []shard.Owner{{Server: "x", Address: "y"}})
		}
		if rapid.Bool().Draw(t, "settled") {
			to = completeMoves(to)
			to.MergeAdjacent()
		}
		got, err := from.WithChanges(to.Fence, to.Changes(from))
		if err != nil {
			t.Fatal(err)
		}
		for key := 0; key < shard.NumKeys; key += 61 {
			a, b := got.Ranges[got.Find(uint16(key))], to.Ranges[to.Find(uint16(key))]
			if a.Server != b.Server || a.Fence != b.Fence || len(a.FormerOwners) != len(b.FormerOwners) {
				t.Fatalf("key %d: got %v, want %v", key, a, b)
			}
		}
	})
}

// Guards against a first division into equal parts regardless of capacity: a slow server would lose a
// third of its requests until the load is known.
func TestInitialDivision(t *testing.T) {
	is := is.New(t)
	m := shard.Plan(input(&shard.Map{}, nil, testServers(5, 10, 15)))
	keys := map[string]int{}
	for _, r := range m.Ranges {
		keys[r.Server] += r.Len()
	}
	is.Equal(len(m.Ranges), 12) // four ranges per server
	is.True(keys["s00"] < keys["s01"] && keys["s01"] < keys["s02"])
}

// Guards against moving ranges only as a whole: if neighbouring busy keys lie in one range, its server
// rejects requests for 20 seconds while 14 other servers are idle.
func TestBusyKeysAreSpread(t *testing.T) {
	is := is.New(t)
	all := testServers(9, 9, 9, 9, 9, 9)
	m := shard.Plan(input(&shard.Map{}, nil, all))
	load := make([]float64, shard.NumKeys)
	for i := range 8 {
		load[100+i] = 3 // 24 requests per second for neighbouring keys
	}
	in := input(m, load, all)
	is.True(utilization(in)["s00"] > 1 || utilization(in)["s01"] > 1) // before
	after, plans := planUntilStable(in)
	in.Map = after
	for server, u := range utilization(in) {
		if u > 0.8 {
			t.Errorf("utilization of %s is %.2f", server, u)
		}
	}
	is.True(plans < 4)
}

// A key whose load exceeds the capacity of every server must get the fastest server, which may own hardly
// any other keys.
func TestKeyExceedsEveryServer(t *testing.T) {
	is := is.New(t)
	all := testServers(6, 9, 9, 15)
	load := make([]float64, shard.NumKeys)
	for i := range load {
		load[i] = 10.0 / shard.NumKeys
	}
	load[7] = 25
	m, _ := planUntilStable(input(shard.Plan(input(&shard.Map{}, nil, all)), load, all))
	owner := m.Ranges[m.Find(7)].Server
	is.Equal(owner, "s03")
	others := 0.0
	for _, r := range m.RangesOf(owner) {
		others += float64(r.Len())
	}
	is.True(others < shard.NumKeys/16)
}

// A service with a low load must not move keys: moves that gain nothing make callers lose the state that
// servers hold for their keys.
func TestLowLoadMovesNothing(t *testing.T) {
	is := is.New(t)
	all := testServers(9, 9, 9, 9)
	load := make([]float64, shard.NumKeys)
	for i := range load {
		load[i] = 6.0 / shard.NumKeys
	}
	m := shard.Plan(input(&shard.Map{}, nil, all))
	_, plans := planUntilStable(input(m, load, all))
	is.Equal(plans, 0)
}

func TestLostServer(t *testing.T) {
	tests := map[string]func(all []shard.ServerState) []shard.ServerState{
		"drains": func(s []shard.ServerState) []shard.ServerState { s[1].Lost, s[1].Usable = true, false; return s },
		"gone":   func(s []shard.ServerState) []shard.ServerState { return append(s[:1:1], s[2:]...) },
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := shard.Plan(input(&shard.Map{}, nil, testServers(9, 9, 9)))
			before := m.Fence
			in := input(m, nil, lose(testServers(9, 9, 9)))
			in.Addresses["s01"] = "10.0.0.1:1"
			next := shard.Plan(in)
			is.Equal(len(next.RangesOf("s01")), 0)
			for _, r := range next.Ranges {
				if r.Fence > before {
					is.Equal(r.FormerOwners, []shard.Owner{{Server: "s01", Address: "10.0.0.1:1"}})
				}
			}
		})
	}
}

// If the new owner of a range is lost before the old one has released it, both may still act on it, and
// the third owner must wait for both.
func TestNewOwnerLostDuringMove(t *testing.T) {
	is := is.New(t)
	m := shard.Plan(input(&shard.Map{}, nil, testServers(9, 9, 9)))
	first := m.Ranges[0].Server
	m.Reassign(0, "s02", []shard.Owner{{Server: first, Address: "10.0.0.0:1"}})
	in := input(m, nil, testServers(9, 9))
	in.Addresses["s02"] = "10.0.0.2:1"
	next := shard.Plan(in)
	is.Equal(len(next.Ranges[0].FormerOwners), 2)
}

func BenchmarkPlan(b *testing.B) {
	capacities := make([]float64, 200)
	for i := range capacities {
		capacities[i] = 6 + float64(i%9)
	}
	all := testServers(capacities...)
	load := make([]float64, shard.NumKeys)
	for i := range load {
		load[i] = float64(i%37) * 0.03
	}
	in := input(shard.Plan(input(&shard.Map{}, nil, all)), load, all)
	b.ResetTimer()
	for range b.N {
		shard.Plan(in)
	}
}

// 200 neighbouring keys of 604 servers get two fifths of the requests for five seconds. Guards against
// counting the load of groups of 32 keys only, where one group is more than 20 servers can handle, and
// against plans that take longer than the keys are busy: a fifth of all requests would be rejected.
func TestHotRunIsSpread(t *testing.T) {
	tests := map[string]struct{ servers, hot int }{
		"a run of 200 at 604 servers":  {604, 200},
		"a run of 60 at 604 servers":   {604, 60},
		"a run of 20 at 60 servers":    {60, 20},
		"a run of 2000 at 604 servers": {604, 2000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := hotKeys(test.servers, test.hot)
			t.Logf("excess before: %.3f", excess(in))
			for range 3 {
				next := shard.Plan(in)
				if next == nil {
					break
				}
				in.Map = completeMoves(next)
				t.Logf("excess after a plan: %.3f with %d ranges", excess(in), len(in.Map.Ranges))
			}
			is.True(excess(in) < maxExcess(test.servers, test.hot))
		})
	}
}

// excess returns the share of the requests that exceeds the capacities of their servers.
func excess(in shard.Input) float64 {
	over, all := 0.0, 0.0
	for _, u := range shard.ServerLoads(in) {
		over += max(0, u.Load-u.Capacity)
		all += u.Load
	}
	return over / all
}

// maxExcess returns the excess that no plan can avoid, because a key has only one server, plus a margin of
// 0.02.
func maxExcess(servers, hot int) float64 {
	const all, hotShare, strongest = 0.5, 0.4, 18.0
	total := float64(servers) * 10.5
	each := hotShare * all * total / float64(hot)
	return max(0, each-strongest)*float64(hot)/(all*total) + 0.02
}

func BenchmarkHotKeys(b *testing.B) {
	in := hotKeys(604, 200)
	b.ResetTimer()
	for range b.N {
		shard.Plan(in)
	}
}

// A plan of this size must take less than 10 ms.
func BenchmarkLargePlan(b *testing.B) {
	in := hotKeys(1000, 260)
	in.SpeedRanges, in.Work = true, workTimes(1)
	for i := range in.Servers {
		in.Servers[i].Slots = 3
	}
	b.ResetTimer()
	for range b.N {
		shard.Plan(in)
	}
}

// workTimes returns a log-normal distribution with a spread of 0.65, 3% of which take seven times as long.
func workTimes(seed uint64) *shard.WorkTimes {
	random, out := rand.New(rand.NewPCG(seed, 5)), &shard.WorkTimes{}
	counts := make([]uint16, shard.WorkBuckets)
	for range 10000 {
		counts[shard.WorkBucket(drawWork(random))]++
	}
	out.Add(counts, time.Unix(0, 0))
	return out
}

// drawWork returns a service time as a multiple of the mean.
func drawWork(random *rand.Rand) float64 {
	const spread, longShare, long = 0.65, 0.03, 7
	work := math.Exp(spread*random.NormFloat64()-spread*spread/2) / (1 + longShare*(long-1))
	if random.Float64() < longShare {
		work *= long
	}
	return work
}

// hotKeys returns the state of a service at half of its capacity in which neighbouring keys suddenly get
// two fifths of the requests.
func hotKeys(servers, hot int) shard.Input {
	capacities := make([]float64, servers)
	total := 0.0
	for i := range capacities {
		capacities[i] = []float64{18, 9, 9, 6}[i%4]
		total += capacities[i]
	}
	load := make([]float64, shard.NumKeys)
	for key := range load {
		load[key] = 0.3 * total / shard.NumKeys
	}
	for i := range hot {
		load[20000+i] += 0.2 * total / float64(hot)
	}
	all := testServers(capacities...)
	in := input(shard.Plan(input(&shard.Map{}, nil, all)), load, all)
	in.TargetLatency = 1
	return in
}

// Guards against giving a restarted server all of its former keys back when their load exceeds the capacity
// of a cold server.
func TestColdServerStaysWithinCapacity(t *testing.T) {
	is := is.New(t)
	load := make([]float64, shard.NumKeys)
	for key := range load {
		load[key] = 40.0 / shard.NumKeys
	}
	m := &shard.Map{Fence: 2, Ranges: []shard.Range{
		{From: 0, To: 1<<14 - 1, Server: "a~1", Fence: 1}, {From: 1 << 14, To: 1<<15 - 1, Server: "a~1", Fence: 1},
		{From: 1 << 15, To: 1<<16 - 1, Server: "b", Fence: 2},
	}}
	next := shard.Plan(shard.Input{
		Map: m, Load: load, TargetLatency: 0.6, Restarted: map[string]string{"a~1": "a~2"},
		Servers: []shard.ServerState{
			{ID: "a~2", Capacity: 6, Slots: 2, Usable: true, Capped: true}, {ID: "b", Capacity: 40, Slots: 2, Usable: true},
			{ID: "c", Capacity: 40, Slots: 2, Usable: true},
		},
	})
	is.True(next != nil)
	got := 0
	for _, r := range next.Ranges {
		if r.Server == "a~2" {
			got += r.Len()
		}
	}
	is.True(float64(got)/shard.NumKeys*40 <= 6)
}
