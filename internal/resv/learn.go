package resv

import "time"

const (
	// maxReturns is the number of returns up to which tries are told apart, maxRoutes the number of
	// routes that are known, the latest ones, and maxTries that of tries whose outcome is open.
	maxReturns = 3
	maxRoutes  = 256
	maxTries   = maxOrigins
	// returnTime is the time in which a caller that returns does so.
	returnTime = 3 * time.Second
	// minTries is the number of tries from which a share is known, and meanTries that over which
	// the moving average extends.
	minTries  = 20
	meanTries = 50
	// rareReturns is the share of callers that return below which they rarely do.
	rareReturns = 0.2
)

// lessons learns how often callers return after a rejection, by route and number of returns.
type lessons struct {
	routes recent[string, route]
	// tries holds the tries whose outcome is open, the oldest one first.
	tries []*try
}

// route holds the share of rejected tries whose callers came back, by number of earlier returns.
type route [maxReturns + 1]struct {
	tries int32
	share float32
}

// try is a rejected try. Its outcome is open for the time in which callers return, also if this one
// has returned: otherwise returns would be counted before the others.
type try struct {
	at       time.Time
	route    *route
	returns  int
	returned bool
	// void means that the caller was not asked to return.
	void bool
}

func newLessons() lessons { return lessons{routes: newRecent[string, route]()} }

// add adds a try that ended rejected.
func (l *lessons) add(now time.Time, name string, returns int) *try {
	e, _ := l.routes.use(now, name)
	if len(l.routes.entries) > maxRoutes {
		l.routes.remove(l.routes.oldest().key)
	}
	if len(l.tries) == maxTries {
		l.pop()
	}
	t := &try{at: now, route: &e.value, returns: min(returns, maxReturns)}
	l.tries = append(l.tries, t)
	return t
}

// resolve learns from the tries whose callers would have come back by now.
func (l *lessons) resolve(now time.Time) {
	for len(l.tries) > 0 && !now.Before(l.tries[0].at.Add(returnTime)) {
		t := l.pop()
		if t.void {
			continue
		}
		a, outcome := &t.route[t.returns], float32(0)
		if t.returned {
			outcome = 1
		}
		a.tries = min(a.tries+1, meanTries)
		a.share += (outcome - a.share) / float32(a.tries)
	}
}

func (l *lessons) pop() *try {
	t := l.tries[0]
	l.tries[0] = nil // for the garbage collector
	l.tries = l.tries[1:]
	return t
}

// last reports whether callers of a route rarely return after that many returns.
func (l *lessons) last(name string, returns int) bool {
	if e := l.routes.get(name); e != nil {
		if a := e.value[min(max(returns, 0), maxReturns)]; a.tries >= minTries {
			return a.share < rareReturns
		}
	}
	return returns > 0
}
