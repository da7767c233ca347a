package entry

import (
	"context"

	"example.org/mustardring/internal/homes"
)

// applyBundle makes the bundle that has just been installed take effect: it updates the metric and
// the lifted blocks, and notifies the homes core.
func (e *Entry) applyBundle(ctx context.Context) {
	b := e.state.bundle()
	e.meter.BundleVersion.Set(int64(b.Version))
	e.deps.Logger.Info("bundle-in-force", "version", b.Version)
	if err := e.front.SetLiftedBlocks(b.Lifted); err != nil {
		e.deps.Logger.Warn("lifted-block-ignored", "error", err)
	}
	e.notifyHomesCore(ctx, homes.BundleInForce{Bundle: b})
}

// rank returns the number of live instances before this one in the order of their names. The
// instance of rank zero is the first to write checkpoints and to restore the bundle.
func (e *Entry) rank() int {
	view, _ := e.state.snapshot()
	for i, m := range view.Members {
		if m.Name == e.deps.Settings.Name {
			return i
		}
	}
	return 0
}
