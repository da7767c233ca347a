package place

// returnColdKeys gives each piece of one hash that is hot no more to the owner of a piece beside
// it, where it merges. Without this each key that was ever hot would leave a range behind.
func (pl *plan) returnColdKeys() {
	for i := range pl.sortedCount {
		c := pl.pieces[i]
		if c.hot || c.hashes.First != c.hashes.Last {
			continue
		}
		for _, j := range []int{i - 1, i + 1} {
			if j >= 0 && j < pl.sortedCount && pl.pieces[min(i, j)].adjoins(pl.pieces[max(i, j)]) {
				pl.move(i, pl.pieces[j].owner)
				break
			}
		}
	}
}

// move makes another server the owner of a piece.
func (pl *plan) move(i, to int) {
	c := &pl.pieces[i]
	if c.owner == to {
		return
	}
	from := &pl.servers[c.owner]
	from.load -= c.load
	for at, j := range from.pieces {
		if j == i {
			from.pieces[at] = from.pieces[len(from.pieces)-1]
			from.pieces = from.pieces[:len(from.pieces)-1]
			break
		}
	}
	pl.assign(i, to)
}
