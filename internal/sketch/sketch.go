// Package sketch finds the keys with the most weight in a stream, in constant memory. It is the
// space-saving algorithm of Metwally, Agrawal and El Abbadi, with weights, decay and the merge
// of Agarwal et al. A Sketch is not safe for concurrent use: each gate has its own, and the
// leader merges them.
package sketch

import (
	"cmp"
	"slices"
)

// Counter is the estimated weight of one key. The true weight is in [Count-Error, Count].
type Counter struct {
	Hash  uint64  `json:"hash"`
	Count float64 `json:"count"`
	Error float64 `json:"error"`
}

// Sketch counts weights of keys with a fixed number of counters. The count of any key is off
// by at most Total divided by the number of counters.
type Sketch struct {
	capacity int
	total    float64
	// maxDropped is an upper bound on the weight, as of the last Merge, of a key that had no
	// counter afterwards. It is zero without a Merge.
	maxDropped float64
	// heap is a binary min-heap by count.
	heap []Counter
	// position maps the hash of each key with a counter to its index in heap.
	position map[uint64]int
}

// New returns a Sketch with the given number of counters, at least 1.
func New(capacity int) *Sketch {
	capacity = max(capacity, 1)
	return &Sketch{
		capacity: capacity,
		heap:     make([]Counter, 0, capacity),
		position: make(map[uint64]int, capacity),
	}
}

// Add adds a positive weight to a key. It takes constant memory and time that grows with the
// logarithm of the number of counters.
func (s *Sketch) Add(hash uint64, weight float64) {
	s.total += weight
	if i, found := s.position[hash]; found {
		s.heap[i].Count += weight
		s.siftDown(i)
		return
	}
	if len(s.heap) < s.capacity {
		s.heap = append(s.heap, Counter{Hash: hash, Count: s.maxDropped + weight, Error: s.maxDropped})
		s.position[hash] = len(s.heap) - 1
		s.siftUp(len(s.heap) - 1)
		return
	}
	smallest := s.heap[0]
	delete(s.position, smallest.Hash)
	s.heap[0] = Counter{Hash: hash, Count: smallest.Count + weight, Error: smallest.Count}
	s.position[hash] = 0
	s.siftDown(0)
}

// Total returns the sum of the added weights, reduced by Decay.
func (s *Sketch) Total() float64 {
	return s.total
}

// MaxUncounted returns an upper bound on the weight of a key without a counter.
func (s *Sketch) MaxUncounted() float64 {
	if len(s.heap) < s.capacity {
		return s.maxDropped
	}
	return max(s.maxDropped, s.heap[0].Count)
}

// Decay multiplies all weights by a factor in (0, 1], so that keys which get no more weight
// lose their counters to others.
func (s *Sketch) Decay(factor float64) {
	s.total *= factor
	s.maxDropped *= factor
	for i := range s.heap {
		s.heap[i].Count *= factor
		s.heap[i].Error *= factor
	}
}

// Counters returns the counters by descending count, and by hash where counts are equal.
func (s *Sketch) Counters() []Counter {
	sorted := slices.Clone(s.heap)
	slices.SortFunc(sorted, func(a, b Counter) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Hash, b.Hash))
	})
	return sorted
}

// Merge adds the weights of another Sketch. If both have the same number of counters, the bound
// on the error of the result is its Total divided by that number.
func (s *Sketch) Merge(o *Sketch) {
	uncounted, otherUncounted := s.MaxUncounted(), o.MaxUncounted()
	merged := make([]Counter, 0, len(s.heap)+len(o.heap))
	for _, c := range s.heap {
		if i, found := o.position[c.Hash]; found {
			c.Count += o.heap[i].Count
			c.Error += o.heap[i].Error
		} else {
			c.Count += otherUncounted
			c.Error += otherUncounted
		}
		merged = append(merged, c)
	}
	for _, c := range o.heap {
		if _, found := s.position[c.Hash]; found {
			continue
		}
		c.Count += uncounted
		c.Error += uncounted
		merged = append(merged, c)
	}
	s.total += o.total
	s.keepLargest(merged, uncounted+otherUncounted)
}

// keepLargest replaces the counters of the sketch by the largest of the given ones. The
// parameter maxUncounted is an upper bound on the weight of a key that has none of them.
func (s *Sketch) keepLargest(counters []Counter, maxUncounted float64) {
	slices.SortFunc(counters, func(a, b Counter) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Hash, b.Hash))
	})
	s.maxDropped = maxUncounted
	if len(counters) > s.capacity {
		s.maxDropped = max(maxUncounted, counters[s.capacity].Count)
		counters = counters[:s.capacity]
	}
	// Counters in ascending order are a valid min-heap.
	slices.Reverse(counters)
	clear(s.position)
	s.heap = append(s.heap[:0], counters...)
	for i, c := range s.heap {
		s.position[c.Hash] = i
	}
}

// siftUp moves a counter towards the root while it is smaller than its parent.
func (s *Sketch) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.heap[parent].Count <= s.heap[i].Count {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

// siftDown moves a counter away from the root while it is larger than a child.
func (s *Sketch) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(s.heap); child++ {
			if s.heap[child].Count < s.heap[least].Count {
				least = child
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.position[s.heap[i].Hash] = i
	s.position[s.heap[j].Hash] = j
}
