package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

func testView() View {
	lower, upper := keys.Range{Last: 99}, keys.Range{First: 100, Last: ^uint64(0)}
	return View{
		Self: "klet-1", Domain: "klet",
		Bundle: &bundle.Bundle{Services: []bundle.Service{
			{Name: "pregled", Divided: true, Servers: []bundle.Server{{Name: "p-1", Domain: "klet"}, {Name: "p-2", Domain: "klet"}}},
			{Name: "oddaja", Servers: []bundle.Server{
				{Name: "o-1", Domain: "klet"}, {Name: "o-2", Domain: "klet", Leaving: true}, {Name: "o-3", Domain: "podstresje"},
			}},
			{Name: "arhiv", Servers: []bundle.Server{{Name: "a-1", Domain: "podstresje"}}},
		}},
		Homes: map[string][]Home{"pregled": {{Domain: "klet", Range: lower}, {Domain: "podstresje", Range: upper}}},
		Table: &Table{
			Domain: "klet",
			Owners: []Owner{
				{Service: "pregled", Range: keys.Range{First: 0, Last: 9}, Server: "p-1", Epoch: grant.Epoch{Sequence: 4}},
				{Service: "pregled", Range: keys.Range{First: 10, Last: 19}, Server: "p-2"},
				{Service: "pregled", Range: keys.Range{First: 20, Last: 29}, Server: "gone"},
			},
			Gates: []Gate{
				{Service: "pregled", Server: "p-1", Instance: "klet-1"},
				{Service: "pregled", Server: "p-2", Instance: "klet-2"},
				{Service: "oddaja", Server: "o-1", Instance: "klet-1"},
			},
		},
		Members: []Member{
			{Name: "klet-1", Domain: "klet", Address: "127.0.0.1:1"},
			{Name: "klet-2", Domain: "klet", Address: "127.0.0.2:1"},
			{Name: "podstresje-1", Domain: "podstresje", Address: "127.0.0.3:1"},
		},
	}
}

// describe gives a destination a short form to compare.
func describe(d Destination) string {
	switch d := d.(type) {
	case Local:
		names := ""
		for _, t := range d.Servers {
			names += " " + t.Server.Name
		}
		return "here" + names
	case Forward:
		return fmt.Sprintf("forward %s %v", d.Domain, d.Addresses)
	case Unavailable:
		return "absent " + string(d.Reason)
	default:
		return "nothing"
	}
}

func TestFind(t *testing.T) {
	tests := map[string]struct {
		service string
		hash    uint64
		change  func(*View)
		want    string
	}{
		"own gate":               {service: "pregled", hash: 5, want: "here p-1"},
		"gate of another":        {service: "pregled", hash: 15, want: "forward klet [127.0.0.2:1]"},
		"server not in bundle":   {service: "pregled", hash: 25, want: "absent no-owner"},
		"nobody owns it":         {service: "pregled", hash: 50, want: "absent no-owner"},
		"home elsewhere":         {service: "pregled", hash: 500, want: "forward podstresje [127.0.0.3:1]"},
		"undivided, not leaving": {service: "oddaja", want: "here o-1"},
		"undivided elsewhere":    {service: "arhiv", want: "forward podstresje [127.0.0.3:1]"},
		"unknown service":        {service: "x", want: "absent unknown-service"},
		"no bundle":              {service: "pregled", change: func(v *View) { v.Bundle = nil }, want: "absent no-bundle"},
		"no table":               {service: "pregled", hash: 5, change: func(v *View) { v.Table = nil }, want: "absent no-owner"},
		"gate silent":            {service: "pregled", hash: 15, change: func(v *View) { v.Members = v.Members[:1] }, want: "absent no-gate"},
		"home silent":            {service: "pregled", hash: 500, change: func(v *View) { v.Members = v.Members[:2] }, want: "absent domain-unreachable"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			view := testView()
			if tt.change != nil {
				tt.change(&view)
			}
			d := NewRouter()
			d.Set(view)
			is.Equal(describe(d.Find(tt.service, tt.hash)), tt.want)
		})
	}
}

// The look-up by index agrees with reading the table from its start to its end.
func TestFindAgreesWithNaiveLookUp(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	view := testView()
	view.Homes["pregled"] = []Home{{Domain: "klet", Range: keys.Full}}
	view.Table.Owners = nil
	for i, r := range keys.Split(keys.Full, 64) {
		if i%5 > 0 {
			view.Table.Owners = append(view.Table.Owners, Owner{Service: "pregled", Range: r, Server: fmt.Sprintf("p-%d", 1+i%2)})
		}
	}
	random.Shuffle(len(view.Table.Owners), func(i, j int) {
		o := view.Table.Owners
		o[i], o[j] = o[j], o[i]
	})
	d := NewRouter()
	d.Set(view)
	for range 2000 {
		hash := random.Uint64()
		want := "absent no-owner"
		for _, o := range view.Table.Owners {
			if o.Range.Contains(hash) {
				want = map[string]string{"p-1": "here p-1", "p-2": "forward klet [127.0.0.2:1]"}[o.Server]
			}
		}
		is.Equal(describe(d.Find("pregled", hash)), want)
	}
}
