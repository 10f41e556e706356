// Package timeline records typed events in a ring buffer on each node and merges
// the events of many nodes into one ordered list. It also holds the hybrid
// logical clock that stamps the events.
package timeline

import (
	"slices"
	"strings"
	"sync"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// ringSize is the number of events that a node keeps.
const ringSize = 8192

// Name is the type of an event.
type Name string

// The events that a node records.
const (
	RequestReceived   Name = "requestReceived"
	RequestAnswered   Name = "requestAnswered"
	AnswerNotWritten  Name = "answerNotWritten"
	RequestRefused    Name = "requestRefused"
	RequestForwarded  Name = "requestForwarded"
	BatchReceived     Name = "batchReceived"
	AttemptStarted    Name = "attemptStarted"
	AttemptEnded      Name = "attemptEnded"
	HedgeStarted      Name = "hedgeStarted"
	ReplyDropped      Name = "replyDropped"
	SnapshotRestarted Name = "snapshotRestarted"
	MemberChanged     Name = "memberChanged"
	GateAcquired      Name = "gateAcquired"
	GateReleased      Name = "gateReleased"
	ConfigApplied     Name = "configApplied"
	ConfigPromoted    Name = "configPromoted"
	UpstreamLeaving   Name = "upstreamLeaving"
	UpstreamBacksOff  Name = "upstreamBacksOff"
	UpstreamChanged   Name = "upstreamChanged"
	StoreLost         Name = "storeLost"
	StoreFound        Name = "storeFound"
	NodeLeaving       Name = "nodeLeaving"
	ProcessPaused     Name = "processPaused"
)

// Event is something that happened on one node.
type Event struct {
	// Stamp and VM are set by Record.
	Stamp         Stamp  `json:"stamp"`
	VM            string `json:"vm"`
	Name          Name   `json:"name"`
	RequestID     string `json:"requestId,omitempty"`
	Service       string `json:"service,omitempty"`
	Upstream      string `json:"upstream,omitempty"`
	Member        string `json:"member,omitempty"`
	ConfigVersion uint64 `json:"configVersion,omitempty"`
	Detail        string `json:"detail,omitempty"`
	// Told is set if the event is a decision that an upstream gets nothing.
	Told *Told `json:"told,omitempty"`
}

// Filter selects the events that match all of its fields. An empty field matches
// every event.
type Filter struct {
	RequestID string
	// VM matches the VM that recorded the event or the member that it is about.
	VM            string
	Upstream      string
	ConfigVersion uint64
}

// Match reports whether the event matches the filter.
func (f Filter) Match(event Event) bool {
	if f.RequestID != "" && event.RequestID != f.RequestID {
		return false
	}
	if f.VM != "" && event.VM != f.VM && event.Member != f.VM {
		return false
	}
	if f.Upstream != "" && event.Upstream != f.Upstream {
		return false
	}
	return f.ConfigVersion == 0 || event.ConfigVersion == f.ConfigVersion
}

// Recorder keeps the newest events of one node. It is safe for concurrent use.
type Recorder struct {
	// Clock stamps the events. The peer links use the same clock.
	Clock *Clock

	vm  string
	log logr.Logger
	// toldLines bounds the log lines of events with Told.
	toldLines *rate.Limiter
	mu        sync.Mutex
	// toldSkipped counts such lines that were left out since the last one.
	toldSkipped int
	// ring holds the newest events. Once it is full, next is the index of the oldest
	// event, which is overwritten next.
	ring []Event
	next int
}

// NewRecorder returns an empty recorder for the VM. Events that belong to no
// request, and a bounded number of those with Told, are also written to log.
func NewRecorder(vm string, log logr.Logger) *Recorder {
	return &Recorder{
		Clock:     &Clock{},
		vm:        vm,
		log:       log,
		toldLines: rate.NewLimiter(toldLinesPerSecond, toldLinesPerSecond),
		ring:      make([]Event, 0, ringSize),
	}
}

// Record stamps the event with the time and the VM and stores it. An event without
// a request ID or with Told is also logged.
func (r *Recorder) Record(event Event) {
	event.Stamp = r.Clock.Now()
	event.VM = r.vm
	r.store(event)
	switch {
	case event.Told != nil:
		r.logTold(event)
	case event.RequestID == "":
		r.logEvent(event)
	}
}

// store adds the event to the ring and overwrites the oldest one if it is full.
func (r *Recorder) store(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < ringSize {
		r.ring = append(r.ring, event)
		return
	}
	r.ring[r.next] = event
	r.next = (r.next + 1) % ringSize
}

// logEvent logs the event by its name, with its non-empty fields and further ones as
// pairs.
func (r *Recorder) logEvent(event Event, further ...any) {
	pairs := []any{"vm", event.VM}
	for _, pair := range [][2]string{
		{"service", event.Service},
		{"upstream", event.Upstream},
		{"member", event.Member},
		{"detail", event.Detail},
	} {
		if pair[1] != "" {
			pairs = append(pairs, pair[0], pair[1])
		}
	}
	if event.ConfigVersion != 0 {
		pairs = append(pairs, "configVersion", event.ConfigVersion)
	}
	r.log.Info(string(event.Name), append(pairs, further...)...)
}

// Events returns the stored events that match the filter, oldest first.
func (r *Recorder) Events(filter Filter) []Event {
	r.mu.Lock()
	events := slices.Clone(r.ring)
	r.mu.Unlock()
	selected := slices.DeleteFunc(events, func(e Event) bool { return !filter.Match(e) })
	return Merge(selected)
}

// Merge combines lists of events into one list, ordered by stamp and then by VM.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		if a.Stamp != b.Stamp {
			if a.Stamp < b.Stamp {
				return -1
			}
			return 1
		}
		return strings.Compare(a.VM, b.VM)
	})
	return merged
}
