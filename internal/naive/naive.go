// Package naive has simple methods of placing keys and of choosing servers. Package replay
// compares the methods of the router with them; the router itself does not use them.
package naive

import (
	"cmp"
	"math"
	"slices"
)

// Server is a server that accepts keys or requests.
type Server struct {
	Name  string
	Slots int
}

// Key is the hash of a key and its load. The load may be in any unit, the same one for all keys.
type Key struct {
	Hash uint64
	Load float64
}

// Method is a method of placing keys: Modulo, Rendezvous or BoundedRendezvous. It cannot be
// implemented outside this package.
type Method interface {
	isMethod()
}

// Modulo numbers the slots of all servers and places a key in the slot that is the remainder of
// its hash divided by the number of slots.
type Modulo struct{}

// Rendezvous is rendezvous hashing: a key goes to the server with the highest score, a hash of
// key and server that is weighted by the slots of the server.
type Rendezvous struct{}

// BoundedRendezvous is rendezvous hashing with bounded loads. A server takes no key that would
// raise its load per slot above Factor times the mean of all slots; the key goes to the server
// with the next lower score.
type BoundedRendezvous struct {
	Factor float64
}

func (Modulo) isMethod()            {}
func (Rendezvous) isMethod()        {}
func (BoundedRendezvous) isMethod() {}

// Owners returns for each key the index of its server. The owners don't depend on the order of
// servers, since it considers them in the order of their names. There must be at least one
// server.
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
			// A key whose load alone is above the limit goes to a server without load.
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

// serverSeeds returns a hash of the name of each server: FNV-1a, with the bits mixed.
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

// score returns the weighted rendezvous score of a key and a server. It maps their hash to unit,
// in the open interval from 0 to 1; with this formula each server gets keys in proportion to its
// slots.
func score(hash, seed uint64, slots int) float64 {
	unit := (float64(mix(hash^seed)>>11) + 0.5) / (1 << 53)
	return -float64(slots) / math.Log(unit)
}

// mix mixes the bits of a number with the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
