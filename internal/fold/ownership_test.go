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

// Two instances see the leader gone and claim the term that follows it. Both appends
// succeed. Every reader must take the first for the leader.
func TestFirstClaimWins(t *testing.T) {
	is := is.New(t)
	var j journal
	j.addAll(claimOf(0, "one"), claimOf(0, "two"), claimOf(0, "one"), claimOf(1, "two"), claimOf(7, "one"))
	s := New(crew())
	v := j.fold(s)
	is.Equal(v[0], Accepted{})
	is.Equal(refusal(t, v[1], CauseLost).Winner, Winner{Term: 1, Instance: "one", Offset: 0})
	is.Equal(v[2], Duplicate{})
	is.Equal(v[3], Accepted{})
	refusal(t, v[4], CauseOrder)
	is.Equal(s.Terms["klet"], Term{Log: 2, Instance: "two", Incarnation: 1, Offset: 3})
}

// The log lost everything and starts anew while servers remember term 40. A claim at term 1
// would be fenced for good, so it names the fence as its floor.
func TestFloorContinuesTheTermsOfALostLog(t *testing.T) {
	is := is.New(t)
	var j journal
	c := claimOf(0, "one")
	c.Floor = 40
	j.addAll(c)
	c.Follows, c.Floor = 41, 1<<40
	j.addAll(c)
	s := New(crew())
	v := j.fold(s)
	is.Equal(s.Terms["klet"].Log, uint64(41))
	refusal(t, v[1], CauseMalformed)
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
	var j journal
	j.addAll(
		made(assignmentOf("a", 1, 5, low)),
		made(assignmentOf("a", 1, 4, high)),
		made(assignmentOf("a", 1, 5, low)),
		made(assignmentOf("a", 1, 5, high)),
		made(assignmentOf("a", 1, 4, high), assignmentOf("b", 1, 1, high)),
		made(assignmentOf("a", 2, 1, high)),
	)
	s := New(crew())
	v := j.fold(s)
	is.Equal(v[0], Accepted{})
	refusal(t, v[1], CauseSuperseded)
	is.Equal(v[2], Duplicate{})
	refusal(t, v[3], CauseSuperseded)
	is.Equal(v[4], Accepted{})
	is.Equal(v[5], Accepted{})
	is.Equal(s.Assignments["klet"]["a"].Offset, uint64(5))
	is.Equal(s.Assignments["klet"]["b"].Offset, uint64(4))
}

func TestSnapshotDoesNotChange(t *testing.T) {
	is := is.New(t)
	made := func(server string, sequence uint64) record.Record {
		list := []record.Assignment{assignmentOf(server, 1, sequence, keys.Full)}
		return record.AssignmentMade{Domain: "klet", Service: "pregled", Assignments: list}
	}
	var j journal
	j.addAll(made("a", 1))
	s := New(crew())
	j.fold(s)
	view := s.Snapshot()
	j.addAll(made("a", 2), made("b", 1), claimOf(0, "one"))
	j.fold(s)
	is.Equal(view.Assignments["klet"]["a"].Offset, uint64(0))
	is.Equal(len(view.Assignments["klet"]), 1)
	is.Equal(len(view.Terms), 0)
	is.Equal(s.Assignments["klet"]["a"].Offset, uint64(1))
	is.Equal(len(s.Assignments["klet"]), 2)
}

// Servers come and go all day. What the log says about one that is gone must not stay for
// ever, but a new leader still needs it for the version that removed the server.
func TestAssignmentsOfRemovedServersGo(t *testing.T) {
	is := is.New(t)
	without := func(version uint64) record.Record {
		b := sample(version, "a")
		b.Services[0].Servers[0].Name = "pregled-2"
		return record.BundlePublished{Signed: publish(b, "ana")}
	}
	var j journal
	j.addAll(release(sample(1, "a"), 0)...)
	j.addAll(record.AssignmentMade{
		Domain: "klet", Service: "pregled",
		Assignments: []record.Assignment{assignmentOf("pregled-1", 1, 1, keys.Full)},
	})
	s := New(crew())
	j.fold(s)
	for version := uint64(2); version <= 3; version++ {
		is.Equal(len(s.Assignments["klet"]), 1)
		r := without(version).(record.BundlePublished)
		j.addAll(r, record.BundleApproved{Approval: approve(r.Signed, "cene")},
			record.BundleRolled{Roll: roll(r.Signed, version-1, "dora")})
		j.fold(s)
	}
	is.Equal(s.version(), uint64(3))
	is.Equal(len(s.Assignments["klet"]), 0)
}
