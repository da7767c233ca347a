package place

import (
	"slices"

	"example.org/mustardring/pkg/keys"
)

// none stands for no server, no piece or no run where an index is expected.
const none = -1

// minSplitSpan is the least number of hashes of a part that is split off. Among 16 billion
// keys a narrower part holds none on average, so it would only add a range.
const minSplitSpan = 1 << 24

// piece is a part of the homes with at most one owner, while a plan is made.
type piece struct {
	hashes  keys.Range
	owner   int
	load    float64
	loadAt  Time
	movedAt Time
	// hot marks the piece of one hot key, which is neither split nor merged.
	hot bool
}

// cutHomes returns the homes as a sorted list of pieces: owned ranges, gaps without an owner,
// and each hot key as a piece of its own.
func cutHomes(v View, servers []server, maxHotKeys int) []piece {
	index := make(map[string]int, len(servers))
	for i, s := range servers {
		index[s.name] = i
	}
	pieces := make([]piece, 0, len(v.Owned)+len(v.Homes))
	next := 0
	for _, home := range v.Homes {
		for next < len(v.Owned) && v.Owned[next].Range.Last < home.First {
			next++
		}
		pieces = cutHome(pieces, home, v.Owned[next:], index)
	}
	hot := v.HotHashes
	if len(hot) > maxHotKeys {
		hot = hot[:maxHotKeys]
	}
	if len(hot) == 0 {
		return pieces
	}
	return cutHotKeys(pieces, hot)
}

// cutHome appends the pieces of one home. The first owned range must not end before the home
// starts.
func cutHome(pieces []piece, home keys.Range, owned []Owned, index map[string]int) []piece {
	first := home.First
	for _, o := range owned {
		if o.Range.First > home.Last {
			break
		}
		if o.Range.First > first {
			pieces = append(pieces, piece{hashes: keys.Range{First: first, Last: o.Range.First - 1}, owner: none})
		}
		pieces = append(pieces, pieceOf(o, home, index))
		if o.Range.Last >= home.Last {
			return pieces
		}
		first = max(first, o.Range.Last+1)
	}
	return append(pieces, piece{hashes: keys.Range{First: first, Last: home.Last}, owner: none})
}

// pieceOf returns the part of an owned range that lies in a home. It has no owner if its
// server is not in index.
func pieceOf(o Owned, home keys.Range, index map[string]int) piece {
	r := keys.Range{First: max(o.Range.First, home.First), Last: min(o.Range.Last, home.Last)}
	owner, found := index[o.Server]
	if !found {
		owner = none
	}
	return piece{
		hashes:  r,
		owner:   owner,
		load:    o.Load * r.Width() / o.Range.Width(),
		loadAt:  o.LoadAt,
		movedAt: o.MovedAt,
	}
}

// cutHotKeys cuts sorted pieces so that each hot key is a piece of its own.
func cutHotKeys(pieces []piece, hot []uint64) []piece {
	parts := make([]piece, 0, len(pieces)+2*len(hot))
	for _, c := range pieces {
		parts = c.appendCut(parts, hot)
	}
	return parts
}

// appendCut appends the parts into which the sorted hot hashes cut a piece. A key that has
// just become hot may move at once, even if the range around it moved recently.
func (c piece) appendCut(parts []piece, hot []uint64) []piece {
	multiple := c.hashes.First < c.hashes.Last
	at, _ := slices.BinarySearch(hot, c.hashes.First)
	for ; at < len(hot) && hot[at] <= c.hashes.Last; at++ {
		if hot[at] > c.hashes.First {
			var before piece
			before, c = c.split(hot[at] - 1)
			parts = append(parts, before)
		}
		if hot[at] == c.hashes.Last {
			c.hot = true
			if multiple {
				c.movedAt = 0
			}
			break
		}
		var key piece
		key, c = c.split(hot[at])
		key.hot, key.movedAt = true, 0
		parts = append(parts, key)
	}
	return append(parts, c)
}

// split cuts a piece after the hash last, which must lie in the piece and before its end.
// Load is divided in proportion to width.
func (c piece) split(last uint64) (piece, piece) {
	a, b := c, c
	a.hashes.Last = last
	b.hashes.First = last + 1
	a.load = c.load * a.hashes.Width() / c.hashes.Width()
	b.load = c.load - a.load
	return a, b
}

// splitLoad cuts a piece so that the first part carries about the given load. It returns
// false for a hot key, when a part would be too narrow, or when the load is not between zero
// and that of the piece.
func (c piece) splitLoad(load float64) (piece, piece, bool) {
	share := load / c.load
	if c.hot || c.load <= 0 || share <= 0 || share >= 1 {
		return c, c, false
	}
	span := c.hashes.Last - c.hashes.First
	offset := uint64(share * float64(span))
	if offset < minSplitSpan || span-offset < minSplitSpan {
		return c, c, false
	}
	a, b := c.split(c.hashes.First + offset)
	return a, b, true
}

// adjoins reports whether next follows the piece without a gap and neither is a hot key, so
// that they can merge if they have the same owner.
func (c piece) adjoins(next piece) bool {
	return !c.hot && !next.hot && c.hashes.Last+1 == next.hashes.First
}

// merges reports whether the piece and next adjoin and have the same owner.
func (c piece) merges(next piece) bool {
	return c.owner == next.owner && c.adjoins(next)
}

// absorb merges next into the piece.
func (c *piece) absorb(next piece) {
	c.hashes.Last = next.hashes.Last
	c.load += next.load
	c.loadAt = max(c.loadAt, next.loadAt)
	c.movedAt = max(c.movedAt, next.movedAt)
}
