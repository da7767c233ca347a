// Package naive holds the simple ways of placing keys and choosing servers that the placer
// and the choice of mustardring are compared with. Nothing of it runs in the router.
package naive

import (
	"cmp"
	"math"
	"slices"
)

// Server is a server that accepts keys.
type Server struct {
	Name  string
	Slots int
}

// Key is a key by its hash, with its load in any one unit.
type Key struct {
	Hash uint64
	Load float64
}

// Method is a way of placing keys: Modulo, Rendezvous or Bounded. The set is sealed.
type Method interface {
	isMethod()
}

// Modulo takes the remainder of the hash by the number of slots of all servers.
type Modulo struct{}

// Rendezvous takes the server with the highest score of key and server, weighted by slots.
type Rendezvous struct{}

// BoundedRendezvous is Rendezvous, but a server takes no key that lifts its load above Factor times
// the mean of its slots, so that the key goes to the next score.
type BoundedRendezvous struct {
	Factor float64
}

func (Modulo) isMethod()            {}
func (Rendezvous) isMethod()        {}
func (BoundedRendezvous) isMethod() {}

// Owners returns for each key the index of its server. Servers are taken in the order of
// their names, whatever the order of the list.
func Owners(m Method, keys []Key, servers []Server) []int {
	order := make([]int, len(servers))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(servers[a].Name, servers[b].Name) })
	switch m := m.(type) {
	case Modulo:
		return modulo(keys, servers, order)
	case Rendezvous:
		return rendezvous(keys, servers, order)
	case BoundedRendezvous:
		return boundedRendezvous(keys, servers, order, m.Factor)
	default:
		return nil
	}
}

func modulo(keys []Key, servers []Server, order []int) []int {
	var slots []int
	for _, i := range order {
		for range servers[i].Slots {
			slots = append(slots, i)
		}
	}
	owners := make([]int, len(keys))
	for k := range keys {
		owners[k] = slots[keys[k].Hash%uint64(len(slots))]
	}
	return owners
}

func rendezvous(keys []Key, servers []Server, order []int) []int {
	seeds := serverSeeds(servers)
	owners := make([]int, len(keys))
	for k := range keys {
		best := math.Inf(-1)
		for _, i := range order {
			if s := score(keys[k].Hash, seeds[i], servers[i].Slots); s > best {
				best, owners[k] = s, i
			}
		}
	}
	return owners
}

func boundedRendezvous(keys []Key, servers []Server, order []int, factor float64) []int {
	total, slots := 0.0, 0
	for _, k := range keys {
		total += k.Load
	}
	for _, s := range servers {
		slots += s.Slots
	}
	seeds := serverSeeds(servers)
	loads := make([]float64, len(servers))
	owners := make([]int, len(keys))
	for k := range keys {
		best, owner := math.Inf(-1), order[0]
		for _, i := range order {
			limit := factor * total * float64(servers[i].Slots) / float64(slots)
			// A key above every limit goes to an empty server.
			if loads[i] > 0 && loads[i]+keys[k].Load > limit {
				continue
			}
			if s := score(keys[k].Hash, seeds[i], servers[i].Slots); s > best {
				best, owner = s, i
			}
		}
		owners[k] = owner
		loads[owner] += keys[k].Load
	}
	return owners
}

// serverSeeds returns a hash of each server's name.
func serverSeeds(servers []Server) []uint64 {
	list := make([]uint64, len(servers))
	for i, s := range servers {
		h := uint64(14695981039346656037)
		for _, b := range []byte(s.Name) {
			h = (h ^ uint64(b)) * 1099511628211
		}
		list[i] = mix(h)
	}
	return list
}

// score is the weighted rendezvous score of a key and a server.
func score(hash, seed uint64, slots int) float64 {
	unit := (float64(mix(hash^seed)>>11) + 0.5) / (1 << 53)
	return -float64(slots) / math.Log(unit)
}

// mix spreads the bits of a number (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
