package node

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
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

// Guards against instances that start together and each open as many connections to a server as all together may.
func TestStartingInstancesShareConnections(t *testing.T) {
	const instances, limit = 75, 510
	for name, test := range map[string]struct {
		registered int
		most       int
	}{"register not known": {0, minConnections}, "register known": {instances, limit / instances}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := &Node{cluster: newTestState(), roster: roster.New("i0", "d0")}
			n.cluster.config.Store(&rules.Config{Services: map[string]rules.Service{"books": {Name: "books", MaxConns: limit}}})
			for i := range test.registered {
				n.roster.Put(fmt.Sprintf("i%d", i), roster.Entry{Incarnation: 1}, time.Now())
			}
			is.True(n.connections("books") >= 1)
			is.True(n.connections("books") <= test.most)
			is.True(n.connections("books")*instances <= limit)
		})
	}
}
