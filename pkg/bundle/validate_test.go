package bundle_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

func TestValidate(t *testing.T) {
	service := func(b *bundle.Bundle) *bundle.Service { return &b.Services[0] }
	half := keys.Split(keys.Full, 2)
	tests := map[string]struct {
		change func(b *bundle.Bundle)
		want   string
	}{
		"valid":         {change: func(*bundle.Bundle) {}},
		"format":        {change: func(b *bundle.Bundle) { b.Format = 2 }, want: "/format is 2"},
		"version zero":  {change: func(b *bundle.Bundle) { b.Version = 0 }, want: "/version is 0"},
		"version skips": {change: func(b *bundle.Bundle) { b.Version = 7 }, want: "/version is 7"},
		"signer twice":  {change: func(b *bundle.Bundle) { b.Signers[1].Name = "ana" }, want: "/signers/1/name"},
		"key twice":     {change: func(b *bundle.Bundle) { b.Signers[1].PublicKey = b.Signers[0].PublicKey }, want: "/signers/1/public-key"},
		"short key":     {change: func(b *bundle.Bundle) { b.Signers[0].PublicKey = []byte{1} }, want: "/signers/0/public-key has 1 bytes"},
		"role":          {change: func(b *bundle.Bundle) { b.Signers[0].Roles = []bundle.Role{"rule"} }, want: "/signers/0/roles"},
		"nobody rolls": {change: func(b *bundle.Bundle) {
			b.Signers[2].Roles, b.Signers[3].Roles = b.Signers[2].Roles[:1], b.Signers[3].Roles[:1]
		}, want: "a signer who may roll"},
		"nobody publishes":  {change: func(b *bundle.Bundle) { b.Signers[0].Revoked, b.Signers[1].Revoked = true, true }, want: "no publisher"},
		"only one signer":   {change: keepOneSigner, want: "no publisher with another approver"},
		"domain twice":      {change: func(b *bundle.Bundle) { b.Domains[1].Name = "klet" }, want: "/domains/1/name"},
		"instance":          {change: func(b *bundle.Bundle) { b.Instances = []bundle.Instance{{Name: "x", Domain: "hlev"}} }, want: "/instances/0/domain"},
		"service twice":     {change: func(b *bundle.Bundle) { b.Services = append(b.Services, bundle.Service{Name: "pregled"}) }, want: "/services/1/name"},
		"isolation":         {change: func(b *bundle.Bundle) { service(b).Isolation = "flee" }, want: "/services/0/isolation"},
		"server twice":      {change: func(b *bundle.Bundle) { service(b).Servers[1].Name = "pregled-1" }, want: "/services/0/servers/1/name"},
		"server's domain":   {change: func(b *bundle.Bundle) { service(b).Servers[1].Domain = "hlev" }, want: "/services/0/servers/1/domain"},
		"slots":             {change: func(b *bundle.Bundle) { service(b).Servers[0].Slots = -1 }, want: "/services/0/servers/0/slots"},
		"home's domain":     {change: func(b *bundle.Bundle) { service(b).Homes[0].Domain = "hlev" }, want: "/services/0/homes/0/domain"},
		"home twice":        {change: func(b *bundle.Bundle) { service(b).Homes[1].Domain = "klet" }, want: "/services/0/homes/1/domain"},
		"share":             {change: func(b *bundle.Bundle) { service(b).Homes[0].Share = 1 << 21 }, want: "/services/0/homes/0/share"},
		"ranges leave gaps": {change: func(b *bundle.Bundle) { service(b).Homes[0].Ranges = half[:1] }, want: "overlap or leave gaps"},
		"ranges overlap": {change: func(b *bundle.Bundle) {
			service(b).Homes[0].Ranges, service(b).Homes[1].Ranges = half, half[1:]
		}, want: "overlap or leave gaps"},
		"ranges wrap": {change: func(b *bundle.Bundle) {
			service(b).Homes[0].Ranges, service(b).Homes[1].Ranges = []keys.Range{keys.Full}, []keys.Range{keys.Full}
		}, want: "overlap or leave gaps"},
		"ranges cover": {change: func(b *bundle.Bundle) {
			service(b).Homes[0].Ranges, service(b).Homes[1].Ranges = half[1:], half[:1]
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := sample(1)
			tt.change(b)
			err := b.Validate()
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, bundle.ErrInvalid))
			if !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("%v, want %s", err, tt.want)
			}
		})
	}
}

// keepOneSigner leaves one signer with all roles, who cannot approve its own bundles.
func keepOneSigner(b *bundle.Bundle) {
	b.Signers = b.Signers[:1]
	b.Signers[0].Roles = []bundle.Role{bundle.RolePublish, bundle.RoleApprove, bundle.RoleRoll}
}
