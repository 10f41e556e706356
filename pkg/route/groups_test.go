package route

import "testing"

// TestServiceGroups: services that routes use together are one group, also by way of a third
// one; the targets of a route are not.
func TestServiceGroups(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Host: "h", Prefix: "/a/", Shards: []string{"c", "d"}},
		{Host: "h", Prefix: "/b/", Shards: []string{"e", "f"}},
		{Host: "h", Prefix: "/c/", Shards: []string{"f", "d"}},
		{Host: "h", Prefix: "/d/", Targets: []Target{{Service: "a"}, {Service: "b"}}},
	}})
	groups := table.ServiceGroups()
	for service, want := range map[string]string{"a": "a", "b": "b", "c": "c", "d": "c", "e": "c", "f": "c"} {
		if groups[service] != want {
			t.Errorf("%s is in the group %q, want %q", service, groups[service], want)
		}
	}
	var none *Table
	if len(none.ServiceGroups()) != 0 {
		t.Error("no table has groups")
	}
}
