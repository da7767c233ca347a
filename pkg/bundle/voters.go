package bundle

import "slices"

// EnoughVoters is the number of servers that check grants from which on a failure domain
// needs no other voters: the least of which one may be lost.
const EnoughVoters = 3

// Voters returns the names of the voters of a domain, sorted: its servers that check grants
// and, where there are fewer than EnoughVoters, the entry instances that the bundle names.
func (b *Bundle) Voters(domain string) []string {
	var names []string
	for _, s := range b.Services {
		for _, v := range s.Servers {
			if v.Domain == domain && v.ChecksGrants {
				names = append(names, v.Name)
			}
		}
	}
	if len(names) < EnoughVoters {
		for _, i := range b.Instances {
			if i.Domain == domain {
				names = append(names, i.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// VoterChange is what a version changes in the voters of one domain.
type VoterChange struct {
	Domain  string
	Added   []string
	Removed []string
}

// CompareVoters returns, for the domains of both versions, the changes of more than one voter.
//
// Majorities of two sets of voters that differ by one always share a voter, so that no two
// leaders win by them. Sets that differ by more may not, and an instance that has not seen the
// later version could lead beside one that has.
func CompareVoters(before, after *Bundle) []VoterChange {
	var changes []VoterChange
	for _, d := range before.Domains {
		if !slices.ContainsFunc(after.Domains, func(o Domain) bool { return o.Name == d.Name }) {
			continue
		}
		old, next := before.Voters(d.Name), after.Voters(d.Name)
		c := VoterChange{Domain: d.Name, Added: without(next, old), Removed: without(old, next)}
		if len(old) > 0 && len(c.Added)+len(c.Removed) > 1 {
			changes = append(changes, c)
		}
	}
	return changes
}

// without returns the names of one list that the other does not have.
func without(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}
