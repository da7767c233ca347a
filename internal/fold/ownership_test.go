package fold

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

func claimOf(follows uint64, instance string) record.TermClaimed {
	return record.TermClaimed{Domain: "klet", Follows: follows, Instance: instance, Incarnation: 1}
}

// Two instances detect that the leader has failed and claim the next term. Both appends
// succeed. Every reader must regard the first one as the leader.
func TestFirstClaimWins(t *testing.T) {
	is := is.New(t)
	var log testLog
	log.addAll(claimOf(0, "one"), claimOf(0, "two"), claimOf(0, "one"), claimOf(1, "two"), claimOf(7, "one"))
	s := New(testSigners())
	results := log.applyTo(s)
	is.Equal(results[0], Accepted{})
	is.Equal(requireRejected(t, results[1], CauseLostRace).Winner, Winner{Term: 1, Instance: "one", Offset: 0})
	is.Equal(results[2], Duplicate{})
	is.Equal(results[3], Accepted{})
	requireRejected(t, results[4], CauseOutOfOrder)
	is.Equal(s.Terms["klet"], Term{Log: 2, Instance: "two", Incarnation: 1, Offset: 3})
}

// The log was lost and starts again, while the servers are fenced at term 40. They would
// reject a leader of term 1 forever, so its claim has the fence as its floor.
func TestFloorContinuesTermsOfLostLog(t *testing.T) {
	is := is.New(t)
	var log testLog
	c := claimOf(0, "one")
	c.Floor = 40
	log.addAll(c)
	c.Follows, c.Floor = 41, 1<<40
	log.addAll(c)
	s := New(testSigners())
	results := log.applyTo(s)
	is.Equal(s.Terms["klet"].Log, uint64(41))
	requireRejected(t, results[1], CauseMalformed)
}

func assignmentOf(server string, log, sequence uint64, r keys.Range) record.Assignment {
	return record.Assignment{
		Server: server,
		Epoch:  grant.Epoch{Term: grant.Term{Log: log}, Sequence: sequence},
		Ranges: []keys.Range{r},
	}
}

func TestHigherEpochWins(t *testing.T) {
	is := is.New(t)
	low, high := keys.Range{First: 0, Last: 9}, keys.Range{First: 10, Last: 19}
	made := func(list ...record.Assignment) record.Record {
		return record.AssignmentMade{Domain: "klet", Service: "pregled", Assignments: list}
	}
	var log testLog
	log.addAll(
		made(assignmentOf("a", 1, 5, low)),
		made(assignmentOf("a", 1, 4, high)),
		made(assignmentOf("a", 1, 5, low)),
		made(assignmentOf("a", 1, 5, high)),
		made(assignmentOf("a", 1, 4, high), assignmentOf("b", 1, 1, high)),
		made(assignmentOf("a", 2, 1, high)),
	)
	s := New(testSigners())
	results := log.applyTo(s)
	is.Equal(results[0], Accepted{})
	requireRejected(t, results[1], CauseSuperseded)
	is.Equal(results[2], Duplicate{})
	requireRejected(t, results[3], CauseSuperseded)
	is.Equal(results[4], Accepted{})
	is.Equal(results[5], Accepted{})
	is.Equal(s.Assignments["klet"]["a"].Offset, uint64(5))
	is.Equal(s.Assignments["klet"]["b"].Offset, uint64(4))
}

func TestSnapshotIsImmutable(t *testing.T) {
	is := is.New(t)
	made := func(server string, sequence uint64) record.Record {
		list := []record.Assignment{assignmentOf(server, 1, sequence, keys.Full)}
		return record.AssignmentMade{Domain: "klet", Service: "pregled", Assignments: list}
	}
	var log testLog
	log.addAll(made("a", 1))
	s := New(testSigners())
	log.applyTo(s)
	view := s.Snapshot()
	log.addAll(made("a", 2), made("b", 1), claimOf(0, "one"))
	log.applyTo(s)
	is.Equal(view.Assignments["klet"]["a"].Offset, uint64(0))
	is.Equal(len(view.Assignments["klet"]), 1)
	is.Equal(len(view.Terms), 0)
	is.Equal(s.Assignments["klet"]["a"].Offset, uint64(1))
	is.Equal(len(s.Assignments["klet"]), 2)
}

// The assignments of a removed server must be dropped, or the state would grow with each
// server that ever existed. They must stay while the bundle that removed the server is in
// force, because a new leader still needs them.
func TestAssignmentsOfRemovedServersAreDropped(t *testing.T) {
	is := is.New(t)
	without := func(version uint64) record.Record {
		b := testBundle(version, "a")
		b.Services[0].Servers[0].Name = "pregled-2"
		return record.BundlePublished{Signed: publish(b, "ana")}
	}
	var log testLog
	log.addAll(release(testBundle(1, "a"), 0)...)
	log.addAll(record.AssignmentMade{
		Domain: "klet", Service: "pregled",
		Assignments: []record.Assignment{assignmentOf("pregled-1", 1, 1, keys.Full)},
	})
	s := New(testSigners())
	log.applyTo(s)
	for version := uint64(2); version <= 3; version++ {
		is.Equal(len(s.Assignments["klet"]), 1)
		r := without(version).(record.BundlePublished)
		log.addAll(r, record.BundleApproved{Approval: approve(r.Signed, "cene")},
			record.BundleRolled{Roll: roll(r.Signed, version-1, "dora")})
		log.applyTo(s)
	}
	is.Equal(s.versionInForce(), uint64(3))
	is.Equal(len(s.Assignments["klet"]), 0)
}
