package edge

import (
	"slices"
	"time"
)

// The load that this file answers: servers that reject half of what comes although they have room. Only the owner of a key
// may run its requests, so they are repeated there, as far as the budget goes: first those whose callers do not come back by
// themselves. A repeat at the same server does not count against the number of servers that one request may be sent to.

// firstTryReserve is the part of the budget that requests leave whose callers are expected to come back after a rejection.
const firstTryReserve = 0.7

// spendRetry reports whether the request is sent once more after its last attempt, and if so takes the retry from the budget.
func (q *request) spendRetry() bool {
	if time.Until(q.deadline) < minAttemptTime || q.ownerRests() {
		return false
	}
	if q.divided && q.edge.RepeatRejected && (q.rejection == withRoom || q.rejection == full) {
		return q.spendRepeat()
	}
	if q.attempts-q.repeats >= q.route.MaxAttempts {
		return false
	}
	// The attempt for which a retry was taken may not have been sent.
	q.retryOpen = q.retryOpen || q.edge.RetryBudget.Spend(q.service)
	return q.retryOpen
}

// spendRepeat does the same for a request that the owner of its key has rejected. A server that is full by its own figures, or
// does not state them, would reject it again.
func (q *request) spendRepeat() bool {
	if q.rejection != withRoom {
		return false
	}
	reserved := firstTryReserve
	if q.earlier.LastTry || q.returning && q.earlier.Returns == 0 {
		reserved = 0
	}
	q.retryOpen = q.edge.RetryBudget.SpendAbove(q.service, reserved)
	if q.retryOpen {
		q.repeats++
	}
	return q.retryOpen
}

// refundRetry gives back a retry that was not sent.
func (q *request) refundRetry() {
	if q.retryOpen {
		q.retryOpen = false
		q.edge.RetryBudget.Refund(q.service)
	}
}

// mayUse reports whether the request may be sent to a server: to one that it was sent to before, or to another one up to the
// limit of its route.
func (q *request) mayUse(server string) bool {
	return q.fallback == nil || slices.Contains(q.sentTo, server) || len(q.sentTo) < q.route.MaxAttempts
}
