package node

import (
	"fmt"
	"testing"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/rules"
)

// BenchmarkDirectoryParts takes in a directory of 10,000 servers in parts of 128 entries.
func BenchmarkDirectoryParts(b *testing.B) {
	for b.Loop() {
		c := newTestState()
		n := &Node{cluster: c}
		n.admissions = newAdmissions(n)
		t := newTopicCopy()
		for part := range 78 {
			var u follow.Update
			for i := range 128 {
				u.Records = append(u.Records, follow.Record{Key: fmt.Sprintf("s%d", part*128+i), Value: []byte("ready"), Offset: int64(part*128 + i)})
			}
			u.End = int64(part*128 + 128)
			t.apply(u)
			c.applyServers(u, 0, decodeServer)
			n.admissions.updateServers(c.takeUnseen())
		}
		_ = rules.Server{}
	}
}
