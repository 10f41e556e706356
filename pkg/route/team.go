package route

// Quota limits the requests of a team over all nodes together. The zero value is no
// limit.
type Quota struct {
	// PerSecond is the number of requests a second; 0 for no limit.
	PerSecond float64
	// Burst is the number of requests beyond it that may come at once.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool {
	return q.PerSecond > 0
}

// Team is a group of callers that share keys and a quota. It is immutable.
type Team struct {
	Name string
	// Keys are the keys that callers of the team send; none of them is empty.
	Keys []string
	// Rank goes before that of the route if Ranked is true.
	Rank   int
	Ranked bool
	Quota  Quota
}

// teams holds the teams of a table by key and by name.
type teams struct {
	byKey  map[string]*Team
	byName map[string]*Team
	// sharedKeys is the number of keys that more than one team holds.
	sharedKeys int
}

// newTeams indexes the teams. A key of several teams belongs to the first of them.
func newTeams(list []Team) teams {
	t := teams{byKey: make(map[string]*Team, len(list)), byName: make(map[string]*Team, len(list))}
	shared := map[string]bool{}
	for i := range list {
		team := &list[i]
		if t.byName[team.Name] == nil {
			t.byName[team.Name] = team
		}
		for _, key := range team.Keys {
			if holder := t.byKey[key]; holder != nil {
				shared[key] = shared[key] || holder != team
				continue
			}
			t.byKey[key] = team
		}
	}
	for _, held := range shared {
		if held {
			t.sharedKeys++
		}
	}
	return t
}

// HasTeams reports whether callers need keys on routes that are not public.
func (t *Table) HasTeams() bool {
	return t != nil && len(t.teams.byName) > 0
}

// TeamOf returns the team that holds the key; nil if none does.
func (t *Table) TeamOf(key string) *Team {
	if t == nil {
		return nil
	}
	return t.teams.byKey[key]
}

// Team returns the team with the name; nil if there is none.
func (t *Table) Team(name string) *Team {
	if t == nil {
		return nil
	}
	return t.teams.byName[name]
}

// SharedKeys returns the number of keys that more than one team holds.
func (t *Table) SharedKeys() int {
	if t == nil {
		return 0
	}
	return t.teams.sharedKeys
}
