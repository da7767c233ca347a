package permit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/mustardring/internal/rules"
)

// The sizes of pools.
const (
	// poolLeast is the number of slots from which on the servers of a failure domain are a pool of their
	// own. A queue for fewer refuses more than one for all.
	poolLeast = 24
	// poolSlots is the number of slots of a pool where there are many: with as many, a queue for each pool
	// refuses next to no more than one for all.
	poolSlots = 48
)

// Pool is servers of one service whose permits one keeper gives.
//
// One keeper for all servers of a service gets each of its requests as several messages. At some hundred
// servers that is more than an instance can do.
type Pool struct {
	// Name names the pool, also in messages.
	Name    string
	Service string
	// Domain is the failure domain of the servers, empty if they are of several.
	Domain  string
	Servers []rules.Server
}

// SplitIntoPools returns the pools of a service: some for each failure domain with many servers, and one for the
// others together. Who knows the same servers finds the same pools.
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
		if slots < poolLeast {
			rest.Servers = append(rest.Servers, members...)
			continue
		}
		out = append(out, divideDomain(service, domain, members, max(slots/poolSlots, 1))...)
	}
	if len(rest.Servers) > 0 || len(out) == 0 {
		out = append(out, rest)
	}
	slices.SortFunc(out, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// divideDomain spreads the servers of a domain over pools by their names: one that comes or goes leaves the
// others where they are.
func divideDomain(service, domain string, servers []rules.Server, count int) []Pool {
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

// The constants of the choice of a pool.
const (
	// poolTries is the number of pools that a request asks at most.
	poolTries = 3
	// busyLeast and busyMost bound the time for which a pool that had no room is asked last.
	busyLeast = 20 * time.Millisecond
	busyMost  = 200 * time.Millisecond
)

// Picker chooses the pools that an instance asks. Its methods are not safe for use by several goroutines.
type Picker struct {
	// pools are in the order in which the instance asks them while none is busy: its own domain's first,
	// and of these always the same first, so that connections are used again.
	pools  []Pool
	near   int
	busy   map[string]time.Time
	random *rand.Rand
}

// NewPicker returns the picker of an instance of a failure domain.
func NewPicker(instance, domain string, pools []Pool, random *rand.Rand) *Picker {
	p := &Picker{pools: slices.Clone(pools), busy: map[string]time.Time{}, random: random}
	own := func(o Pool) bool { return o.Domain == domain }
	weight := func(o Pool) uint64 { return xxhash.Sum64String(instance + "\x00" + o.Name) }
	slices.SortFunc(p.pools, func(a, b Pool) int {
		return cmp.Or(first(own(a), own(b)), cmp.Compare(weight(a), weight(b)))
	})
	for p.near < len(p.pools) && own(p.pools[p.near]) {
		p.near++
	}
	p.near = max(p.near, 1)
	return p
}

// Candidates returns the pools that a request should ask in turn. The last one decides; those before it are to
// say at once if they have no room.
//
// A pool that was busy is left out until it may have room again, and the others of other domains are asked
// at random: in an order they would be overrun one after the other by all who look for room.
func (p *Picker) Candidates(now time.Time) []Pool {
	if len(p.pools) == 1 {
		return p.pools
	}
	var out []Pool
	for i, pool := range p.pools {
		if i == p.near {
			break
		}
		if !now.Before(p.busy[pool.Name]) && len(out) < poolTries-1 {
			out = append(out, pool)
		}
	}
	if far := p.pools[p.near:]; len(far) > 0 && len(out) < poolTries-1 {
		if pool := far[p.random.IntN(len(far))]; !now.Before(p.busy[pool.Name]) {
			out = append(out, pool)
		}
	}
	return append(out, p.pools[p.random.IntN(p.near)])
}

// MarkBusy takes in that a pool had no room for a time.
func (p *Picker) MarkBusy(pool string, wait time.Duration, now time.Time) {
	p.busy[pool] = now.Add(min(max(wait, busyLeast), busyMost))
}
