package sketch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// stream draws keys with skewed weights and adds them to a sketch and to exact counts.
func stream(t *rapid.T, s *Sketch, exact map[uint64]float64) {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	zipf := rand.NewZipf(random, rapid.Float64Range(1.01, 2).Draw(t, "skew"), 1, 400)
	for range rapid.IntRange(0, 3000).Draw(t, "adds") {
		hash, weight := zipf.Uint64(), float64(1+random.IntN(4))
		s.Add(hash, weight)
		exact[hash] += weight
	}
}

// check compares a sketch with exact counts.
func check(t *rapid.T, s *Sketch, exact map[uint64]float64) {
	const rounding = 1e-6
	if len(s.heap) > s.capacity || len(s.position) != len(s.heap) {
		t.Fatalf("%d counters, %d positions, capacity %d", len(s.heap), len(s.position), s.capacity)
	}
	total := 0.0
	for hash, weight := range exact {
		total += weight
		at, found := s.position[hash]
		if !found {
			if weight > s.Unseen()+rounding {
				t.Fatalf("key %d of weight %v is unseen, bound %v", hash, weight, s.Unseen())
			}
			continue
		}
		c := s.heap[at]
		if weight > c.Count+rounding || weight < c.Count-c.Error-rounding {
			t.Fatalf("key %d weighs %v, counter %+v", hash, weight, c)
		}
	}
	bound := total/float64(s.capacity) + rounding
	for _, c := range s.heap {
		if c.Error > bound {
			t.Fatalf("error %v, bound %v", c.Error, bound)
		}
	}
	if s.Unseen() > bound && len(exact) > 0 {
		t.Fatalf("unseen %v, bound %v", s.Unseen(), bound)
	}
}

func TestErrorStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, exact := New(rapid.IntRange(1, 60).Draw(t, "capacity")), map[uint64]float64{}
		stream(t, s, exact)
		check(t, s, exact)
	})
}

func TestMergedErrorStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 60).Draw(t, "capacity")
		whole, exact := New(capacity), map[uint64]float64{}
		for range rapid.IntRange(1, 6).Draw(t, "gates") {
			gate := New(capacity)
			stream(t, gate, exact)
			whole.Merge(gate)
		}
		check(t, whole, exact)
		stream(t, whole, exact)
		check(t, whole, exact)
	})
}

func TestHotKeysComeAndGo(t *testing.T) {
	is := is.New(t)
	s, rule := New(64), Rule{EnterShare: 0.05, LeaveShare: 0.025, Most: 240}
	var hot []uint64
	sizes := map[string]int{}
	for _, phase := range []struct {
		name  string
		share float64 // of key 7
		want  []uint64
	}{
		{name: "cold", share: 0.01, want: []uint64{}},
		{name: "hot", share: 0.20, want: []uint64{7}},
		{name: "between the borders", share: 0.035, want: []uint64{7}},
		{name: "cold again", share: 0.005, want: []uint64{}},
	} {
		for range 20 {
			s.Decay(0.5)
			s.Add(7, 1000*phase.share)
			for other := range uint64(500) {
				s.Add(1000+other, 1000*(1-phase.share)/500)
			}
			hot = HotKeys(s, hot, rule)
		}
		is.True(slices.Equal(hot, phase.want)) // the phase's hot keys
		sizes[phase.name] = len(s.heap)
	}
	is.Equal(sizes["cold again"], 64)
}

// BenchmarkAdd measures one Add by number of counters, over a million keys.
func BenchmarkAdd(b *testing.B) {
	for _, capacity := range []int{240, 960, 3840, 15360} {
		b.Run(fmt.Sprintf("counters=%d", capacity), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			zipf := rand.NewZipf(random, 1.1, 1, 1<<20)
			hashes := make([]uint64, 1<<16)
			for i := range hashes {
				hashes[i] = zipf.Uint64()
			}
			s := New(capacity)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Add(hashes[i%len(hashes)], 1)
			}
		})
	}
}

// BenchmarkNew measures the memory of a full sketch.
func BenchmarkNew(b *testing.B) {
	for _, capacity := range []int{240, 960, 3840, 15360} {
		b.Run(fmt.Sprintf("counters=%d", capacity), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s := New(capacity)
				for i := range capacity {
					s.Add(uint64(i), 1)
				}
			}
		})
	}
}
