package entry

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
)

// Guards against a domain that loses its majority with a single server: if two servers that check
// grants were the only voters, the loss of one would make every key of the domain unavailable. Entry
// instances therefore also vote where fewer than three servers check grants.
func TestVoters(t *testing.T) {
	tests := map[string]struct {
		checking int
		want     int
	}{
		"no server checks":    {checking: 0, want: 3},
		"one server checks":   {checking: 1, want: 4},
		"two servers check":   {checking: 2, want: 5},
		"three servers check": {checking: 3, want: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &bundle.Bundle{Version: 1, Services: []bundle.Service{{Name: "pregled", Divided: true}}}
			for i := range 4 {
				b.Services[0].Servers = append(b.Services[0].Servers, bundle.Server{
					Name: string(rune('a' + i)), Domain: "klet", ChecksGrants: i < tt.checking, Slots: 2,
				})
			}
			for _, name := range []string{"klet-1", "klet-2", "klet-3", "podstresje-1"} {
				domain := "klet"
				if name == "podstresje-1" {
					domain = "podstresje"
				}
				b.Instances = append(b.Instances, bundle.Instance{Name: name, Domain: domain})
			}
			voters := 0
			for _, s := range leaderConfig(b, "klet", nil).Services {
				for _, v := range s.Servers {
					if v.Votes {
						voters++
					}
				}
			}
			is.Equal(voters, tt.want)
		})
	}
}
