package admit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/mustardring/internal/rules"
)

// Sizes of pools, in slots.
const (
	// minPoolSlots is the number of slots from which on the servers of a failure domain form pools
	// of their own. A queue for fewer slots rejects more requests than one queue for all servers.
	minPoolSlots = 24
	// targetPoolSlots is the size of the pools of a domain with many slots. At this size, a queue
	// per pool rejects hardly more requests than one queue for all servers.
	targetPoolSlots = 48
)

// Pool is a set of servers of one service, with one controller that admits requests to them.
//
// One controller for all servers of a service would get several messages for each request. With
// some hundred servers, that is more than one instance can handle.
type Pool struct {
	// Name identifies the pool, also in messages.
	Name    string
	Service string
	// Domain is the failure domain of the servers, empty if they are in several.
	Domain  string
	Servers []rules.Server
}

// SplitIntoPools returns the pools of a service, sorted by name: one or more for each failure
// domain with enough slots, and one for the servers of all other domains. Instances that know the
// same servers get the same pools.
func SplitIntoPools(service string, servers []rules.Server) []Pool {
	domains := map[string][]rules.Server{}
	for _, s := range servers {
		domains[s.Domain] = append(domains[s.Domain], s)
	}
	rest := Pool{Name: service, Service: service}
	var out []Pool
	for domain, members := range domains {
		slots := 0
		for _, s := range members {
			slots += s.Slots
		}
		if slots < minPoolSlots {
			rest.Servers = append(rest.Servers, members...)
			continue
		}
		out = append(out, splitDomain(service, domain, members, max(slots/targetPoolSlots, 1))...)
	}
	if len(rest.Servers) > 0 || len(out) == 0 {
		out = append(out, rest)
	}
	slices.SortFunc(out, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// splitDomain distributes the servers of a domain over a number of pools by a hash of their IDs, so
// that a server that joins or leaves does not move the others.
func splitDomain(service, domain string, servers []rules.Server, count int) []Pool {
	out := make([]Pool, count)
	for i := range out {
		out[i] = Pool{Name: fmt.Sprintf("%s/%s/%d", service, domain, i), Service: service, Domain: domain}
	}
	for _, s := range servers {
		i := xxhash.Sum64String(s.ID) % uint64(count)
		out[i].Servers = append(out[i].Servers, s)
	}
	return out
}

// Parameters of the choice of a pool.
const (
	// maxPoolCandidates is the largest number of pools that a request asks.
	maxPoolCandidates = 3
	// minBusyTime and maxBusyTime bound the time for which a pool that had no room is left out.
	minBusyTime = 20 * time.Millisecond
	maxBusyTime = 200 * time.Millisecond
)

// Picker chooses the pools that an instance asks. It is not safe for concurrent use.
type Picker struct {
	// pools is sorted in the order in which the instance asks them while none is busy: the pools of
	// its own domain first, in an order that is fixed for the instance, so that connections are
	// reused.
	pools []Pool
	// ownCount is the number of pools at the front that belong to the instance's domain, at least
	// one.
	ownCount int
	// busyUntil holds until when a pool is left out, by its name.
	busyUntil map[string]time.Time
	random    *rand.Rand
}

// NewPicker returns the Picker of an instance in a failure domain.
func NewPicker(instance, domain string, pools []Pool, random *rand.Rand) *Picker {
	p := &Picker{pools: slices.Clone(pools), busyUntil: map[string]time.Time{}, random: random}
	own := func(o Pool) bool { return o.Domain == domain }
	weight := func(o Pool) uint64 { return xxhash.Sum64String(instance + "\x00" + o.Name) }
	slices.SortFunc(p.pools, func(a, b Pool) int {
		return cmp.Or(trueFirst(own(a), own(b)), cmp.Compare(weight(a), weight(b)))
	})
	for p.ownCount < len(p.pools) && own(p.pools[p.ownCount]) {
		p.ownCount++
	}
	p.ownCount = max(p.ownCount, 1)
	return p
}

// Candidates returns the pools that a request should ask in turn. The last one decides; those
// before it reject the request at once if they have no room.
//
// A pool that was busy is left out until it may have room again. At most one pool of another domain
// is asked, chosen at random: in a fixed order, all requests that look for room would overload one
// pool after the other.
func (p *Picker) Candidates(now time.Time) []Pool {
	if len(p.pools) == 1 {
		return p.pools
	}
	var out []Pool
	for i, pool := range p.pools {
		if i == p.ownCount {
			break
		}
		if !now.Before(p.busyUntil[pool.Name]) && len(out) < maxPoolCandidates-1 {
			out = append(out, pool)
		}
	}
	if others := p.pools[p.ownCount:]; len(others) > 0 && len(out) < maxPoolCandidates-1 {
		if pool := others[p.random.IntN(len(others))]; !now.Before(p.busyUntil[pool.Name]) {
			out = append(out, pool)
		}
	}
	return append(out, p.pools[p.random.IntN(p.ownCount)])
}

// MarkBusy records that a pool had no room, and the predicted wait there.
func (p *Picker) MarkBusy(pool string, wait time.Duration, now time.Time) {
	p.busyUntil[pool] = now.Add(min(max(wait, minBusyTime), maxBusyTime))
}
