package fold

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"example.org/mustardring/pkg/bundle"
)

// cluster simulates three instances and a log that may be lost and start again. Operators
// release new versions by the content of the log only.
type cluster struct {
	t         *rapid.T
	log       testLog
	instances []*testInstance
	releases  int
}

// testInstance is an instance that reads the log and exchanges bundles with peers.
type testInstance struct {
	state   *State
	tracker *BundleTracker
	// highest is the highest version that the instance has tracked.
	highest uint64
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t}
	for range 3 {
		c.instances = append(c.instances, &testInstance{state: New(testSigners()), tracker: NewBundleTracker(testSigners())})
	}
	return c
}

func (c *cluster) drawInstance() *testInstance {
	return rapid.SampledFrom(c.instances).Draw(c.t, "instance")
}

// read applies up to n records, starting with the last one that was applied before, so that a
// replaced log is detected even if it has grown past the reader.
func (c *cluster) read(in *testInstance, n int) {
	length := uint64(len(c.log.entries))
	last := max(in.state.Next, 1) - 1
	if in.state.Next > length {
		in.state = New(testSigners())
		last = 0
	}
	for i := last; i < length && n > 0; i++ {
		if _, replaced := in.state.Apply(c.log.entries[i]).(LogReplaced); replaced {
			in.state = New(testSigners())
			return
		}
		n--
	}
	in.tracker.AdoptFromLog(in.state)
	c.checkVersion(in)
}

// checkVersion checks that the version of an instance has not decreased.
func (c *cluster) checkVersion(in *testInstance) {
	version := in.tracker.Proof().Version()
	if version < in.highest {
		c.t.Fatalf("version %d after %d", version, in.highest)
	}
	in.highest = version
}

// release appends the release of a version that follows the newest one in the log.
func (c *cluster) release() {
	s := New(testSigners())
	c.log.applyTo(s)
	c.releases++
	c.log.addAll(release(testBundle(s.Head+1, fmt.Sprint(c.releases)), s.versionInForce())...)
}

// exchange passes the bundle of one instance to another, as an update if that applies and as a
// complete proof otherwise.
func (c *cluster) exchange() {
	from, to := c.drawInstance(), c.drawInstance()
	u, err := bundle.NewUpdate(to.tracker.Held(), from.tracker.Held())
	if err == nil && to.tracker.ApplyUpdate(u) == nil {
		c.checkVersion(to)
		return
	}
	err = to.tracker.AdoptProof(from.tracker.Proof())
	if err != nil && !errors.Is(err, ErrNotNewer) && !errors.Is(err, bundle.ErrFork) {
		c.t.Fatal(err)
	}
	c.checkVersion(to)
}

// restore lets an instance read the log to its end, and appends the bundle of the instance if
// the log has lost it.
func (c *cluster) restore(in *testInstance) {
	c.read(in, 1000)
	if in.state.Next != uint64(len(c.log.entries)) {
		return
	}
	if r, id, missing := in.tracker.MissingRecord(in.state); missing {
		c.log.add(id, r)
	}
}

func (c *cluster) replaceInstance() {
	i := rapid.IntRange(0, len(c.instances)-1).Draw(c.t, "replaced")
	c.instances[i] = &testInstance{state: New(testSigners()), tracker: NewBundleTracker(testSigners())}
}

// The log is lost and starts again, instances are replaced, peers exchange bundles, and
// operators release new versions by the content of the log. The version of an instance must
// never decrease, and after the last change all instances must track the same bundle.
func TestVersionsNeverDecreaseAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				c.release()
			case 2, 3, 4:
				c.read(c.drawInstance(), rapid.IntRange(1, 9).Draw(t, "records"))
			case 5, 6:
				c.exchange()
			case 7:
				c.restore(c.drawInstance())
			case 8:
				c.replaceInstance()
			case 9:
				c.log = testLog{}
			}
		}
		for range 2 {
			for _, in := range c.instances {
				c.restore(in)
			}
		}
		for _, in := range c.instances {
			c.read(in, 1000)
			c.read(in, 1000)
		}
		first := c.instances[0].tracker.Proof().Signed.Statement
		for _, in := range c.instances {
			got := in.tracker.Proof().Signed.Statement
			if !got.SameBundle(first) {
				t.Fatalf("instances track version %d (%.4x) and version %d (%.4x)", first.Version, first.Hash, got.Version, got.Hash)
			}
		}
	})
}
