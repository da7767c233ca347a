package admit

import "time"

// soleUserTime is the time after which an instance whose requests are the only ones at a server is taken for its only user.
const soleUserTime = 2 * time.Second

// failureEvidence says whether the failures of a server are the server's. A request that is lost may have been lost on the
// way: then it is lost to one instance, while the server answers others.
type failureEvidence struct {
	// confirmed says that the server itself answered with a failure, or that more than one instance has lost requests,
	// since the server last failed rarely. lostBy is the first instance that has.
	confirmed bool
	lostBy    string
	hasLost   bool
	// used says that a request has ended, user is the instance whose request ended last, and otherUsedAt when one of another
	// instance last did.
	used        bool
	user        string
	otherUsedAt time.Time
}

// observe takes in the end of a request of an instance.
func (e *failureEvidence) observe(from string, outcome Outcome, now time.Time) {
	if e.used && from != e.user {
		e.otherUsedAt = now
	}
	e.used, e.user = true, from
	switch {
	case outcome == Failed:
		e.confirmed = true
	case outcome != Lost:
	case e.hasLost:
		e.confirmed = e.confirmed || e.lostBy != from
	default:
		e.hasLost, e.lostBy = true, from
	}
}

// forget drops what is known of failures, as the server fails rarely now.
func (e *failureEvidence) forget() { e.confirmed, e.hasLost, e.lostBy = false, false, "" }

// holds reports whether the failures are the server's, as far as can be known: one instance alone has no others to compare.
func (e *failureEvidence) holds(now time.Time) bool {
	return e.confirmed || e.soleUser(now)
}

// soleUser reports whether only one instance uses the server.
func (e *failureEvidence) soleUser(now time.Time) bool { return now.Sub(e.otherUsedAt) > soleUserTime }
