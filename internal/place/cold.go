package place

// returnColdKeys assigns each piece that holds one hash and is no longer hot to the owner of
// an adjacent piece, with which it then merges. Otherwise every key that was ever hot would
// remain a range of its own.
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

// move passes piece i from its owner to server to.
func (pl *plan) move(i, to int) {
	c := &pl.pieces[i]
	if c.owner == to {
		return
	}
	s := &pl.servers[c.owner]
	s.load -= c.load
	for k, j := range s.pieces {
		if j == i {
			s.pieces[k] = s.pieces[len(s.pieces)-1]
			s.pieces = s.pieces[:len(s.pieces)-1]
			break
		}
	}
	pl.assign(i, to)
}
