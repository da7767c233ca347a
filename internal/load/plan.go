package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// planned is one submission that the plan schedules.
type planned struct {
	// at is the intended start, relative to the start of the load run.
	at time.Duration
	// id is the number of the request, which two twins share.
	id            int
	service       int
	key           string
	nonIdempotent bool
	direct        bool
	// target is an index into Profile.Entries, or Profile.Servers for a direct request.
	target int
}

// plan generates the submissions of a profile in order. They depend only on the profile.
type plan struct {
	profile     *Profile
	random      *rand.Rand
	shareSum    float64
	lastAt      time.Duration
	end         time.Duration
	count       int
	pendingTwin *planned
}

func newPlan(p *Profile) *plan {
	l := &plan{
		profile: p,
		random:  rand.New(rand.NewPCG(p.Seed, 0)),
		end:     time.Duration(p.DurationMillis) * time.Millisecond,
	}
	for _, s := range p.Services {
		l.shareSum += s.Share
	}
	return l
}

// next returns the next submission, or false at the end.
func (l *plan) next() (planned, bool) {
	if l.pendingTwin != nil {
		twin := *l.pendingTwin
		l.pendingTwin = nil
		return twin, true
	}
	interval := float64(time.Second) / l.profile.Rate
	if l.profile.Spread == SpreadRandom {
		interval *= l.random.ExpFloat64()
	}
	l.lastAt += time.Duration(interval)
	if l.lastAt >= l.end || l.count >= maxRequests {
		return planned{}, false
	}
	r := l.drawRequest()
	l.count++
	if len(l.profile.Entries) > 1 && !r.direct && l.random.Float64() < l.profile.Resend.TwinShare {
		twin := r
		twin.target = (r.target + 1) % len(l.profile.Entries)
		l.pendingTwin = &twin
	}
	return r, true
}

// drawRequest draws the service, key, kind and target of a request that starts at l.lastAt.
func (l *plan) drawRequest() planned {
	r := planned{at: l.lastAt, id: l.count, service: l.drawService()}
	s := l.profile.Services[r.service]
	r.key = l.drawKey(s)
	r.nonIdempotent = l.random.Float64() < s.NonIdempotentShare
	r.direct = l.random.Float64() < l.profile.DirectShare
	if r.direct {
		r.target = l.random.IntN(len(l.profile.Servers))
	} else {
		r.target = l.random.IntN(len(l.profile.Entries))
	}
	return r
}

// drawService draws the index of a service by its share.
func (l *plan) drawService() int {
	at := l.random.Float64() * l.shareSum
	for i, s := range l.profile.Services {
		at -= s.Share
		if at < 0 {
			return i
		}
	}
	return len(l.profile.Services) - 1
}

// drawKey draws a key from the current hot set or from all keys. The hot set is a range of
// consecutive keys whose start depends on the seed and on the number of shifts so far.
func (l *plan) drawKey(s Service) string {
	if s.Keys == 0 {
		return ""
	}
	n := l.random.IntN(s.Keys)
	if s.HotKeys > 0 && l.random.Float64() < s.HotShare {
		shift := uint64(0)
		if s.ShiftMillis > 0 {
			shift = uint64(l.lastAt / (time.Duration(s.ShiftMillis) * time.Millisecond))
		}
		window := rand.New(rand.NewPCG(l.profile.Seed, shift+1)).IntN(s.Keys)
		n = (window + l.random.IntN(s.HotKeys)) % s.Keys
	}
	return fmt.Sprintf("%s-%d", s.Name, n)
}
