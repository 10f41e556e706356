package relay

import "github.com/bronzereach/bronzereach/pkg/route"

// match chooses the route and the team of a request by the table, unless that is the one
// by which they were chosen before.
func (r *Request) match(table *route.Table) {
	if r.table == table {
		return
	}
	r.table, r.Route, r.Team = table, table.Match(r.Host, r.Path), nil
	if r.needsKey() {
		r.Team = table.TeamOf(r.Key)
	}
}

// needsKey reports whether the route of the request is only for the teams of the table.
func (r *Request) needsKey() bool {
	return r.Route != nil && !r.Route.Public && r.table.HasTeams()
}

// HasTeams reports whether the table by which the request is served has teams. What
// callers send of keys and teams must then not reach upstreams.
func (r *Request) HasTeams() bool {
	return r.table.HasTeams()
}

// teamName returns the name of the request's team; empty if it has none.
func (r *Request) teamName() string {
	if r.Team == nil {
		return ""
	}
	return r.Team.Name
}

// refuseUnauthorized returns the answer to a request that needs a key and has none of a
// team, and nil otherwise.
func (r *Request) refuseUnauthorized() *Answer {
	if !r.needsKey() || r.Team != nil {
		return nil
	}
	return &Answer{Outcome: Unauthorized, Reason: ReasonUnknownKey, Run: NotRun, ConfigVersion: r.table.Version()}
}

// refuseUnmatched returns the answer to a request without a route, and nil otherwise.
func (r *Request) refuseUnmatched() *Answer {
	if r.Route != nil {
		return nil
	}
	return &Answer{Outcome: NoRoute, Reason: ReasonNoRoute, Run: NotRun, ConfigVersion: r.table.Version()}
}

// refuseUnread returns the answer to a request of which the node takes no more than the
// head, and nil otherwise. If there are teams, a caller without a key must not make the
// node hold a body.
func (r *Request) refuseUnread() *Answer {
	if !r.HasTeams() {
		return nil
	}
	if answer := r.refuseUnmatched(); answer != nil {
		return answer
	}
	return r.refuseUnauthorized()
}
