package shard

import (
	"math"
	"time"
)

const (
	// rejectHalfLife is the time after which a rejected or answered request counts half.
	rejectHalfLife = 3 * time.Second
	// priorRequests is the weight of the usual share of rejected requests in that of a server, as a number of requests.
	priorRequests = 10
	// A server rejects more than others from a difference of minExcess plus excessDeviations standard deviations on, and
	// until the difference is half of that.
	minExcess        = 0.15
	excessDeviations = 2
	// minRequests is the number of requests, decayed, below which a server is forgotten.
	minRequests = 0.05
)

// Rejects estimates the shares of requests that the servers of a service reject while they have free slots, or fail.
type Rejects struct {
	servers map[string]*rejects
}

// rejects holds the requests that a server rejected and those that it answered, both decayed as of the time at. Marked says
// that it rejects more than others.
type rejects struct {
	rejected float64
	answered float64
	at       time.Time
	marked   bool
}

// NewRejects returns the shares of servers none of which has rejected requests.
func NewRejects() *Rejects { return &Rejects{servers: map[string]*rejects{}} }

func (r *rejects) decay(now time.Time) {
	scale := math.Exp2(-now.Sub(r.at).Seconds() / rejectHalfLife.Seconds())
	r.rejected, r.answered, r.at = r.rejected*scale, r.answered*scale, now
}

func (r *rejects) requests() float64 { return r.rejected + r.answered }

// Add adds the requests that a server rejected and those that it answered since the last call for it.
func (r *Rejects) Add(server string, rejected, answered int, now time.Time) {
	s := r.servers[server]
	if s == nil {
		s = &rejects{at: now}
		r.servers[server] = s
	}
	s.decay(now)
	s.rejected += float64(rejected)
	s.answered += float64(answered)
}

// Shares returns the shares of servers that reject more requests than others, by id, and that of all others. Differences that
// may be due to chance do not count.
func (r *Rejects) Shares(now time.Time) (byServer map[string]float64, others float64) {
	rejected, requests := 0.0, 0.0
	for id, s := range r.servers {
		if s.decay(now); s.requests() < minRequests {
			delete(r.servers, id)
			continue
		}
		rejected, requests = rejected+s.rejected, requests+s.requests()
	}
	usual := rejected / max(requests, minRequests)
	byServer = map[string]float64{}
	for id, s := range r.servers {
		n := s.requests() + priorRequests
		share := (s.rejected + priorRequests*usual) / n
		excess := minExcess + excessDeviations*math.Sqrt(usual*(1-usual)/n)
		if s.marked {
			excess /= 2
		}
		if s.marked = share-usual > excess; s.marked {
			byServer[id] = share
		}
	}
	return byServer, usual
}
