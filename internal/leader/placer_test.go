package leader

import (
	"math/rand/v2"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/keys"
)

// slicePlacer cuts each home into slices. It leaves a slice at its server while that accepts
// ranges, and gives other slices to the server with the fewest. With moveRandom set, it also
// moves slices at random until movesEnded returns true.
type slicePlacer struct {
	slicesPerHome int
	moveRandom    *rand.Rand
	// movesEnded reports whether random moves have ended. It is nil if moveRandom is.
	movesEnded func() bool
}

func (p *slicePlacer) Place(v place.View) []place.Target {
	count := make(map[string]int)
	var accepting []string
	for _, s := range v.Servers {
		if s.Accepting {
			accepting = append(accepting, s.Name)
			count[s.Name] = 0
		}
	}
	if len(accepting) == 0 {
		return nil
	}
	var targets []place.Target
	for _, home := range v.Homes {
		for _, r := range keys.Split(home, p.slicesPerHome) {
			server := ownerOf(v.Owned, r)
			if _, accepts := count[server]; !accepts {
				server = ""
			}
			if p.moveRandom != nil && !p.movesEnded() && p.moveRandom.IntN(6) == 0 {
				server = accepting[p.moveRandom.IntN(len(accepting))]
			}
			if server != "" {
				count[server]++
			}
			targets = append(targets, place.Target{Range: r, Server: server})
		}
	}
	for i := range targets {
		if targets[i].Server == "" {
			targets[i].Server = fewest(accepting, count)
			count[targets[i].Server]++
		}
	}
	return targets
}

func ownerOf(owned []place.Owned, r keys.Range) string {
	for _, o := range owned {
		if o.Range.Contains(r.First) {
			return o.Server
		}
	}
	return ""
}

func fewest(names []string, count map[string]int) string {
	best := names[0]
	for _, name := range names {
		if count[name] < count[best] {
			best = name
		}
	}
	return best
}
