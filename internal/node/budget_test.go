package node

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/event"
)

// Guards against instances that start together and each retry as much as all together may, while none knows the register.
func TestStartingInstancesShareTheRetrySlack(t *testing.T) {
	is := is.New(t)
	const instances, slack = 75, 190
	retries := 0
	for range instances {
		n, err := New(config.Serve{
			Name: "i0", Domain: "d0", IP: "127.0.0.1", PeerPorts: []int{0},
			Bounds: config.Bounds{RetryRatio: 0.2, RetryWindowSeconds: 10, RetrySlack: slack},
		}, Platform{ConfigTopic: "config", ServersTopic: "servers", OwnersTopic: "owners"}, event.New(io.Discard, log.FatalLevel))
		is.NoErr(err)
		for n.edge.RetryBudget.Spend("books") {
			retries++
		}
	}
	t.Logf("%d retries", retries)
	is.True(retries <= slack)
}
