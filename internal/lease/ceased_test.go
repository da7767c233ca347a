package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
)

// Guards against grants of an instance whose end is recorded, for whose leases the others do not wait.
func TestNoGrantsAfterAnInstanceCeases(t *testing.T) {
	runInCluster(t, func(is *is.I, tc *testCluster) {
		time.Sleep(4 * time.Second)
		is.Equal(tc.servedKeys(), 256)
		for _, n := range tc.others("") {
			n.manager.Cease()
		}
		time.Sleep(leaseDuration*102/100 + maxTransitTime)
		is.Equal(tc.servedKeys(), 0)
	})
}

// Guards against a process that is cut off and that a starting instance does not know of, as the newest record of its name is
// the late end of an earlier process.
func TestLeaderRestoresASupersededRegistration(t *testing.T) {
	runInCluster(t, func(is *is.I, tc *testCluster) {
		time.Sleep(4 * time.Second)
		tc.cutDomain(20 * time.Second)
		tc.appendEntry(roster.Entry{Address: "i1", Domain: "d1", Incarnation: 12345, Ended: true})
		time.Sleep(3 * time.Second)
		all, err := tc.store.all(ownersTopic)
		is.NoErr(err)
		newest := roster.Entry{}
		for _, r := range all.Records {
			if r.Key == InstanceKey("i1") {
				newest, err = roster.Decode(r.Value)
				is.NoErr(err)
			}
		}
		is.True(newest.Acts())
	})
}

// Guards against an answer to an earlier process that is taken for the proof that a server has run since a query of this one.
func TestAnswerToAnEarlierProcessIsNoProof(t *testing.T) {
	is := is.New(t)
	serials := map[uint64]bool{}
	for incarnation := range uint64(2) {
		lm := New(Deps{Incarnation: incarnation * 1000, Clock: fakeClock{time.Now()}, QueryIncarnation: func(_ rules.Server, serial uint64) { serials[serial] = true }})
		lm.renewer(rules.Server{ID: "s0"}).queryIncarnation(time.Now())
		lm.renewer(rules.Server{ID: "s1"}).queryIncarnation(time.Now())
	}
	is.Equal(len(serials), 4)
}
