package permit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/rules"
)

// The constants of queueing and refusing.
const (
	// meanShare is the weight of the newest answer in the mean time of a route.
	meanShare = 0.03
	// firstMean is the part of the target that the work of a route is taken for before any was
	// seen.
	firstMean = 0.33
	// targetShare is the part of the time to the target that a predicted finish may fill. The
	// rest is for the spread of service times. At twice the capacity, 1447 of 1600 requests that
	// could be served made their target with 0.9, 1535 with 0.75 (TestOverload); below that the
	// queue runs empty at moderate load.
	targetShare = 0.8
	// limitShare is the same for the limit, where missing it loses the request.
	limitShare = 0.8
	// lateShare is the longest wait, in multiples of a request's own time, for which a late
	// request is let wait, lateWait that after which it is refused: those that can make their
	// target go before it, and it would be held for long and then be refused.
	lateShare = 1
	lateWait  = 2
	// crossPerKB is for how long a request waits for a server of its own failure domain, for
	// each kilobyte of the answer: bytes between domains are dear, and large answers make up
	// nearly all of them.
	crossPerKB = 2 * time.Millisecond
	// openCost is what a new connection costs, in units of a server's mean time: it takes a slot for
	// a millisecond, and operators weigh them. Of 8,400 requests that 40 instances send to 60 servers
	// 3,848 need a new one without it, 142 with it (TestConnectionsAreUsedAgain).
	openCost = 0.3
	// crossMost bounds that wait as a part of the time to the target.
	crossMost = 0.35
	// retryLeast and retryShare bound the time after which a refused caller should return: no
	// sooner than a fraction of a service time, no later than leaves it the time to be served.
	retryLeast = 150 * time.Millisecond
	retryShare = 0.3
	// retrySpread keeps callers that were refused together from returning together.
	retrySpread = 0.4
)

// route is what is learnt of a kind of work.
type route struct {
	mean  time.Duration
	bytes float64
	// heard is the number of answers.
	heard int
}

// waiting is a request in the queue.
type waiting struct {
	Ask
	askedAt time.Time
	// crossAt is when servers of other domains may be used.
	crossAt time.Time
	expect  time.Duration
	// late says that the target is out of reach. Such a request is refused at giveUpAt if it
	// still waits then.
	late     bool
	giveUpAt time.Time
}

// Keeper gives the permits of one service.
type Keeper struct {
	service string
	servers map[string]*server
	// order holds the ids of the servers, so that equal choices fall the same way.
	order  []string
	routes map[string]*route
	queue  []*waiting
	// demands holds the demand by priority.
	demands map[int]*demand
	random  *rand.Rand
	// expired is the number of permits that were taken back since Expired was last asked.
	expired int
}

// New returns the keeper of a service.
func New(service string, random *rand.Rand) *Keeper {
	return &Keeper{service: service, servers: map[string]*server{}, routes: map[string]*route{}, demands: map[int]*demand{}, random: random}
}

// SetServers takes the servers that may be used. Draining ones are left out by the caller.
func (k *Keeper) SetServers(now time.Time, servers []rules.Server) []Verdict {
	next := make(map[string]*server, len(servers))
	for _, s := range servers {
		known := k.servers[s.ID]
		if known == nil {
			known = newServer(s)
		}
		known.Server = s
		next[s.ID] = known
	}
	k.servers = next
	k.order = k.order[:0]
	for id := range next {
		k.order = append(k.order, id)
	}
	slices.Sort(k.order)
	return k.Tick(now)
}

// Ask decides about a request. One that is asked for again, as when the first verdict was lost
// or took long, gets the verdict that stands.
func (k *Keeper) Ask(now time.Time, a Ask) Verdict {
	if v := k.standing(a.Key); v != nil {
		return v
	}
	w := k.enter(now, a)
	if a.Server != "" && k.servers[a.Server] == nil {
		return Refused{Key: a.Key, Reason: Gone}
	}
	if len(k.servers) == 0 {
		return Refused{Key: a.Key, Reason: NoServer, RetryIn: k.retryIn(now, a, 0)}
	}
	ahead, work := k.ahead(w)
	if ahead == 0 {
		if s := k.choose(now, w); s != nil {
			k.note(now, w)
			return k.grant(now, s, w)
		}
	}
	wait, fits := k.room(now, w, work)
	if !fits {
		return Refused{Key: a.Key, Reason: Overload, RetryIn: k.retryIn(now, a, wait), Wait: wait}
	}
	k.note(now, w)
	at, _ := slices.BinarySearchFunc(k.queue, w, func(x, y *waiting) int {
		if c := rank(x, y); c != 0 {
			return c
		}
		return -1
	})
	k.queue = slices.Insert(k.queue, at, w)
	return Waiting{Key: a.Key}
}

// standing returns the verdict that was given before, nil if there is none.
func (k *Keeper) standing(key Key) Verdict {
	for _, w := range k.queue {
		if w.Key == key {
			return Waiting{Key: key}
		}
	}
	for id, s := range k.servers {
		if _, granted := s.uses[key]; granted {
			return Granted{Key: key, Server: id}
		}
	}
	return nil
}

// rank orders the queue: by priority, then those that can make their target before those that
// cannot.
//
// Callers that return after a refusal do not go first. At twice the capacity they would take
// all of it, too late for their target, and push new ones beyond theirs: of 3151 requests 223
// made it so, 1447 without, and as many were refused twice (TestOverload).
func rank(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), first(b.late, a.late))
}

