package check

import (
	"fmt"

	"example.org/mustardring/pkg/bundle"
)

// services checks the services and their servers. The names and addresses of servers must be
// unique across all services.
func (c *checker) services() {
	names := make(map[string]string)
	servers, addresses := make(map[string]string), make(map[string]string)
	for i := range c.bundle.Services {
		s := &c.bundle.Services[i]
		at := fmt.Sprintf("/services/%d", i)
		c.unique(names, at+"/name", s.Name)
		for j, v := range s.Servers {
			at := fmt.Sprintf("%s/servers/%d", at, j)
			c.unique(servers, at+"/name", v.Name)
			c.unique(addresses, at+"/address", v.Address)
			c.domain(at+"/domain", v.Domain)
			c.address(at+"/address", v.Address)
		}
		c.homes(at, s)
		c.weights(at, s.Weights)
		c.capacity(at, s)
	}
}

// homes reports homes of a service that is not divided, homes whose domain is unknown, occurs twice,
// or has keys but no server to own them, and homes whose shares are all zero.
func (c *checker) homes(at string, s *bundle.Service) {
	if !s.Divided && len(s.Homes) > 0 {
		c.add(at+"/homes", fmt.Sprintf("%d homes", len(s.Homes)), "none, since the service is not divided")
		return
	}
	seen := make(map[string]string)
	for j, h := range s.Homes {
		at := fmt.Sprintf("%s/homes/%d", at, j)
		c.unique(seen, at+"/domain", h.Domain)
		c.domain(at+"/domain", h.Domain)
	}
	if !s.Divided {
		return
	}
	c.statedRanges(at, s)
	slots := slotsByDomain(s)
	for _, h := range c.bundle.HomeRanges(s.Name) {
		if slots[h.Domain] == 0 {
			c.add(at+"/homes", fmt.Sprintf("keys at home in %q, which has no staying server", h.Domain),
				"a server of the service in each domain with a share")
			return
		}
	}
	if len(s.Homes) > 0 && c.bundle.HomeRanges(s.Name) == nil {
		c.add(at+"/homes", "shares that are all zero", "at least one above zero")
	}
}

// maxShareDeviation is the largest difference between the width of a home's ranges and its share,
// both as parts of the hash space.
const maxShareDeviation = 0.001

// statedRanges reports homes whose ranges don't match their shares. This happens if a share is
// changed, which has no effect as long as there are ranges.
func (c *checker) statedRanges(at string, s *bundle.Service) {
	total := 0
	stated := false
	for _, h := range s.Homes {
		total += h.Share
		stated = stated || len(h.Ranges) > 0
	}
	if !stated || total == 0 {
		return
	}
	for j, h := range s.Homes {
		width := 0.0
		for _, r := range h.Ranges {
			width += r.Width()
		}
		want := float64(h.Share) / float64(total)
		if width < want-maxShareDeviation || width > want+maxShareDeviation {
			c.add(fmt.Sprintf("%s/homes/%d/ranges", at, j), fmt.Sprintf("%.1f%% of the keys", 100*width),
				fmt.Sprintf("%.1f%% as the share says; `plan --settle` proposes ranges", 100*want))
		}
	}
}

// slotsByDomain returns the slots of the servers of each domain that are not leaving.
func slotsByDomain(s *bundle.Service) map[string]int {
	slots := make(map[string]int)
	for _, v := range s.Servers {
		if !v.Leaving {
			slots[v.Domain] += v.Slots
		}
	}
	return slots
}

// weights reports weights that are all zero, with which all placements cost the same, and a zero
// weight of imbalance, with which full servers keep their keys.
func (c *checker) weights(at string, w bundle.Weights) {
	if w.Imbalance == 0 && w.Churn == 0 && w.Unavailable == 0 {
		c.add(at+"/weights", "all zero", "at least one above zero")
		return
	}
	if w.Imbalance == 0 {
		c.add(at+"/weights/imbalance", "0", "above zero, or a server once full would keep all its keys")
	}
}

// capacity reports a stated load that needs more slots than the servers that are not leaving have,
// in total or, in a divided service, in one domain.
func (c *checker) capacity(at string, s *bundle.Service) {
	need := s.Load.Slots()
	if need == 0 {
		return
	}
	slots := slotsByDomain(s)
	total := 0
	for _, n := range slots {
		total += n
	}
	if float64(total) < need {
		c.add(at+"/load", fmt.Sprintf("a load that keeps %.1f slots busy", need),
			fmt.Sprintf("at most the %d slots of the servers that stay", total))
		return
	}
	if !s.Divided {
		return
	}
	widths := make(map[string]float64)
	for _, h := range c.bundle.HomeRanges(s.Name) {
		widths[h.Domain] += h.Range.Width()
	}
	for _, d := range c.bundle.Domains {
		if busy := need * widths[d.Name]; busy > float64(slots[d.Name]) {
			c.add(at+"/load", fmt.Sprintf("a load that keeps %.1f slots of %q busy", busy, d.Name),
				fmt.Sprintf("at most its %d slots", slots[d.Name]))
		}
	}
}
