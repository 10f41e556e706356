// Package budget bounds the attempts that a node makes beyond the first of
// each request, so that all nodes together stay below what upstreams allow.
//
// A Window counts requests and extra attempts over the last seconds. It reads
// no clock and is not safe for concurrent use.
package budget

import "time"

// bucketCount is the number of buckets of a window.
const bucketCount = 20

// Config is the bound that all nodes share.
type Config struct {
	// Ratio is the number of extra attempts per request.
	Ratio float64
	// Slack is the number of extra attempts in a window beside those, over all
	// nodes.
	Slack float64
	// Period is the length of a window.
	Period time.Duration
}

// Parts of the shared bound that a node uses: the rest covers nodes that join,
// or that start again with empty windows.
const (
	ratioPart = 0.95
	slackPart = 0.5
	// hedgePart is the part of that which may go to hedges: a request that was
	// shed or lost needs its second attempt more than one that is slow.
	hedgePart = 0.7
)

// Cause is why an attempt beyond the first is made.
type Cause uint8

// The causes.
const (
	// Retry follows an attempt that was shed, lost or failed.
	Retry Cause = iota
	// Hedge accompanies an attempt that is slow.
	Hedge
)

// String returns the cause's name.
func (c Cause) String() string {
	return [...]string{"retry", "hedge"}[c]
}

// bucket counts what began in one part of the period.
type bucket struct {
	// number is the bucket's position on the time line.
	number   int64
	requests int
	extras   int
}

// Window counts the requests and extra attempts of one service at one node.
type Window struct {
	config  Config
	buckets [bucketCount + 1]bucket
}

// NewWindow returns an empty window.
func NewWindow(config Config) *Window {
	return &Window{config: config}
}

func (w *Window) at(now time.Duration) *bucket {
	number := int64(now / (w.config.Period / bucketCount))
	b := &w.buckets[number%int64(len(w.buckets))]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// Request counts a request. Now is the time since any fixed moment.
func (w *Window) AddRequest(now time.Duration) {
	w.at(now).requests++
}

// Spend counts an extra attempt if the node's share of the bound, one of the
// given number of nodes, allows it.
func (w *Window) Spend(now time.Duration, nodes int, cause Cause) bool {
	current := w.at(now)
	requests, extras := 0, 0
	for i := range w.buckets {
		if b := &w.buckets[i]; b.number > current.number-int64(len(w.buckets)) {
			requests += b.requests
			extras += b.extras
		}
	}
	allowed := ratioPart*w.config.Ratio*float64(requests) + slackPart*w.config.Slack/float64(max(nodes, 1))
	if cause == Hedge {
		allowed *= hedgePart
	}
	if float64(extras+1) > allowed {
		return false
	}
	current.extras++
	return true
}
