package member_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"example.org/mustardring/internal/member"
)

// BenchmarkHeartbeat measures what one heartbeat costs the sender and the receiver, by the
// size of the domain, and states the bytes of the heartbeat and the heartbeats that an
// instance sends in one period.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{2, 4, 8, 16, 32, 64, 256, 1024} {
		b.Run(fmt.Sprint("peers=", size), func(b *testing.B) {
			cores, sent := group(size)
			from, to := cores[0], cores[1]
			now := 10 * second
			data, err := json.Marshal(from.NextHeartbeat(now))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				now += millisecond
				to.Handle(now, member.HeartbeatReceived{Heartbeat: from.NextHeartbeat(now)})
			}
			b.ReportMetric(float64(len(data)), "bytes/beat")
			b.ReportMetric(float64(sent), "beats/period")
		})
	}
}

// hearAll makes a core know everybody, as in a group that has run for a while: the contacts
// directly, the others by hearsay.
func hearAll(c *member.Core, all []member.Instance) {
	var counts []member.HeartbeatCount
	for _, other := range all {
		c.Handle(second, member.Discovered{Instance: other})
		counts = append(counts, member.HeartbeatCount{Process: other.Process, Count: 1})
	}
	direct := []member.Instance{all[0]}
	for _, effect := range c.Handle(second, member.Ticked{}) {
		if send, ok := effect.(member.SendHeartbeat); ok {
			direct = append(direct, send.To)
		}
	}
	for _, other := range direct {
		c.Handle(second, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Instance: other, Count: 1, Gossip: counts}, IsReply: true})
	}
}

// group returns cores that have all heard of each other, and how many heartbeats the first
// sends in one period.
func group(size int) (cores []*member.Core, sent int) {
	var all []member.Instance
	for n := range size {
		all = append(all, member.Instance{
			Process: member.Process{Name: fmt.Sprintf("instance-%04d", n), Incarnation: uint64(n+1) << 40},
			Domain:  "dvorana-a", Address: fmt.Sprintf("10.0.%d.%d:7100", n/256, n%256),
		})
	}
	for _, self := range all[:2] {
		c := member.New(member.Config{
			Self: self, HeartbeatInterval: 100 * time.Millisecond, CrossDomainInterval: time.Second,
			HeartbeatTimeout: time.Hour, CrossDomainTimeout: time.Hour, MaxFullMesh: 16, ContactsPerDomain: 3, MaxGossip: 64,
		})
		hearAll(c, all)
		cores = append(cores, c)
	}
	for _, effect := range cores[0].Handle(2*second, member.Ticked{}) {
		if _, ok := effect.(member.SendHeartbeat); ok {
			sent++
		}
	}
	return cores, sent
}
