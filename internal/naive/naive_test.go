package naive

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// keysAndServers returns random keys from a fixed seed, and n servers.
func keysAndServers(n int) ([]Key, []Server) {
	random := rand.New(rand.NewPCG(6, 1))
	keys := make([]Key, 20_000)
	for i := range keys {
		keys[i] = Key{Hash: random.Uint64(), Load: 1}
	}
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{Name: fmt.Sprintf("s%02d", i), Slots: 2 + 2*(i%2)}
	}
	return keys, servers
}

func TestOwnersFollowSlotsAndLostServers(t *testing.T) {
	tests := map[string]struct {
		method Method
		// maxOverMean is the maximum number of keys per slot over the mean. maxMoved is the
		// maximum number of keys that move when a server is lost, over the number of its keys.
		maxOverMean, maxMoved float64
	}{
		"modulo":     {method: Modulo{}, maxOverMean: 1.10, maxMoved: 20},
		"rendezvous": {method: Rendezvous{}, maxOverMean: 1.10, maxMoved: 1},
		"bounded":    {method: BoundedRendezvous{Factor: 1.02}, maxOverMean: 1.0201, maxMoved: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			keys, servers := keysAndServers(10)
			owners := Owners(tt.method, keys, servers)
			held := make([]int, len(servers))
			for _, o := range owners {
				held[o]++
			}
			for i, s := range servers {
				is.True(float64(held[i]) <= tt.maxOverMean*float64(len(keys)*s.Slots)/30)
			}
			changed := 0
			for k, o := range Owners(tt.method, keys, servers[:9]) {
				if o != owners[k] {
					changed++
				}
			}
			is.True(changed >= held[9])
			is.True(float64(changed) <= tt.maxMoved*float64(held[9]))
		})
	}
}

func TestOwnersIgnoreOrderOfServers(t *testing.T) {
	is := is.New(t)
	keys, servers := keysAndServers(4)
	reordered := []Server{servers[2], servers[0], servers[3], servers[1]}
	for _, m := range []Method{Modulo{}, Rendezvous{}, BoundedRendezvous{Factor: 1.1}} {
		a, b := Owners(m, keys, servers), Owners(m, keys, reordered)
		for k := range keys {
			is.Equal(servers[a[k]].Name, reordered[b[k]].Name)
		}
	}
}
