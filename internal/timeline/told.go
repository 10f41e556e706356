package timeline

// toldLinesPerSecond bounds the log lines about what upstreams told.
const toldLinesPerSecond = 20

// Source is how a node learned what an upstream told of itself.
type Source string

// The sources.
const (
	// Reply is the upstream's reply to the request that the event names.
	Reply Source = "reply"
	// State is the state that the upstream reports when it is polled.
	State Source = "state"
	// Notice is a notice from this or another node, as the platform lists the upstream
	// as leaving.
	Notice Source = "notice"
)

// Told describes what decided that an upstream gets nothing.
type Told struct {
	Source Source `json:"source"`
	// Outcome is that of the reply; empty for the other sources.
	Outcome string `json:"outcome,omitempty"`
	// AgeMillis is the time from sending the request or poll to the decision.
	AgeMillis int64 `json:"ageMillis"`
	// RetryAfterMillis is the time that the upstream named, and UnusedMillis the one after
	// which the node uses it again; 0 if it leaves.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
	UnusedMillis     int64 `json:"unusedMillis,omitempty"`
	// Usable is the number of upstreams of the service that are left.
	Usable int `json:"usable"`
}

// Pairs returns the fields as pairs of a log line.
func (t *Told) Pairs() []any {
	pairs := []any{"source", string(t.Source)}
	if t.Outcome != "" {
		pairs = append(pairs, "outcome", t.Outcome)
	}
	pairs = append(pairs, "ageMs", t.AgeMillis, "usable", t.Usable)
	if t.RetryAfterMillis > 0 {
		pairs = append(pairs, "retryAfterMs", t.RetryAfterMillis, "unusedMs", t.UnusedMillis)
	}
	return pairs
}

// logTold logs an event with Told unless there are too many of them.
func (r *Recorder) logTold(event Event) {
	r.mu.Lock()
	if !r.toldLines.Allow() {
		r.toldSkipped++
		r.mu.Unlock()
		return
	}
	skipped := r.toldSkipped
	r.toldSkipped = 0
	r.mu.Unlock()
	var further []any
	if event.RequestID != "" {
		further = append(further, "requestID", event.RequestID)
	}
	further = append(further, event.Told.Pairs()...)
	r.logEvent(event, append(further, "linesSkipped", skipped)...)
}
