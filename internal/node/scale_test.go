package node

import (
	"fmt"
	"testing"
	"time"

	"example.org/mustardring/internal/follow"
)

// BenchmarkDirectoryNews applies the news of one server to directories of several sizes.
func BenchmarkDirectoryNews(b *testing.B) {
	for _, size := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := newTestState()
			var all follow.Update
			for i := range size {
				all.Records = append(all.Records, follow.Record{Key: fmt.Sprintf("s%d", i), Value: []byte("ready"), Offset: int64(i)})
			}
			c.applyServers(all, 0, decodeServer)
			b.ResetTimer()
			for i := range b.N {
				c.applyServers(follow.Update{Batch: follow.Batch{Records: []follow.Record{{Key: fmt.Sprintf("s%d", i%size), Value: []byte("ready")}}}}, time.Duration(0), decodeServer)
			}
		})
	}
}
