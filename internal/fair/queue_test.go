package fair_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/mustardring/internal/fair"
)

// Guards against a queue that loses items, or whose order or sums are wrong after some sequence of
// calls, by comparing it with a sorted slice.
func TestQueueMatchesSortedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q fair.Queue[int]
		var sorted []*fair.Item[int]
		compare := func(a, b *fair.Item[int]) int {
			return cmp.Or(cmp.Compare(a.Tag, b.Tag), cmp.Compare(a.Sequence, b.Sequence))
		}
		tags := rapid.Map(rapid.IntRange(0, 5), func(i int) float64 { return float64(i) }) // equal tags are frequent
		for i := range rapid.IntRange(0, 200).Draw(t, "steps") {
			if len(sorted) > 0 && rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				at := rapid.IntRange(0, len(sorted)-1).Draw(t, "at")
				q.Remove(sorted[at])
				q.Remove(sorted[at]) // has no effect
				sorted = slices.Delete(sorted, at, at+1)
			} else {
				it := &fair.Item[int]{Value: i, Tag: tags.Draw(t, "tag"), Sequence: uint64(i)}
				it.Work = time.Duration(rapid.IntRange(0, 9).Draw(t, "work"))
				at, _ := slices.BinarySearchFunc(sorted, it, compare)
				sorted = slices.Insert(sorted, at, it)
				q.Push(it)
			}
			checkQueue(t, &q, sorted, tags.Draw(t, "position"))
		}
		for it := range q.All() { // the loop may remove what it is given
			q.Remove(it)
		}
		checkQueue(t, &q, nil, 0)
	})
}

func checkQueue(t *rapid.T, q *fair.Queue[int], sorted []*fair.Item[int], tag float64) {
	if got := slices.Collect(q.All()); !slices.Equal(got, sorted) || q.Len() != len(sorted) {
		t.Fatalf("items %v, want %v", got, sorted)
	}
	ends := []*fair.Item[int]{nil, nil}
	if len(sorted) > 0 {
		ends = []*fair.Item[int]{sorted[0], sorted[len(sorted)-1]}
	}
	if q.First() != ends[0] || q.Last() != ends[1] {
		t.Fatalf("first %v, last %v, want %v", q.First(), q.Last(), ends)
	}
	var work, ahead time.Duration
	count := 0
	for _, it := range sorted {
		work += it.Work
		if it.Tag < tag || it.Tag == tag && it.Sequence < 100 {
			ahead += it.Work
			count++
		}
	}
	if gotAhead, gotCount := q.Ahead(tag, 100); q.Work() != work || gotAhead != ahead || gotCount != count {
		t.Fatalf("work %v, ahead %v and %d, want %v, %v and %d", q.Work(), gotAhead, gotCount, work, ahead, count)
	}
}

// BenchmarkQueue measures a push, a look at what is ahead and a removal at 10,000 waiting items.
func BenchmarkQueue(b *testing.B) {
	var q fair.Queue[int]
	items := make([]fair.Item[int], 10_000)
	push := func(i int) {
		it := &items[i%len(items)]
		it.Tag, it.Sequence, it.Work = float64(i*7919%10_007), uint64(i), time.Millisecond
		q.Push(it)
	}
	for i := range items {
		push(i)
	}
	for i := 0; b.Loop(); i++ {
		q.Remove(&items[i%len(items)])
		push(i + len(items))
		q.Ahead(float64(i%10_007), 0)
	}
}
