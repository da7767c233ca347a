package naive

import "math/rand/v2"

// WeightedRandom chooses a server of an undivided service by slots alone.
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
