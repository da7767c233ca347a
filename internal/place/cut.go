package place

import (
	"slices"

	"example.org/mustardring/pkg/keys"
)

// none is the owner of a piece without an accepting owner.
const none = -1

// minSplitSpan is the least distance of the ends of a piece that is split off. At 16 billion
// keys it holds none on average, so a narrower piece would only add to the ranges.
const minSplitSpan = 1 << 24

// piece is a part of the homes while a plan is made.
type piece struct {
	hashes  keys.Range
	owner   int
	load    float64
	loadAt  Time
	movedAt Time
	// hot says that the piece is a hot key, which is neither split nor merged.
	hot bool
}

// cutHomes returns the homes as a sorted list of pieces: what is owned, the gaps between, and
// the hot keys apart.
func cutHomes(v View, servers []server, maxHot int) []piece {
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
	if len(hot) > maxHot {
		hot = hot[:maxHot]
	}
	if len(hot) == 0 {
		return pieces
	}
	return cutHotKeys(pieces, hot)
}

// cutHome appends the pieces of one home. The first of the owned ranges ends in or after it.
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

// pieceOf returns the part of an owned range that lies in a home.
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

// cutHotKeys sets the hot keys of sorted pieces apart.
func cutHotKeys(pieces []piece, hot []uint64) []piece {
	parts := make([]piece, 0, len(pieces)+2*len(hot))
	for _, c := range pieces {
		parts = c.appendCut(parts, hot)
	}
	return parts
}

// appendCut appends the parts into which the sorted hot hashes cut a piece. A key that just
// became hot may move although the range about it moved of late.
func (c piece) appendCut(parts []piece, hot []uint64) []piece {
	wide := c.hashes.First < c.hashes.Last
	at, _ := slices.BinarySearch(hot, c.hashes.First)
	for ; at < len(hot) && hot[at] <= c.hashes.Last; at++ {
		if hot[at] > c.hashes.First {
			var before piece
			before, c = c.split(hot[at] - 1)
			parts = append(parts, before)
		}
		if hot[at] == c.hashes.Last {
			c.hot = true
			if wide {
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

// split cuts a piece after the hash last, which must lie in it before its end. Load goes
// with width.
func (c piece) split(last uint64) (piece, piece) {
	a, b := c, c
	a.hashes.Last = last
	b.hashes.First = last + 1
	a.load = c.load * a.hashes.Width() / c.hashes.Width()
	b.load = c.load - a.load
	return a, b
}

// splitLoad cuts a piece so that the first part carries about the given load. It reports
// false when the piece is too narrow or the load is all or none of it.
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

// adjoins reports whether a piece and the next could be one if they had one owner.
func (c piece) adjoins(next piece) bool {
	return !c.hot && !next.hot && c.hashes.Last+1 == next.hashes.First
}

// merges reports whether a piece and the next are one.
func (c piece) merges(next piece) bool {
	return c.owner == next.owner && c.adjoins(next)
}

// absorb makes a piece one with the next.
func (c *piece) absorb(next piece) {
	c.hashes.Last = next.hashes.Last
	c.load += next.load
	c.loadAt = max(c.loadAt, next.loadAt)
	c.movedAt = max(c.movedAt, next.movedAt)
}
