package replay

import (
	"fmt"

	"example.org/mustardring/pkg/bundle"
)

// deployment describes the installation of a user, for which traces are generated.
type deployment struct {
	name string
	// oneWayMicros is the one-way delay between failure domains in microseconds.
	oneWayMicros int64
	domains      []string
	weights      bundle.Weights
	services     []workload
}

// workload is a service and its usual requests.
type workload struct {
	name        string
	servers     int
	slots       int // of each server
	divided     bool
	keyPrefix   string
	keyCount    int
	requestRate int     // in requests per second
	runMillis   float64 // mean run time of a request
	// hotKeyPrefix is the prefix of the names of hot keys.
	hotKeyPrefix string
}

// rokopisna returns the deployment of the Central Transcription Gateway.
func rokopisna() deployment {
	return deployment{
		name:         "rokopisna",
		oneWayMicros: 500,
		domains:      []string{"dvorana-a", "dvorana-b", "klet", "podstresje"},
		weights:      bundle.Weights{Imbalance: 1, Churn: 4, Unavailable: 1},
		services: []workload{
			{name: "pregled", servers: 15, slots: 2, divided: true, keyPrefix: "page-", keyCount: 12_000, requestRate: 600, runMillis: 20, hotKeyPrefix: "volume-"},
			{name: "oddaja", servers: 8, slots: 2, requestRate: 60, runMillis: 150},
			{name: "arhiv", servers: 8, slots: 2, requestRate: 12, runMillis: 800},
		},
	}
}

// uva returns the deployment of the Co-operative Cheese Sales Gateway.
func uva() deployment {
	return deployment{
		name:         "uva",
		oneWayMicros: 1400,
		domains:      []string{"badulla-hall", "bandarawela-hall", "welimada-hall"},
		weights:      bundle.Weights{Imbalance: 1, Churn: 1, Unavailable: 4},
		services: []workload{
			{name: "stockbook", servers: 18, slots: 4, divided: true, keyPrefix: "lot-", keyCount: 12_000, requestRate: 1800, runMillis: 15, hotKeyPrefix: "cheese-"},
			{name: "payroll-milk", servers: 9, slots: 4, requestRate: 90, runMillis: 200},
			{name: "depot-desk", servers: 6, slots: 4, requestRate: 80, runMillis: 150},
		},
	}
}

// serverName returns the name of server i of the service.
func (w workload) serverName(i int) string {
	return fmt.Sprintf("%s-%02d", w.name, i)
}

// domainOf returns the failure domain of server i of a service. Servers are assigned to the
// domains in turn.
func (d deployment) domainOf(i int) string {
	return d.domains[i%len(d.domains)]
}

// bundle returns the bundle of the deployment. The home of a failure domain is proportional to
// the slots of its servers.
func (d deployment) bundle() bundle.Bundle {
	b := bundle.Bundle{Format: bundle.FormatVersion, Version: 1}
	for _, name := range d.domains {
		b.Domains = append(b.Domains, bundle.Domain{Name: name})
	}
	for _, w := range d.services {
		s := bundle.Service{Name: w.name, Divided: w.divided, Isolation: bundle.IsolationHold, Weights: d.weights}
		shares := map[string]int{}
		for i := range w.servers {
			s.Servers = append(s.Servers, bundle.Server{Name: w.serverName(i), Domain: d.domainOf(i), Slots: w.slots})
			shares[d.domainOf(i)] += w.slots
		}
		if w.divided {
			for _, name := range d.domains {
				s.Homes = append(s.Homes, bundle.Home{Domain: name, Share: shares[name]})
			}
		}
		b.Services = append(b.Services, s)
	}
	return b
}
