package node

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
)

// Guards against news of one server that cost an instance as much as the whole directory: with 10,000 servers, the
// copies that were made for each took all that a small instance has.
func TestNewsCostTheChange(t *testing.T) {
	is := is.New(t)
	const news = 200
	cost := map[int]uint64{}
	for _, size := range []int{100, 1000, 10000} {
		c := newTestState()
		n := &Node{cluster: c}
		n.admissions = newAdmissions(n)
		topic := newTopicCopy()
		apply := func(from, to int) {
			u := follow.Update{Batch: follow.Batch{End: logpos.Pos(to)}}
			for i := from; i < to; i++ {
				u.Records = append(u.Records, follow.Record{Key: fmt.Sprintf("s%d", i%size), Value: []byte("ready"), Offset: logpos.Pos(i)})
			}
			topic.apply(u)
			c.applyServers(u, 0, decodeServer)
			n.admissions.updateServers(c.takeUnseen())
		}
		apply(0, size)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range news {
			apply(size+i, size+i+1)
		}
		runtime.ReadMemStats(&after)
		cost[size] = (after.TotalAlloc - before.TotalAlloc) / news
	}
	t.Log("bytes allocated for the news of one server, by the size of the directory:", cost)
	is.True(cost[10000] < 3*cost[100])
	is.True(cost[10000] < 16<<10)
}
