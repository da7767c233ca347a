package fold

import (
	"fmt"
	"testing"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// filled returns a state with servers over ten domains, each with an assignment of one range,
// and the bundle that names them in force.
func filled(b *testing.B, servers int) (*State, *bundle.Bundle) {
	b.Helper()
	v := sample(1, "a")
	v.Domains, v.Services[0].Servers = nil, nil
	for i := range 10 {
		v.Domains = append(v.Domains, bundle.Domain{Name: fmt.Sprintf("domain-%d", i)})
	}
	for i := range servers {
		v.Services[0].Servers = append(v.Services[0].Servers, bundle.Server{
			Name: fmt.Sprintf("server-%d", i), Domain: fmt.Sprintf("domain-%d", i%10),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), ChecksGrants: true, Slots: 2, Connections: 110,
		})
	}
	var j journal
	j.addAll(release(v, 0)...)
	ranges := keys.Split(keys.Full, servers)
	for i := range servers {
		j.addAll(moved(i, 1, ranges[i]))
	}
	s := New(crew())
	for _, verdict := range j.fold(s) {
		if verdict != (Accepted{}) {
			b.Fatal(verdict)
		}
	}
	return s, v
}

func moved(server int, sequence uint64, r keys.Range) record.AssignmentMade {
	return record.AssignmentMade{Domain: fmt.Sprintf("domain-%d", server%10), Service: "pregled", Assignments: []record.Assignment{{
		Server: fmt.Sprintf("server-%d", server),
		Epoch:  grant.Epoch{Term: grant.Term{Log: 1}, Sequence: sequence},
		Ranges: []keys.Range{r},
	}}}
}

func eachSize(b *testing.B, run func(b *testing.B, s *State, v *bundle.Bundle)) {
	for _, n := range []int{50, 1000, 19000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, v := filled(b, n)
			b.ReportAllocs()
			run(b, s, v)
		})
	}
}

// BenchmarkAssignment is the cost of one assignment, with a snapshot after each.
func BenchmarkAssignment(b *testing.B) {
	eachSize(b, func(b *testing.B, s *State, _ *bundle.Bundle) {
		sequence := uint64(1)
		size := 0
		for b.Loop() {
			sequence++
			data := must(record.Encode(moved(7, sequence, keys.Full)))
			size = len(data)
			s.Apply(record.Entry{Offset: s.Next, ID: "x", Data: data})
			s.Snapshot()
		}
		b.ReportMetric(float64(size), "bytes/record")
	})
}

// BenchmarkRelease is the cost of the three records of a change of one server, as a delta.
func BenchmarkRelease(b *testing.B) {
	eachSize(b, func(b *testing.B, s *State, v *bundle.Bundle) {
		var records []record.Entry
		next := *v
		next.Services = append([]bundle.Service{}, v.Services...)
		next.Services[0].Servers = append([]bundle.Server{}, v.Services[0].Servers...)
		next.Services[0].Servers[len(v.Services[0].Servers)/2].Leaving = true
		next.Version, next.Follows = 2, 1
		base, hash := s.BundleByHash(s.InForceSigned.Statement.Hash)
		published := deltaOf(base, &next, hash)
		size := 0
		for i, r := range []record.Record{
			published,
			record.BundleApproved{Approval: approve(published.Signed, "cene")},
			record.BundleRolled{Roll: roll(published.Signed, 1, "dora")},
		} {
			e := record.Entry{Offset: s.Next + uint64(i), ID: fmt.Sprint(i), Data: must(record.Encode(r))}
			size += len(e.Data)
			records = append(records, e)
		}
		for b.Loop() {
			c := s.copyDeep()
			for _, e := range records {
				if v := c.Apply(e); v != (Accepted{}) {
					b.Fatal(v)
				}
			}
		}
		b.ReportMetric(float64(size), "bytes/change")
	})
}

// BenchmarkCheckpoint is the cost of making a checkpoint, BenchmarkRestore that of starting
// from one.
func BenchmarkCheckpoint(b *testing.B) {
	eachSize(b, func(b *testing.B, s *State, _ *bundle.Bundle) {
		size := 0
		for b.Loop() {
			size = len(must(s.Encode()))
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

func BenchmarkRestore(b *testing.B) {
	eachSize(b, func(b *testing.B, s *State, _ *bundle.Bundle) {
		data := must(s.Encode())
		for b.Loop() {
			must(Restore(data, crew()))
		}
	})
}

// BenchmarkMark is the cost of keeping the state for comparison.
func BenchmarkMark(b *testing.B) {
	eachSize(b, func(b *testing.B, s *State, _ *bundle.Bundle) {
		for b.Loop() {
			s.mark()
		}
	})
}
