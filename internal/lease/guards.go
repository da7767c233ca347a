package lease

// guards are the rules that keep each key with at most one owner. All of them are always on; tests turn
// one off at a time to show that it is needed.
type guards struct {
	// conditionalAppend appends records of owners only directly behind the record that they were decided from.
	conditionalAppend bool
	// endOldLeases waits until the lease of the former owner has ended before the new owner gets the keys.
	endOldLeases bool
	// awaitConfirmation waits until every instance acts on the new record or its view is too old to act on.
	awaitConfirmation bool
	// awaitExpiry waits until the last lease that may have been granted has expired.
	awaitExpiry bool
	// requireFreshView renews only while the view is fresh.
	requireFreshView bool
	// requireMajority acts on a view that is older than the contact timeout of the roster only while a majority of
	// the instances agrees with it.
	requireMajority bool
	// stopStaleGrants confirms a new record only after the grants in transit that contradict it have been canceled.
	stopStaleGrants bool
	// checkIncarnation rejects requests that are meant for another incarnation of a server. Only the fake servers
	// of the tests read it: a Client always states the incarnation.
	checkIncarnation bool
	// verifyConnection sends grants only on connections that were opened before the time as of which the grants
	// are known to be current.
	verifyConnection bool
	// awaitKnowledge puts owners in force in a new era of the store only once all records on which a lease may rest are known.
	awaitKnowledge bool
	// renewFences gives all keys new fences in a new era if lost records may have given fences that are not known.
	renewFences bool
	// conditionalEnd appends the record of the end of an instance only behind records that were known while it ran. Only the
	// tests' instances read it: the record is written by package node.
	conditionalEnd bool
	// ignoreFormerEnds keeps an instance registered when a record says that another incarnation of it has ended.
	ignoreFormerEnds bool
	// requireRegistration acts only while the view contains the registration of this instance.
	requireRegistration bool
}

// allGuards has every guard on.
var allGuards = guards{
	conditionalAppend: true, endOldLeases: true, awaitConfirmation: true, awaitExpiry: true, requireFreshView: true, stopStaleGrants: true, requireRegistration: true, checkIncarnation: true, verifyConnection: true, requireMajority: true, awaitKnowledge: true, renewFences: true, conditionalEnd: true, ignoreFormerEnds: true,
}
