package fold

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"example.org/mustardring/pkg/bundle"
)

// cluster is a few instances with a log that may start anew, and operators who work by what the
// log says, however little that is.
type cluster struct {
	t         *rapid.T
	log       testLog
	instances []*testInstance
	releases  int
}

// testInstance is one instance.
type testInstance struct {
	state   *State
	tracker *BundleTracker
	// highest is the highest version that the instance served.
	highest uint64
}

func newCluster(t *rapid.T) *cluster {
	f := &cluster{t: t}
	for range 3 {
		f.instances = append(f.instances, &testInstance{state: New(testSigners()), tracker: NewBundleTracker(testSigners())})
	}
	return f
}

func (f *cluster) drawInstance() *testInstance {
	return rapid.SampledFrom(f.instances).Draw(f.t, "instance")
}

// read takes up to n records, from the last one known on, so that a log which started anew is
// noticed even when it has grown past the reader.
func (f *cluster) read(r *testInstance, n int) {
	length := uint64(len(f.log.entries))
	last := max(r.state.Next, 1) - 1
	if r.state.Next > length {
		r.state = New(testSigners())
		last = 0
	}
	for i := last; i < length && n > 0; i++ {
		if _, changed := r.state.Apply(f.log.entries[i]).(LogReplaced); changed {
			r.state = New(testSigners())
			return
		}
		n--
	}
	r.tracker.AdoptFromLog(r.state)
	f.check(r)
}

func (f *cluster) check(r *testInstance) {
	version := r.tracker.Proof().Version()
	if version < r.highest {
		f.t.Fatalf("version %d after %d", version, r.highest)
	}
	r.highest = version
}

// release brings a version into force that follows what the log knows.
func (f *cluster) release() {
	s := New(testSigners())
	f.log.applyTo(s)
	f.releases++
	f.log.addAll(release(testBundle(s.Head+1, fmt.Sprint(f.releases)), s.versionInForce())...)
}

// exchange hands what one instance holds to another, as an update if that fits.
func (f *cluster) exchange() {
	from, to := f.drawInstance(), f.drawInstance()
	u, err := bundle.NewUpdate(to.tracker.Held(), from.tracker.Held())
	if err == nil && to.tracker.ApplyUpdate(u) == nil {
		f.check(to)
		return
	}
	err = to.tracker.AdoptProof(from.tracker.Proof())
	if err != nil && !errors.Is(err, ErrNotNewer) && !errors.Is(err, bundle.ErrFork) {
		f.t.Fatal(err)
	}
	f.check(to)
}

// restore appends the bundle of an instance that read the log to its end and misses it there.
func (f *cluster) restore(r *testInstance) {
	f.read(r, 1000)
	if r.state.Next != uint64(len(f.log.entries)) {
		return
	}
	if missing, id, found := r.tracker.MissingRecord(r.state); found {
		f.log.add(id, missing)
	}
}

func (f *cluster) replaceInstance() {
	i := rapid.IntRange(0, len(f.instances)-1).Draw(f.t, "replaced")
	f.instances[i] = &testInstance{state: New(testSigners()), tracker: NewBundleTracker(testSigners())}
}

// The log is lost and starts anew, instances are replaced, peers hand bundles on, and
// operators release meanwhile by what the log says. No instance may go back, and once things
// are quiet all must serve the same bundle.
func TestInstancesNeverGoBackAndAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCluster(t)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				f.release()
			case 2, 3, 4:
				f.read(f.drawInstance(), rapid.IntRange(1, 9).Draw(t, "records"))
			case 5, 6:
				f.exchange()
			case 7:
				f.restore(f.drawInstance())
			case 8:
				f.replaceInstance()
			case 9:
				f.log = testLog{}
			}
		}
		for range 2 {
			for _, r := range f.instances {
				f.restore(r)
			}
		}
		for _, r := range f.instances {
			f.read(r, 1000)
			f.read(r, 1000)
		}
		first := f.instances[0].tracker.Proof().Signed.Statement
		for _, r := range f.instances {
			got := r.tracker.Proof().Signed.Statement
			if !got.SameBundle(first) {
				t.Fatalf("version %d (%.4x) and version %d (%.4x)", first.Version, first.Hash, got.Version, got.Hash)
			}
		}
	})
}
