package bundle

import "slices"

// EnoughVoters is the number of servers that check grants with which a failure domain needs no
// other voters. It is the smallest number that keeps a majority when one voter is lost.
const EnoughVoters = 3

// Voters returns the sorted names of the voters of a domain: its servers that check grants and,
// if there are fewer than EnoughVoters, also its entry instances in the bundle.
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

// VoterChange is the difference between the voters of one domain in two versions.
type VoterChange struct {
	Domain  string
	Added   []string
	Removed []string
}

// CompareVoters returns the changes of more than one voter in a domain that both versions have.
// Domains without voters in the version before are left out.
//
// If two sets of voters differ by one voter, any two majorities of them have a voter in common,
// so only one leader can win. If they differ by more, an instance that has not seen the later
// version could lead at the same time as one that has.
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

// without returns the names that are not in others.
func without(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}
