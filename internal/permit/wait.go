package permit

import (
	"time"

	"example.org/mustardring/internal/clock"
)

func (k *Controller) enter(now time.Time, a Request) *waiting {
	r := k.route(a.Route, a.TargetAt.Sub(now))
	k.turns++
	w := &waiting{Request: a, turn: k.turns, expect: r.mean}
	if s := k.servers[a.Server]; s != nil {
		w.expect = s.expect(r, now)
	}
	w.giveUpAt = a.Deadline.Add(-w.expect / 2)
	if a.TargetAt.Sub(now) < w.expect {
		w.setLate(now)
	}
	if a.Server != "" {
		w.crossAt = now
		return w
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

func (k *Controller) route(name string, target time.Duration) *route {
	r := k.routes[name]
	if r == nil {
		r = &route{mean: max(time.Duration(firstMean*float64(target)), time.Millisecond)}
		k.routes[name] = r
	}
	return r
}

func (s *server) expect(r *route, now time.Time) time.Duration {
	return time.Duration(float64(r.mean) * s.speed * s.factor(now))
}

// queueOf returns where a request waits.
func (k *Controller) queueOf(now time.Time, w *waiting) *queue {
	switch {
	case w.Server != "":
		return &k.servers[w.Server].queue
	case !now.Before(w.crossAt):
		return &k.anywhere
	}
	q := k.near[w.Domain]
	if q == nil {
		q = &queue{}
		k.near[w.Domain] = q
	}
	return q
}

// enqueue lets a request wait.
func (k *Controller) enqueue(now time.Time, w *waiting) {
	k.queued[w.ID] = w
	k.queueOf(now, w).push(w)
	k.timers.set(w.giveUpAt, requestGivesUp{w})
	if w.Server == "" && now.Before(w.crossAt) {
		k.timers.set(w.crossAt, requestCrosses{w})
	}
}

func (k *Controller) dequeue(w *waiting) {
	delete(k.queued, w.ID)
	w.remove()
}

// next returns the request that a server with a free slot should get, nil if none waits for it. One that is
// set aside gets only those that no other server can serve.
func (k *Controller) next(s *server) *waiting {
	k.looked++
	best := s.queue.head()
	if !s.listed {
		return best
	}
	for _, q := range []*queue{k.near[s.Domain], &k.anywhere} {
		if q == nil {
			continue
		}
		if w := q.head(); w != nil && (best == nil || w.before(best)) {
			best = w
		}
	}
	return best
}

// serve gives the free slots of a server to requests that wait.
func (k *Controller) serve(now time.Time, s *server) []Decision {
	var out []Decision
	for k.servers[s.ID] == s && s.open(now) {
		w := k.next(s)
		if w == nil || !s.takes(now, w) || !s.free(now) && now.Before(w.crossAt) {
			break
		}
		k.dequeue(w)
		out = append(out, k.grant(now, s, w))
	}
	return out
}
