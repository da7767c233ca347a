package homes

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/pkg/bundle"
)

// Operators roll a bundle in which a server leaves, and no home changes. The server went on
// getting new work: the leader was told of a bundle only when the homes of its domain changed.
func TestLeaderLearnsOfEachBundle(t *testing.T) {
	is := is.New(t)
	c := New(DefaultConfig("badulla-hall"))
	one := &bundle.Bundle{Version: 1, Services: []bundle.Service{{Name: worldService, Divided: true}}}
	c.Handle(1, BundleInForce{Bundle: one})
	is.Equal(len(c.Handle(2, LogRead{State: fold.New(nil)})), 1)
	is.Equal(len(c.Handle(3, BundleInForce{Bundle: one})), 0)
	two := *one
	two.Version = 2
	effects := c.Handle(4, BundleInForce{Bundle: &two})
	is.Equal(len(effects), 1)
	is.Equal(effects[0].(Allow).Bundle.Version, uint64(2))
}
