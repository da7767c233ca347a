package fold

import (
	"fmt"
	"testing"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// benchState returns a state with servers in ten domains, each with an assignment of one range,
// and the bundle in force.
func benchState(b *testing.B, servers int) (*State, *bundle.Bundle) {
	b.Helper()
	v := testBundle(1, "a")
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
	var log testLog
	log.addAll(release(v, 0)...)
	ranges := keys.Split(keys.Full, servers)
	for i := range servers {
		log.addAll(assignmentTo(i, 1, ranges[i]))
	}
	s := New(testSigners())
	for _, result := range log.applyTo(s) {
		if result != (Accepted{}) {
			b.Fatal(result)
		}
	}
	return s, v
}

// assignmentTo returns the record that assigns a range to the server with a number.
func assignmentTo(server int, sequence uint64, r keys.Range) record.AssignmentMade {
	return record.AssignmentMade{Domain: fmt.Sprintf("domain-%d", server%10), Service: "pregled", Assignments: []record.Assignment{{
		Server: fmt.Sprintf("server-%d", server),
		Epoch:  grant.Epoch{Term: grant.Term{Log: 1}, Sequence: sequence},
		Ranges: []keys.Range{r},
	}}}
}

// runSizes runs a benchmark with states of different numbers of servers.
func runSizes(b *testing.B, run func(b *testing.B, s *State, v *bundle.Bundle)) {
	for _, n := range []int{50, 1000, 19000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, v := benchState(b, n)
			b.ReportAllocs()
			run(b, s, v)
		})
	}
}

// BenchmarkAssignment measures applying one assignment and taking a snapshot.
func BenchmarkAssignment(b *testing.B) {
	runSizes(b, func(b *testing.B, s *State, _ *bundle.Bundle) {
		sequence := uint64(1)
		size := 0
		for b.Loop() {
			sequence++
			data := must(record.Encode(assignmentTo(7, sequence, keys.Full)))
			size = len(data)
			s.Apply(record.Entry{Offset: s.Next, ID: "x", Data: data})
			s.Snapshot()
		}
		b.ReportMetric(float64(size), "bytes/record")
	})
}

// BenchmarkRelease measures applying the three records of a release that changes one server
// and is published as a delta.
func BenchmarkRelease(b *testing.B) {
	runSizes(b, func(b *testing.B, s *State, v *bundle.Bundle) {
		var records []record.Entry
		next := *v
		next.Services = append([]bundle.Service{}, v.Services...)
		next.Services[0].Servers = append([]bundle.Server{}, v.Services[0].Servers...)
		next.Services[0].Servers[len(v.Services[0].Servers)/2].Leaving = true
		next.Version, next.Follows = 2, 1
		base, hash := s.BundleByHash(s.InForceSigned.Statement.Hash)
		published := publishedDelta(base, &next, hash)
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
			c := s.clone()
			for _, e := range records {
				if result := c.Apply(e); result != (Accepted{}) {
					b.Fatal(result)
				}
			}
		}
		b.ReportMetric(float64(size), "bytes/change")
	})
}

// BenchmarkCheckpoint measures encoding a checkpoint.
func BenchmarkCheckpoint(b *testing.B) {
	runSizes(b, func(b *testing.B, s *State, _ *bundle.Bundle) {
		size := 0
		for b.Loop() {
			size = len(must(s.Encode()))
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

// BenchmarkRestore measures restoring a state from a checkpoint.
func BenchmarkRestore(b *testing.B) {
	runSizes(b, func(b *testing.B, s *State, _ *bundle.Bundle) {
		data := must(s.Encode())
		for b.Loop() {
			must(Restore(data, testSigners()))
		}
	})
}

// BenchmarkMark measures keeping a copy of the state at a mark.
func BenchmarkMark(b *testing.B) {
	runSizes(b, func(b *testing.B, s *State, _ *bundle.Bundle) {
		for b.Loop() {
			s.applyMark()
		}
	})
}
