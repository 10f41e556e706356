package upstream

// Snapshot is what a node knows of all upstreams, to pass it on to another node.
type Snapshot struct {
	// Revision is the revision of the store as of which the registrations are known;
	// 0 if the node has not read the store.
	Revision      Revision
	Registrations []Registration
	// Reports hold what peers reported of leaving upstreams.
	Reports []LeaveReport
}

// LeaveReport is a report that an upstream is leaving or gone.
type LeaveReport struct {
	ID string
	// Revision is the revision of the store that the report is based on. The report
	// doesn't apply to registrations of later revisions.
	Revision Revision
}
