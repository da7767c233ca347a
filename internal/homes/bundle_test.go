package homes

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/pkg/bundle"
)

// A new bundle removes a server and changes no home. The leader must get this bundle too; if
// it gets bundles only when homes change, the removed server keeps getting requests.
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
