package naive

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// fixed returns keys and servers from a fixed seed.
func fixed(n int) ([]Key, []Server) {
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

func TestOwnersFollowSlotsAndLoss(t *testing.T) {
	tests := map[string]struct {
		method Method
		// most is the largest load over the mean of slots; moved the largest share of keys
		// that a lost server moves, over the share that it held.
		most, moved float64
	}{
		"modulo":     {method: Modulo{}, most: 1.10, moved: 20},
		"rendezvous": {method: Rendezvous{}, most: 1.10, moved: 1},
		"bounded":    {method: BoundedRendezvous{Factor: 1.02}, most: 1.0201, moved: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			keys, servers := fixed(10)
			owners := Owners(tt.method, keys, servers)
			held := make([]int, len(servers))
			for _, o := range owners {
				held[o]++
			}
			for i, s := range servers {
				is.True(float64(held[i]) <= tt.most*float64(len(keys)*s.Slots)/30)
			}
			changed := 0
			for k, o := range Owners(tt.method, keys, servers[:9]) {
				if o != owners[k] {
					changed++
				}
			}
			is.True(changed >= held[9])
			is.True(float64(changed) <= tt.moved*float64(held[9]))
		})
	}
}

func TestOwnersIgnoreOrder(t *testing.T) {
	is := is.New(t)
	keys, servers := fixed(4)
	turned := []Server{servers[2], servers[0], servers[3], servers[1]}
	for _, m := range []Method{Modulo{}, Rendezvous{}, BoundedRendezvous{Factor: 1.1}} {
		a, b := Owners(m, keys, servers), Owners(m, keys, turned)
		for k := range keys {
			is.Equal(servers[a[k]].Name, turned[b[k]].Name)
		}
	}
}
