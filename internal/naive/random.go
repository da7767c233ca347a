package naive

import "math/rand/v2"

// WeightedRandom returns the index of a random server. The probability of a server is
// proportional to its slots. There must be at least one slot.
func WeightedRandom(random *rand.Rand, servers []Server) int {
	slots := 0
	for _, s := range servers {
		slots += s.Slots
	}
	at := random.IntN(slots)
	for i, s := range servers {
		if at < s.Slots {
			return i
		}
		at -= s.Slots
	}
	return len(servers) - 1
}
