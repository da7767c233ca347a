package leader

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/place"
)

// recordingPlacer records the last view that another placer was given.
type recordingPlacer struct {
	place.Placer
	lastView *place.View
}

func (p recordingPlacer) Place(v place.View) []place.Target {
	*p.lastView = v
	return p.Placer.Place(v)
}

// A restarted server that gets its whole share at once sheds most requests: its caches are
// cold and each request takes ten times as long. So the view of the placer must say until
// when the server is cold.
func TestRestartedServerIsCold(t *testing.T) {
	is := is.New(t)
	var seen place.View
	l := stableLayout(1, 3, 0)
	l.placer = func(*world) place.Placer {
		return recordingPlacer{Placer: &slicePlacer{slicesPerHome: 8}, lastView: &seen}
	}
	w := newWorld(1, l, "")
	w.startAll()
	w.advance(6000 * ms)
	core := w.leading().core
	core.services[0].ColdStartMillis = 30_000
	for _, s := range seen.Servers {
		is.Equal(s.WarmAt, Time(0))
	}
	w.restart(w.servers[1])
	w.advance(9000 * ms)
	cold := 0
	for _, s := range seen.Servers {
		if s.WarmAt > seen.Now {
			cold++
			is.Equal(s.Name, w.servers[1].name)
		}
	}
	is.Equal(cold, 1)
}
