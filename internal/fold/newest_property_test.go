package fold

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"example.org/mustardring/pkg/bundle"
)

// fleet is a few instances with a log that may start anew, and operators who work by what the
// log says, however little that is.
type fleet struct {
	t         *rapid.T
	log       journal
	instances []*reading
	releases  int
}

// reading is one instance.
type reading struct {
	state  *State
	newest *BundleTracker
	// seen is the highest version that the instance served.
	seen uint64
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t}
	for range 3 {
		f.instances = append(f.instances, &reading{state: New(crew()), newest: NewBundleTracker(crew())})
	}
	return f
}

func (f *fleet) pick() *reading {
	return rapid.SampledFrom(f.instances).Draw(f.t, "instance")
}

// read takes up to n records, from the last one known on, so that a log which started anew is
// noticed even when it has grown past the reader.
func (f *fleet) read(r *reading, n int) {
	length := uint64(len(f.log.entries))
	last := max(r.state.Next, 1) - 1
	if r.state.Next > length {
		r.state = New(crew())
		last = 0
	}
	for i := last; i < length && n > 0; i++ {
		if _, changed := r.state.Apply(f.log.entries[i]).(LogReplaced); changed {
			r.state = New(crew())
			return
		}
		n--
	}
	r.newest.AdoptFromLog(r.state)
	f.check(r)
}

func (f *fleet) check(r *reading) {
	version := r.newest.Proof().Version()
	if version < r.seen {
		f.t.Fatalf("version %d after %d", version, r.seen)
	}
	r.seen = version
}

// release brings a version into force that follows what the log knows.
func (f *fleet) release() {
	s := New(crew())
	f.log.fold(s)
	f.releases++
	f.log.addAll(release(sample(s.Head+1, fmt.Sprint(f.releases)), s.version())...)
}

// learn hands what one instance holds to another, as an update if that fits.
func (f *fleet) learn() {
	from, to := f.pick(), f.pick()
	u, err := bundle.NewUpdate(to.newest.Held(), from.newest.Held())
	if err == nil && to.newest.ApplyUpdate(u) == nil {
		f.check(to)
		return
	}
	err = to.newest.AdoptProof(from.newest.Proof())
	if err != nil && !errors.Is(err, ErrNotNewer) && !errors.Is(err, bundle.ErrFork) {
		f.t.Fatal(err)
	}
	f.check(to)
}

// restore appends the bundle of an instance that read the log to its end and misses it there.
func (f *fleet) restore(r *reading) {
	f.read(r, 1000)
	if r.state.Next != uint64(len(f.log.entries)) {
		return
	}
	if missing, id, found := r.newest.MissingRecord(r.state); found {
		f.log.add(id, missing)
	}
}

func (f *fleet) replace() {
	i := rapid.IntRange(0, len(f.instances)-1).Draw(f.t, "replaced")
	f.instances[i] = &reading{state: New(crew()), newest: NewBundleTracker(crew())}
}

// The log is lost and starts anew, instances are replaced, peers hand bundles on, and
// operators release meanwhile by what the log says. No instance may go back, and once things
// are quiet all must serve the same bundle.
func TestInstancesNeverGoBackAndAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				f.release()
			case 2, 3, 4:
				f.read(f.pick(), rapid.IntRange(1, 9).Draw(t, "records"))
			case 5, 6:
				f.learn()
			case 7:
				f.restore(f.pick())
			case 8:
				f.replace()
			case 9:
				f.log = journal{}
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
		first := f.instances[0].newest.Proof().Signed.Statement
		for _, r := range f.instances {
			got := r.newest.Proof().Signed.Statement
			if !got.SameBundle(first) {
				t.Fatalf("version %d (%.4x) and version %d (%.4x)", first.Version, first.Hash, got.Version, got.Hash)
			}
		}
	})
}
