package holder

// guards are the rules that keep a key with one owner. All are in force always; tests switch
// one off at a time, to show that it is needed.
type guards struct {
	// conditionalAppend writes owners only behind the record that they were decided from.
	conditionalAppend bool
	// endOldLeases waits for the right of the old owner to end before the new one gets the keys.
	endOldLeases bool
	// awaitConfirmation waits for the instances to act by the new record, or to be too old.
	awaitConfirmation bool
	// awaitExpiry waits for the last lease to run out.
	awaitExpiry bool
	// requireFreshView renews only by knowledge that is fresh.
	requireFreshView bool
	// requireMajority acts on knowledge of some age only while a majority of the others is heard.
	requireMajority bool
	// stopStaleGrants ends the orders on their way before a record is confirmed.
	stopStaleGrants bool
	// checkIncarnation says in each order which life of a server is meant.
	checkIncarnation bool
	// verifyConnection sends grants only on connections that are older than the proof that they stand.
	verifyConnection bool
	// requireRegistration acts only while the register is known to hold the instance.
	requireRegistration bool
}

var allGuards = guards{
	conditionalAppend: true, endOldLeases: true, awaitConfirmation: true, awaitExpiry: true, requireFreshView: true, stopStaleGrants: true, requireRegistration: true, checkIncarnation: true, verifyConnection: true, requireMajority: true,
}
