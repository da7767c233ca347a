package join

import (
	"cmp"
	"slices"

	"example.org/mustardring/internal/roster"
)

// treeFanout is the number of instances that ask the same one for news.
const treeFanout = 4

// Place is the place of an instance in the tree of its failure domain, along which news that messages do not carry
// spread.
type Place struct {
	// Index numbers the instances of the domain by strength, from 0. Size is their number.
	Index int
	Size  int
	// Ancestors holds the instances to ask, the nearest first. It is empty if this one should ask the store.
	Ancestors []roster.Peer
	// Leader is the leader, without a name if none is known or this instance leads.
	Leader roster.Peer
}

// Part returns the part of the domain that is above the instance, from 0 to 1.
func (p Place) Part() float64 { return float64(p.Index) / float64(max(p.Size, 1)) }

// PlaceOf returns the place of an instance among the peers that are alive. Leader is the name of the leader, empty for
// none. The strongest instance of a domain asks the leader, the others those above them in the domain and then the leader.
func PlaceOf(self, domain, leader string, alive []roster.Peer) Place {
	var place Place
	var members []roster.Peer
	for _, p := range alive {
		if p.Domain == domain {
			members = append(members, p)
		}
		if p.Name == leader && p.Name != self {
			place.Leader = p
		}
	}
	slices.SortFunc(members, func(a, b roster.Peer) int {
		return cmp.Or(-cmp.Compare(a.Share, b.Share), cmp.Compare(a.Name, b.Name))
	})
	place.Size = len(members)
	place.Index = slices.IndexFunc(members, func(p roster.Peer) bool { return p.Name == self })
	if place.Index < 0 {
		place.Index = len(members)
	}
	leaderFound := place.Leader.Name == ""
	for at := place.Index; at > 0; {
		at = (at - 1) / treeFanout
		place.Ancestors = append(place.Ancestors, members[at])
		leaderFound = leaderFound || members[at].Name == place.Leader.Name
	}
	if !leaderFound {
		place.Ancestors = append(place.Ancestors, place.Leader)
	}
	return place
}
