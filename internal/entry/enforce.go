package entry

import (
	"context"

	"example.org/mustardring/pkg/bundle"
)

// enforce puts a bundle in force at this instance if it is newer than the one in force.
func (e *Entry) enforce(ctx context.Context, b *bundle.Bundle, proof bundle.Proof) {
	if !e.state.setBundle(b, proof) {
		return
	}
	e.meter.BundleVersion.Set(int64(b.Version))
	e.deps.Logger.Info("bundle-in-force", "version", b.Version)
	if err := e.front.Lift(b.Lifted); err != nil {
		e.deps.Logger.Warn("lifted-block-ignored", "error", err)
	}
	e.tell(ctx, inForce{bundle: b})
}

// learn takes a bundle that another instance handed over, after checking its signatures and
// that it continues the history of the one in force.
func (e *Entry) learn(ctx context.Context, proof bundle.Proof) error {
	b, err := proof.Verify(e.deps.Settings.Roots)
	if err != nil {
		return err
	}
	_, held, _ := e.state.snapshot()
	if proof.Version() <= held.Version() {
		return nil
	}
	if err := proof.Extends(held, e.deps.Settings.Roots); err != nil {
		return err
	}
	e.enforce(ctx, b, proof)
	return nil
}

// rank is the number of live instances before this one in the order of their names.
func (e *Entry) rank() int {
	view, _, _ := e.state.snapshot()
	for i, m := range view.Members {
		if m.Name == e.deps.Settings.Name {
			return i
		}
	}
	return 0
}
