package shard_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"example.org/mustardring/internal/shard"
)

func members(powers ...float64) []shard.ServerState {
	var out []shard.ServerState
	for i, p := range powers {
		out = append(out, shard.ServerState{ID: fmt.Sprintf("s%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Capacity: p, Slots: 2, Usable: true})
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

// use returns the utilisation of each server.
func use(in shard.Input) map[string]float64 {
	out := map[string]float64{}
	for _, u := range shard.ServerLoads(in) {
		out[u.Server] = u.Load / u.Power
	}
	return out
}

// settle completes all moves.
func settle(m *shard.Map) *shard.Map {
	out := m.Clone()
	for i := range out.Ranges {
		out.Ranges[i].FormerOwners = nil
	}
	return out
}

// plan plans until nothing changes, and returns the map and the number of plans.
func plan(in shard.Input) (*shard.Map, int) {
	for n := range 100 {
		next := shard.Plan(in)
		if next == nil {
			return in.Map, n
		}
		in.Map = settle(next)
	}
	return in.Map, 100
}

func TestRecord(t *testing.T) {
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
	m := shard.Plan(input(&shard.Map{}, nil, members(9, 9, 5, 14)))
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

func TestDecodeRefuses(t *testing.T) {
	good, err := (&shard.Map{Fence: 1, Ranges: []shard.Range{{From: 0, To: shard.NumKeys - 1, Server: "s", Fence: 1}}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	gap, _ := (&shard.Map{Fence: 1, Ranges: []shard.Range{{From: 5, To: shard.NumKeys - 1, Server: "s", Fence: 1}}}).Encode()
	fence, _ := (&shard.Map{Fence: 1, Ranges: []shard.Range{{From: 0, To: shard.NumKeys - 1, Server: "s", Fence: 2}}}).Encode()
	for name, data := range map[string][]byte{
		"nothing": nil, "cut": good[:len(good)-2], "a gap": gap, "a fence above the highest": fence, "other": []byte("{}"),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := shard.Decode(data)
			is.New(t).True(err != nil)
		})
	}
}

// Changes and With together must give every key the owner that the new map gives it.
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
			to = settle(to)
			to.Join()
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

// The keys of the first division went to servers in equal parts, whatever they can do, and a
// slow server lost a third of its requests until the load was known.
func TestFirstDivision(t *testing.T) {
	is := is.New(t)
	m := shard.Plan(input(&shard.Map{}, nil, members(5, 10, 15)))
	keys := map[string]int{}
	for _, r := range m.Ranges {
		keys[r.Server] += r.Len()
	}
	is.Equal(len(m.Ranges), 12) // four ranges a server
	is.True(keys["s00"] < keys["s01"] && keys["s01"] < keys["s02"])
}

// Readers of one busy volume were refused for 20 seconds while fourteen servers idled: its keys
// lay in one range, of which only the whole could be moved.
func TestBusyKeysAreSpread(t *testing.T) {
	is := is.New(t)
	all := members(9, 9, 9, 9, 9, 9)
	m := shard.Plan(input(&shard.Map{}, nil, all))
	load := make([]float64, shard.NumKeys)
	for i := range 8 {
		load[100+i] = 3 // 24 requests a second for neighbouring keys
	}
	in := input(m, load, all)
	is.True(use(in)["s00"] > 1 || use(in)["s01"] > 1) // before
	after, plans := plan(in)
	in.Map = after
	for server, u := range use(in) {
		if u > 0.8 {
			t.Errorf("%s is used to %.2f", server, u)
		}
	}
	is.True(plans < 4)
}

// One key is asked for more than any server can do: it must have the fastest one, and nothing
// else may share its server.
func TestOneKeyTooBusy(t *testing.T) {
	is := is.New(t)
	all := members(6, 9, 9, 15)
	load := make([]float64, shard.NumKeys)
	for i := range load {
		load[i] = 10.0 / shard.NumKeys
	}
	load[7] = 25
	m, _ := plan(input(shard.Plan(input(&shard.Map{}, nil, all)), load, all))
	owner := m.Ranges[m.Find(7)].Server
	is.Equal(owner, "s03")
	others := 0.0
	for _, r := range m.RangesOf(owner) {
		others += float64(r.Len())
	}
	is.True(others < shard.NumKeys/16)
}

// Moves that gain nothing cost readers the state of their keys: a calm service must not churn.
func TestCalmLoadMovesNothing(t *testing.T) {
	is := is.New(t)
	all := members(9, 9, 9, 9)
	load := make([]float64, shard.NumKeys)
	for i := range load {
		load[i] = 6.0 / shard.NumKeys
	}
	m := shard.Plan(input(&shard.Map{}, nil, all))
	_, plans := plan(input(m, load, all))
	is.Equal(plans, 0)
}

func TestLostServer(t *testing.T) {
	tests := map[string]func(all []shard.ServerState) []shard.ServerState{
		"drains": func(all []shard.ServerState) []shard.ServerState {
			all[1].Lost, all[1].Usable = true, false
			return all
		},
		"gone": func(all []shard.ServerState) []shard.ServerState { return append(all[:1:1], all[2:]...) },
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := shard.Plan(input(&shard.Map{}, nil, members(9, 9, 9)))
			before := m.Fence
			in := input(m, nil, lose(members(9, 9, 9)))
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

// The new owner of a range is lost before the old one has given it up. Both may still act, and
// the third one must wait for both.
func TestMoveOvertaken(t *testing.T) {
	is := is.New(t)
	m := shard.Plan(input(&shard.Map{}, nil, members(9, 9, 9)))
	first := m.Ranges[0].Server
	m.Reassign(0, "s02", []shard.Owner{{Server: first, Address: "10.0.0.0:1"}})
	in := input(m, nil, members(9, 9))
	in.Addresses["s02"] = "10.0.0.2:1"
	next := shard.Plan(in)
	is.Equal(len(next.Ranges[0].FormerOwners), 2)
}

func BenchmarkPlan(b *testing.B) {
	powers := make([]float64, 200)
	for i := range powers {
		powers[i] = 6 + float64(i%9)
	}
	all := members(powers...)
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

// 604 servers, each with a few dozen neighbouring keys, and 200 neighbouring keys that get two fifths of the
// requests for five seconds. Load was counted for 32 keys together, each of which were more than 20 servers
// could do, and the plan took longer than the keys were busy: a fifth of all requests was refused.
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
			t.Logf("too much at first: %.3f", excess(in))
			for range 3 {
				next := shard.Plan(in)
				if next == nil {
					break
				}
				in.Map = settle(next)
				t.Logf("then %.3f with %d ranges", excess(in), len(in.Map.Ranges))
			}
			is.True(excess(in) < excessMost(test.servers, test.hot))
		})
	}
}

// excess returns the share of the requests that are more than their servers can do.
func excess(in shard.Input) float64 {
	over, all := 0.0, 0.0
	for _, u := range shard.ServerLoads(in) {
		over += max(0, u.Load-u.Power)
		all += u.Load
	}
	return over / all
}

// excessMost returns a tenth more than what must be refused whatever the plan, as each key has one server.
func excessMost(servers, hot int) float64 {
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

// hotKeys returns the state of a service at half of its power in which a run of neighbouring keys gets two
// fifths of the requests, all of a sudden.
func hotKeys(servers, hot int) shard.Input {
	powers := make([]float64, servers)
	total := 0.0
	for i := range powers {
		powers[i] = []float64{18, 9, 9, 6}[i%4]
		total += powers[i]
	}
	load := make([]float64, shard.NumKeys)
	for key := range load {
		load[key] = 0.3 * total / shard.NumKeys
	}
	for i := range hot {
		load[20000+i] += 0.2 * total / float64(hot)
	}
	all := members(powers...)
	in := input(shard.Plan(input(&shard.Map{}, nil, all)), load, all)
	in.TargetLatency = 1
	return in
}

// Guards against a server that started again and gets all keys back, more than a cold one bears.
func TestColdServerGetsBackWhatItBears(t *testing.T) {
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
