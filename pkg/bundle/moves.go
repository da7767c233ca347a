package bundle

import (
	"slices"

	"example.org/mustardring/pkg/keys"
)

// Moves is the estimate of how many keys of a divided service change owner between two versions.
// All numbers are shares of the hash space, from 0 to 1.
type Moves struct {
	Service string `json:"service"`
	// Between is the share of the keys that move to another domain.
	Between float64 `json:"between-domains"`
	// LeastBetween is the smallest share that has to move between domains so that each domain
	// gets its share of the space.
	LeastBetween float64 `json:"least-between-domains"`
	// Within is the smallest share that has to move to another server in the same domain.
	Within float64 `json:"within-domains"`
	// Lost is the share of the keys whose server is removed without having been marked as
	// leaving in the version before. It is contained in Between and Within.
	Lost float64 `json:"lost-servers"`
	// Flows are the shares that move between domains, in the order of the hash space.
	Flows []Flow `json:"flows"`
}

// Flow is the share of the hash space that moves from one domain to another.
type Flow struct {
	From  string  `json:"from"`
	To    string  `json:"to"`
	Share float64 `json:"share"`
}

// Total returns the share of the keys that change owner.
func (m Moves) Total() float64 {
	return m.Between + m.Within
}

// Least returns the smallest share of the keys that has to change owner.
func (m Moves) Least() float64 {
	return m.LeastBetween + m.Within
}

// CompareMoves returns the moves of each service that is divided in both versions.
func CompareMoves(before, after *Bundle) []Moves {
	var list []Moves
	for i := range after.Services {
		s := &after.Services[i]
		old := before.Service(s.Name)
		if old == nil || !old.Divided || !s.Divided {
			continue
		}
		list = append(list, movesOf(before, after, old, s))
	}
	return list
}

func movesOf(before, after *Bundle, old, s *Service) Moves {
	a, b := before.HomeRanges(s.Name), after.HomeRanges(s.Name)
	m := Moves{Service: s.Name, Flows: flows(a, b)}
	for _, f := range m.Flows {
		m.Between += f.Share
	}
	m.LeastBetween = leastBetween(widths(a), widths(divide(after.shares(s))))
	kept := keptWidths(a, b)
	for domain, width := range widths(b) {
		m.Within += within(old, s, domain, kept[domain], width)
	}
	m.Lost = lost(old, s, widths(a))
	return m
}

// widths returns the total width of the ranges of each domain.
func widths(parts []HomeRange) map[string]float64 {
	w := make(map[string]float64)
	for _, p := range parts {
		w[p.Domain] += p.Range.Width()
	}
	return w
}

// leastBetween returns the sum of what the domains that shrink lose. It is zero without a
// division afterwards.
func leastBetween(before, after map[string]float64) float64 {
	if len(after) == 0 {
		return 0
	}
	least := 0.0
	for domain, width := range before {
		least += max(0, width-after[domain])
	}
	return least
}

// flows returns the shares that change domain from a to b, in the order of the hash space.
func flows(a, b []HomeRange) []Flow {
	var list []Flow
	eachOverlap(a, b, func(from, to string, width float64) {
		if from == to {
			return
		}
		i := slices.IndexFunc(list, func(f Flow) bool { return f.From == from && f.To == to })
		if i < 0 {
			list = append(list, Flow{From: from, To: to})
			i = len(list) - 1
		}
		list[i].Share += width
	})
	return list
}

// keptWidths returns the share of the hash space that each domain has in both a and b.
func keptWidths(a, b []HomeRange) map[string]float64 {
	kept := make(map[string]float64)
	eachOverlap(a, b, func(from, to string, width float64) {
		if from == to {
			kept[from] += width
		}
	})
	return kept
}

// eachOverlap calls visit for each part of the hash space that lies in one range of a and one
// range of b, with their domains.
func eachOverlap(a, b []HomeRange, visit func(from, to string, width float64)) {
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		r := keys.Range{First: max(a[i].Range.First, b[j].Range.First), Last: min(a[i].Range.Last, b[j].Range.Last)}
		if r.First <= r.Last {
			visit(a[i].Domain, b[j].Domain, r.Width())
		}
		if a[i].Range.Last <= b[j].Range.Last {
			i++
		} else {
			j++
		}
	}
}

// within returns the smallest share that has to change its server inside a domain, not counting
// what comes from other domains. Kept is the share that the domain keeps and width its share
// afterwards. Servers are assumed to own keys in proportion to their slots.
func within(old, s *Service, domain string, kept, width float64) float64 {
	before, after := shareBySlots(old, domain), shareBySlots(s, domain)
	gains := 0.0
	for server, share := range after {
		gains += max(0, share*width-before[server]*kept)
	}
	return max(0, gains-(width-kept))
}

// shareBySlots returns the part of a domain's keys, from 0 to 1, that each of its servers should
// own. Servers that are leaving own none.
func shareBySlots(s *Service, domain string) map[string]float64 {
	total := 0
	for _, v := range s.Servers {
		if v.Domain == domain && !v.Leaving {
			total += v.Slots
		}
	}
	shares := make(map[string]float64)
	for _, v := range s.Servers {
		if v.Domain == domain && !v.Leaving && total > 0 {
			shares[v.Name] = float64(v.Slots) / float64(total)
		}
	}
	return shares
}

// lost returns the share of the keys whose server is in old, not leaving, and not in s. Before
// holds the width of each domain in old.
func lost(old, s *Service, before map[string]float64) float64 {
	remains := make(map[string]bool)
	for _, v := range s.Servers {
		remains[v.Name] = true
	}
	share := 0.0
	for _, v := range old.Servers {
		if !remains[v.Name] && !v.Leaving {
			share += shareBySlots(old, v.Domain)[v.Name] * before[v.Domain]
		}
	}
	return share
}
