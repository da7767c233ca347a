package permit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
)

// crowd is many instances that each know by themselves which others there are, and ask one another for permits.
type crowd struct {
	random  *rand.Rand
	rosters []*roster.Roster
	keepers []*permit.Controller
	// alone, cutOff and dead say which instances hear nobody, only their own domain, or are gone.
	alone  map[int]bool
	cutOff string
	dead   map[int]bool
}

const crowdDomains = 4

func (c *crowd) name(i int) string   { return fmt.Sprintf("i%03d", i) }
func (c *crowd) domain(i int) string { return fmt.Sprintf("d%d", i%crowdDomains) }

func newCrowd(seed uint64, size int, servers []rules.Server) *crowd {
	c := &crowd{random: rand.New(rand.NewPCG(seed, 1)), alone: map[int]bool{}, dead: map[int]bool{}}
	for i := range size {
		r := roster.New(c.name(i), c.domain(i))
		for j := range size {
			r.Put(c.name(j), roster.Entry{Address: c.name(j), Domain: c.domain(j), Incarnation: 1, Share: 1}, start)
		}
		k := permit.New(rand.New(rand.NewPCG(seed, uint64(i))))
		k.SetServers(start, servers)
		c.rosters, c.keepers = append(c.rosters, r), append(c.keepers, k)
	}
	return c
}

// reaches reports whether a message from one instance to another arrives.
func (c *crowd) reaches(i, j int) bool {
	split := c.cutOff != "" && (c.domain(i) == c.cutOff) != (c.domain(j) == c.cutOff)
	return i == j || !c.dead[j] && !c.alone[i] && !c.alone[j] && !split
}

// beat lets each instance send a heartbeat to all.
func (c *crowd) beat(now time.Time) {
	for i := range c.rosters {
		for j := range c.rosters {
			if !c.dead[i] && c.reaches(i, j) {
				c.rosters[j].RecordHeartbeat(roster.Heartbeat{Name: c.name(i), Incarnation: 1, StoreOK: true}, now)
			}
		}
	}
}

// ask asks those in charge of a server in turn, as an instance does, and returns who granted a permit, -1 for nobody.
func (c *crowd) ask(i int, a permit.Request, now time.Time) int {
	keeper := i
	for n, p := range c.rosters[i].Rank(a.Server, "d0", now) {
		var j int
		_, _ = fmt.Sscanf(p.Name, "i%03d", &j)
		if n == 2 {
			a.NonExclusive = true
			break
		}
		if j == i {
			break
		}
		if c.reaches(i, j) {
			keeper = j
			break
		}
		c.rosters[i].Suspect(p.Name, now)
	}
	a.NonExclusive = a.NonExclusive || !c.rosters[keeper].MajorityAlive(now)
	if _, granted := c.keepers[keeper].Decide(now, a).(permit.Admitted); !granted {
		c.keepers[keeper].Cancel(now, a.ID)
		return -1
	}
	return keeper
}

// Guards against a cold server that gets too much since instances do not agree on who counts its requests: some are cut
// off alone, a domain is, and others are killed, all within seconds.
func TestColdServerUnderManyKeepers(t *testing.T) {
	const size = 200
	cold := rules.Server{ID: "s", Service: "books", Domain: "d0", Slots: 2, ColdRate: coldRate, WarmAt: start.Add(time.Hour)}
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			c := newCrowd(seed, size, []rules.Server{cold})
			trouble := map[int]func(){
				1500: func() {
					for range 35 {
						c.alone[c.random.IntN(size)] = true
					}
				},
				2000: func() { c.cutOff = c.domain(c.random.IntN(size)) },
				2600: func() {
					for range 40 {
						c.dead[c.random.IntN(size)] = true
					}
				},
				4000: func() { clear(c.alone) },
				5000: func() { c.cutOff = "" },
			}
			var sent []time.Time
			for ms := 0; ms < 7000; ms += 5 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				if do := trouble[ms]; do != nil {
					do()
				}
				if ms%500 == 0 {
					c.beat(now)
				}
				i := c.random.IntN(size)
				if c.dead[i] {
					continue
				}
				a := ask(uint64(ms), now)
				a.From, a.Server = c.name(i), "s"
				behindCut := c.cutOff != "" && (c.domain(i) == c.cutOff) != (cold.Domain == c.cutOff)
				if behindCut {
					continue // nothing that it sends arrives
				}
				if keeper := c.ask(i, a, now); keeper >= 0 {
					sent = append(sent, now)
					c.keepers[keeper].Complete(now, permit.Completion{ID: a.ID, Server: "s", Route: "read", Took: 20 * time.Millisecond})
				}
			}
			t.Logf("%d sent, %d in a second", len(sent), mostInASecond(sent))
			is.True(float64(mostInASecond(sent)) <= coldRate*coldOverage+coldSlack)
			is.True(len(sent) > 20) // it is not forgotten
		})
	}
}
