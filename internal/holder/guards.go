package holder

// guards are the rules that keep a key with one owner. All are in force always; tests switch
// one off at a time, to show that it is needed.
type guards struct {
	// condition writes owners only behind the record that they were decided from.
	condition bool
	// ending waits for the right of the old owner to end before the new one gets the keys.
	ending bool
	// confirming waits for the instances to act by the new record, or to be too old.
	confirming bool
	// lapsing waits for the last lease to run out.
	lapsing bool
	// knowing renews only by knowledge that is fresh.
	knowing bool
	// contact acts on knowledge of some age only while a majority of the others is heard.
	contact bool
	// stopping ends the orders on their way before a record is confirmed.
	stopping bool
	// naming says in each order which life of a server is meant.
	naming bool
	// proving sends grants only on connections that are older than the proof that they stand.
	proving bool
	// registering acts only while the register is known to hold the instance.
	registering bool
}

var allGuards = guards{
	condition: true, ending: true, confirming: true, lapsing: true, knowing: true, stopping: true, registering: true, naming: true, proving: true, contact: true,
}
