package check_test

import (
	"crypto/ed25519"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/bundle/check"
	"example.org/mustardring/pkg/keys"
)

// sample returns a bundle without problems.
func sample() *bundle.Bundle {
	signer := func(name string, roles ...bundle.Role) bundle.Signer {
		seed := []byte(strings.Repeat(name[:1], ed25519.SeedSize))
		return bundle.Signer{Name: name, PublicKey: ed25519.NewKeyFromSeed(seed).Public().(ed25519.PublicKey), Roles: roles}
	}
	server := func(name, domain, address string) bundle.Server {
		return bundle.Server{Name: name, Domain: domain, Address: address, Slots: 2, Connections: 110}
	}
	return &bundle.Bundle{
		Format:  1,
		Version: 1,
		Signers: []bundle.Signer{signer("ana", bundle.RolePublish), signer("cene", bundle.RoleApprove, bundle.RoleRoll)},
		Domains: []bundle.Domain{{Name: "klet"}, {Name: "podstresje"}},
		Services: []bundle.Service{
			{
				Name: "pregled", Divided: true,
				Homes:   []bundle.Home{{Domain: "klet", Share: 1}, {Domain: "podstresje", Share: 1}},
				Servers: []bundle.Server{server("pregled-1", "klet", "10.0.0.1:80"), server("pregled-2", "podstresje", "10.0.0.2:80")},
				Weights: bundle.Weights{Imbalance: 1, Churn: 3, Unavailable: 1},
				Limits:  bundle.Limits{RequestMillis: 1000, CrashServers: 2},
				Load:    bundle.Load{PerSecond: 100, RunMillis: 20},
			},
			{
				Name: "oddaja", Servers: []bundle.Server{server("oddaja-1", "klet", "10.0.0.3:80")},
				Weights: bundle.Weights{Imbalance: 1},
				Limits:  bundle.Limits{RequestMillis: 1000, CrashServers: 2},
			},
		},
	}
}

func TestBundle(t *testing.T) {
	tests := map[string]struct {
		change  func(b *bundle.Bundle)
		pointer string
		text    string // is part of the first problem
	}{
		"no problems":     {change: func(*bundle.Bundle) {}},
		"unknown domain":  {change: func(b *bundle.Bundle) { b.Services[0].Servers[1].Domain = "hlev" }, pointer: "/services/0/servers/1/domain", text: `found "hlev"`},
		"unknown home":    {change: func(b *bundle.Bundle) { b.Services[0].Homes[1].Domain = "hlev" }, pointer: "/services/0/homes/1/domain", text: `"hlev"`},
		"two services":    {change: func(b *bundle.Bundle) { b.Services[1].Servers[0].Name = "pregled-1" }, pointer: "/services/1/servers/0/name", text: "/services/0/servers/0/name"},
		"address twice":   {change: func(b *bundle.Bundle) { b.Services[1].Servers[0].Address = "10.0.0.2:80" }, pointer: "/services/1/servers/0/address", text: "/services/0/servers/1/address"},
		"name address":    {change: func(b *bundle.Bundle) { b.Services[1].Servers[0].Address = "klet.example.org:80" }, pointer: "/services/1/servers/0/address", text: "an IP number"},
		"no port":         {change: func(b *bundle.Bundle) { b.Services[1].Servers[0].Address = "10.0.0.9" }, pointer: "/services/1/servers/0/address", text: "a port"},
		"no weight":       {change: func(b *bundle.Bundle) { b.Services[0].Weights = bundle.Weights{} }, pointer: "/services/0/weights", text: "all zero"},
		"weight of churn": {change: func(b *bundle.Bundle) { b.Services[0].Weights.Imbalance = 0 }, pointer: "/services/0/weights/imbalance", text: "above zero"},
		"no capacity":     {change: func(b *bundle.Bundle) { b.Services[0].Load.RunMillis = 50 }, pointer: "/services/0/load", text: "5.0 slots busy"},
		"no capacity in one home": {change: func(b *bundle.Bundle) {
			b.Services[0].Homes[0].Share = 2
			b.Services[0].Load.PerSecond = 200
		}, pointer: "/services/0/load", text: `"klet"`},
		"home without servers": {change: func(b *bundle.Bundle) { b.Services[0].Servers[0].Leaving = true }, pointer: "/services/0/homes", text: `"klet"`},
		"homes, not divided":   {change: func(b *bundle.Bundle) { b.Services[1].Homes = b.Services[0].Homes }, pointer: "/services/1/homes", text: "not divided"},
		"ranges off their shares": {change: func(b *bundle.Bundle) {
			b.Services[0].Homes[0].Ranges = []keys.Range{{First: 0, Last: 1 << 62}}
			b.Services[0].Homes[1].Ranges = []keys.Range{{First: 1<<62 + 1, Last: keys.Full.Last}}
		}, pointer: "/services/0/homes/0/ranges", text: "25.0%"},
		"instance twice": {change: func(b *bundle.Bundle) {
			one := bundle.Instance{Name: "klet-1", Domain: "klet", Address: "10.0.1.1:80"}
			b.Instances = []bundle.Instance{one, one}
		}, pointer: "/instances/1/name", text: "klet-1"},
		"no approver": {change: func(b *bundle.Bundle) { b.Signers[1].Revoked = true }, text: "no publisher with another approver"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := sample()
			tt.change(b)
			data, err := json.Marshal(b)
			is.NoErr(err)
			_, problems := check.File("bundle.json", data)
			if tt.text == "" {
				is.NoErr(problems.Err())
				return
			}
			is.True(len(problems) > 0)
			is.Equal(problems[0].Pointer, tt.pointer)
			is.True(strings.Contains(problems[0].String(), tt.text))
		})
	}
}

func TestSchemaProblems(t *testing.T) {
	data, err := json.Marshal(sample())
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		old, new string
		want     string
	}{
		"type":           {old: `"version":1`, new: `"version":"one"`, want: `/version: found "one", expected to fit the schema: got string, want integer`},
		"unknown member": {old: `"version":1`, new: `"version":1,"colour":2`, want: `found an object of`},
		"missing member": {old: `"follows":0,`, new: ``, want: `missing property 'follows'`},
		"kebab case":     {old: `"name":"klet"`, new: `"name":"Klet Spodaj"`, want: `/domains/0/name: found "Klet Spodaj"`},
		"slots":          {old: `"slots":2`, new: `"slots":0`, want: `/services/0/servers/0/slots: found 0`},
		"isolation":      {old: `"divided":true`, new: `"divided":true,"isolation":"flee"`, want: `/services/0/isolation: found "flee"`},
		"no JSON":        {old: `{"format":1`, new: `{"format":1 1`, want: `expected one JSON object`},
		"other format":   {old: `"format":1`, new: `"format":2`, want: `/format: found 2`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changed := strings.Replace(string(data), tt.old, tt.new, 1)
			is.True(changed != string(data))
			_, problems := check.File("bundle.json", []byte(changed))
			is.True(len(problems) > 0)
			is.True(strings.HasPrefix(problems[0].String(), "bundle.json: "))
			if !strings.Contains(problems[0].String(), tt.want) {
				t.Fatalf("%s, want %s", problems[0], tt.want)
			}
		})
	}
}

// The bundles of the examples have no signers, since keys are generated for each run.
func TestExampleBundles(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "..", "examples", "*", "bundle.json"))
	if err != nil || len(files) == 0 {
		t.Fatal("no example bundles found", err)
	}
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			b, err := bundle.Parse(data)
			is.NoErr(err)
			b.Signers = sample().Signers
			is.NoErr(check.Bundle(file, b).Err())
		})
	}
}
