package entry

import (
	"context"

	"example.org/mustardring/internal/homes"
)

// enforced makes the bundle that has just come in force at this instance take effect.
func (e *Entry) enforced(ctx context.Context) {
	b := e.state.bundle()
	e.meter.BundleVersion.Set(int64(b.Version))
	e.deps.Logger.Info("bundle-in-force", "version", b.Version)
	if err := e.front.SetLiftedBlocks(b.Lifted); err != nil {
		e.deps.Logger.Warn("lifted-block-ignored", "error", err)
	}
	e.tellHomes(ctx, homes.BundleInForce{Bundle: b})
}

// rank is the number of live instances before this one in the order of their names.
func (e *Entry) rank() int {
	view, _ := e.state.snapshot()
	for i, m := range view.Members {
		if m.Name == e.deps.Settings.Name {
			return i
		}
	}
	return 0
}
