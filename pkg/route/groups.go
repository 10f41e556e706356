package route

import "slices"

// ServiceGroups returns the group of each service that routes use, named after its first
// service. The shards of a route are in the same group.
func (t *Table) ServiceGroups() map[string]string {
	groups := map[string]string{}
	for _, service := range t.Services() {
		groups[service] = service
	}
	if t == nil {
		return groups
	}
	members := map[string][]string{}
	for service := range groups {
		members[service] = []string{service}
	}
	for _, routes := range t.hosts {
		for _, r := range routes {
			for _, shard := range r.Shards {
				joinGroups(groups, members, groups[r.Shards[0]], groups[shard])
			}
		}
	}
	return groups
}

// joinGroups makes one group of two, with the lower of their names.
func joinGroups(groups map[string]string, members map[string][]string, a, b string) {
	if a == b {
		return
	}
	name, joined := min(a, b), max(a, b)
	for _, service := range members[joined] {
		groups[service] = name
	}
	members[name] = slices.Concat(members[name], members[joined])
	delete(members, joined)
}