// first compares by a property whose bearers go first.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func (k *Keeper) enter(now time.Time, a Ask) *waiting {
	r := k.route(a.Route, a.TargetAt.Sub(now))
	w := &waiting{Ask: a, askedAt: now, expect: r.mean}
	if s := k.servers[a.Server]; s != nil {
		w.expect = s.expect(r)
	}
	w.giveUpAt = a.LimitAt.Add(-w.expect / 2)
	if a.TargetAt.Sub(now) < w.expect {
		w.setLate(now)
	}
	patience := time.Duration(r.bytes / 1024 * float64(crossPerKB))
	most := time.Duration(crossMost * float64(a.TargetAt.Sub(now)-w.expect))
	w.crossAt = now.Add(max(min(patience, most), 0))
	return w
}

// setLate takes in that the target is out of reach.
func (w *waiting) setLate(now time.Time) {
	w.late = true
	w.giveUpAt = clock.Earlier(w.giveUpAt, now.Add(lateWait*w.expect))
}

func (k *Keeper) route(name string, target time.Duration) *route {
	r := k.routes[name]
	if r == nil {
		r = &route{mean: max(time.Duration(firstMean*float64(target)), time.Millisecond)}
		k.routes[name] = r
	}
	return r
}

func (s *server) expect(r *route) time.Duration { return time.Duration(float64(r.mean) * s.speed) }

// choose returns the best server that is free for a request, nil if there is none.
func (k *Keeper) choose(now time.Time, w *waiting) *server {
	if w.Server != "" {
		s := k.servers[w.Server]
		if s != nil && s.free(now) {
			return s
		}
		return nil
	}
	asideLeft := max(int(asideShare*float64(len(k.servers))), min(1, len(k.servers)-1))
	var best *server
	var bestCost float64
	for _, id := range k.order {
		s := k.servers[id]
		if !s.free(now) {
			continue
		}
		cross := s.Domain != w.Domain
		if cross && now.Before(w.crossAt) {
			continue
		}
		cost := s.speed * (1 + float64(s.busy(now))/float64(s.Slots)/4)
		if cross {
			cost += 0.1
		}
		if now.Before(s.WarmAt) {
			cost++
		}
		if !s.open(w.From, now) {
			cost += openCost
		}
		if s.ID == w.Avoid {
			cost += 100
		}
		if s.aside(now) && asideLeft > 0 {
			asideLeft--
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

func (k *Keeper) grant(now time.Time, s *server, w *waiting) Verdict {
	expect := s.expect(k.route(w.Route, 0))
	s.sentAt[w.From] = now
	s.uses[w.Key] = use{
		since: now, expect: expect, expireAt: w.LimitAt.Add(overdue),
		doubtAt: now.Add(time.Duration(doubtShare*float64(expect)) + doubtLeast),
	}
	return Granted{Key: w.Key, Server: s.ID}
}

// Withdraw removes a request that no longer waits, or gives its permit back.
func (k *Keeper) Withdraw(now time.Time, key Key) []Verdict {
	k.queue = slices.DeleteFunc(k.queue, func(w *waiting) bool { return w.Key == key })
	for _, s := range k.servers {
		delete(s.uses, key)
	}
	return k.Tick(now)
}

// Done takes a permit back and learns from how the sending ended.
func (k *Keeper) Done(now time.Time, d Done) []Verdict {
	s := k.servers[d.Server]
	if s == nil {
		return k.Tick(now)
	}
	// A permit that is given back twice counts once.
	if _, used := s.uses[d.Key]; used {
		delete(s.uses, d.Key)
		r := k.route(d.Route, 0)
		s.learn(d, r.mean, now)
		if d.Outcome == Answered {
			mean := float64(d.Took) / s.speed
			r.mean += time.Duration((mean - float64(r.mean)) * meanShare)
			r.bytes += (float64(d.Bytes) - r.bytes) * meanShare
			r.heard++
		}
	}
	return k.Tick(now)
}

// Tick gives the permits that have become free, and refuses what can no longer be served.
func (k *Keeper) Tick(now time.Time) []Verdict {
	for _, s := range k.servers {
		for key, u := range s.uses {
			if now.After(u.expireAt) {
				delete(s.uses, key)
				k.expired++
			}
		}
	}
	var out []Verdict
	k.queue = slices.DeleteFunc(k.queue, func(w *waiting) bool {
		if w.Server != "" && k.servers[w.Server] == nil {
			out = append(out, Refused{Key: w.Key, Reason: Gone})
			return true
		}
		if s := k.choose(now, w); s != nil {
			out = append(out, k.grant(now, s, w))
			return true
		}
		if now.After(w.giveUpAt) {
			out = append(out, Refused{Key: w.Key, Reason: Overload, RetryIn: k.retryIn(now, w.Ask, 0)})
			return true
		}
		return false
	})
	return out
}

// Doubtful returns the holders of permits that take long while others wait for a slot. Whoever
// does not have the permit any more is to give it back with Withdraw.
//
// The messages that give permits back are lost where a thin link is full: of those that instances
// with 10 Mbit/s sent, 1 in 40 arrived neither at first nor when repeated (89 of 3,421), and each
// held one of a server's two slots for two seconds, where a request takes 0.2: an eighth of all slots.
func (k *Keeper) Doubtful(now time.Time) []Key {
	var out []Key
	for _, id := range k.order {
		out = append(out, k.servers[id].doubtful(now)...)
	}
	return out
}

// Expired returns how many permits were taken back since the last call because nobody gave them
// back.
func (k *Keeper) Expired() int {
	n := k.expired
	k.expired = 0
	return n
}

// Idle reports whether nothing waits, so that no tick is needed.
func (k *Keeper) Idle() bool { return len(k.queue) == 0 }
