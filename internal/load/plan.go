package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// planned is one sending that is to start at a time after the start of the run.
type planned struct {
	at time.Duration
	// id is the number of the request. A twin has the id of the other.
	id      int
	service int
	key     string
	once    bool
	direct  bool
	// target is an index into the entries, or the servers for a direct request.
	target int
}

// plan makes the requests of a profile one after the other. It depends on the profile alone.
type plan struct {
	profile *Profile
	random  *rand.Rand
	shares  float64
	at      time.Duration
	end     time.Duration
	count   int
	twin    *planned
}

func newPlan(p *Profile) *plan {
	l := &plan{
		profile: p,
		random:  rand.New(rand.NewPCG(p.Seed, 0)),
		end:     time.Duration(p.DurationMillis) * time.Millisecond,
	}
	for _, s := range p.Services {
		l.shares += s.Share
	}
	return l
}

// next returns the next sending, or false at the end.
func (l *plan) next() (planned, bool) {
	if l.twin != nil {
		twin := *l.twin
		l.twin = nil
		return twin, true
	}
	step := float64(time.Second) / l.profile.Rate
	if l.profile.Spread == SpreadRandom {
		step *= l.random.ExpFloat64()
	}
	l.at += time.Duration(step)
	if l.at >= l.end || l.count >= maxRequests {
		return planned{}, false
	}
	r := l.draw()
	l.count++
	if len(l.profile.Entries) > 1 && !r.direct && l.random.Float64() < l.profile.Resend.TwinShare {
		twin := r
		twin.target = (r.target + 1) % len(l.profile.Entries)
		l.twin = &twin
	}
	return r, true
}

func (l *plan) draw() planned {
	r := planned{at: l.at, id: l.count, service: l.drawService()}
	s := l.profile.Services[r.service]
	r.key = l.drawKey(s)
	r.once = l.random.Float64() < s.OnceShare
	r.direct = l.random.Float64() < l.profile.DirectShare
	if r.direct {
		r.target = l.random.IntN(len(l.profile.Servers))
	} else {
		r.target = l.random.IntN(len(l.profile.Entries))
	}
	return r
}

func (l *plan) drawService() int {
	at := l.random.Float64() * l.shares
	for i, s := range l.profile.Services {
		at -= s.Share
		if at < 0 {
			return i
		}
	}
	return len(l.profile.Services) - 1
}

// drawKey draws from the hot set of the moment or from all keys. The hot set is a window of
// the keys whose place depends on the seed and on the number of shifts before.
func (l *plan) drawKey(s Service) string {
	if s.Keys == 0 {
		return ""
	}
	n := l.random.IntN(s.Keys)
	if s.HotKeys > 0 && l.random.Float64() < s.HotShare {
		shift := uint64(0)
		if s.ShiftMillis > 0 {
			shift = uint64(l.at / (time.Duration(s.ShiftMillis) * time.Millisecond))
		}
		window := rand.New(rand.NewPCG(l.profile.Seed, shift+1)).IntN(s.Keys)
		n = (window + l.random.IntN(s.HotKeys)) % s.Keys
	}
	return fmt.Sprintf("%s-%d", s.Name, n)
}
