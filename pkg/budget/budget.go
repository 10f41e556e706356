// Package budget limits the extra attempts of a node, which are those beyond the
// first attempt of each request, so that all nodes together stay below the limit
// of the upstreams.
//
// A Window counts requests and extra attempts in a sliding window. A process that
// starts does not know what the former one on its VM has spent, so it takes little from
// its requests for a period, and its share of the slack grows with its age. A node that
// dies keeps its share for a period, see NodeCount. The package reads no clock, and its
// types are not safe for concurrent use.
package budget

import "time"

// bucketCount is the number of buckets of a window.
const bucketCount = 50

// Config is the limit that all nodes share.
type Config struct {
	// Ratio is the number of extra attempts allowed per request.
	Ratio float64
	// Slack is the number of extra attempts per window that all nodes together
	// may make in addition to Ratio.
	Slack float64
	// Period is the length of the window.
	Period time.Duration
}

// Fractions of the shared limit that the nodes use. A node that is killed may have spent
// its whole share just before, and its callers go to nodes that start: those of
// older and of young nodes add up to no more than the limit.
const (
	ratioShare      = 0.95
	youngRatioShare = 1 - ratioShare
	// slackShare is the fraction for nodes that ran before a period, and for those that
	// start within it.
	slackShare = 0.5
	// hedgeShare is the fraction of the result that hedges may use. The rest is
	// kept for retries: a request that was shed or lost needs its second attempt
	// more than one that is only slow.
	hedgeShare = 0.7
)

// Cause is the reason for an extra attempt.
type Cause uint8

// The causes of extra attempts.
const (
	// Retry follows an attempt that was shed, lost or failed.
	Retry Cause = iota
	// Hedge runs in parallel with an attempt that is slow.
	Hedge
)

// String returns the cause's name.
func (c Cause) String() string {
	return [...]string{"retry", "hedge"}[c]
}

// bucket counts the requests and extra attempts that began in one part of the
// period.
type bucket struct {
	// number is the time of the bucket in units of the bucket length.
	number   int64
	requests int
	extras   int
}

// Window counts the requests and extra attempts of one service at one node.
type Window struct {
	config Config
	// started is when the node started; known only if startKnown is true.
	started    time.Duration
	startKnown bool
	buckets    [bucketCount + 1]bucket
}

// NewWindow returns an empty window of a node that starts with the first call of
// AddRequest or Spend, unless Start is called before.
func NewWindow(config Config) *Window {
	return &Window{config: config}
}

// Start sets the time at which the node started, if it is not set yet.
func (w *Window) Start(started time.Duration) {
	if !w.startKnown {
		w.started, w.startKnown = started, true
	}
}

// bucketAt returns the bucket for a time, cleared if its counts are of an earlier
// round of the ring.
func (w *Window) bucketAt(now time.Duration) *bucket {
	w.Start(now)
	number := int64(now / (w.config.Period / bucketCount))
	b := &w.buckets[number%int64(len(w.buckets))]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// AddRequest counts a request. now is the time since a fixed moment, which must
// be the same for all calls.
func (w *Window) AddRequest(now time.Duration) {
	w.bucketAt(now).requests++
}

// Spend counts an extra attempt and returns true if this node's share of the
// limit, which the given number of nodes share, allows it. While that number is
// UnknownNodes, the node has no share of the slack.
func (w *Window) Spend(now time.Duration, nodes int, cause Cause) bool {
	current := w.bucketAt(now)
	requests, extras := 0, 0
	for i := range w.buckets {
		b := &w.buckets[i]
		age := current.number - b.number
		if age <= bucketCount {
			extras += b.extras
		}
		// The oldest bucket may lie partly before the period.
		if age < bucketCount {
			requests += b.requests
		}
	}
	allowed := w.ratio(now)*float64(requests) + w.slack(now, nodes)
	if cause == Hedge {
		allowed *= hedgeShare
	}
	if float64(extras+1) > allowed {
		return false
	}
	current.extras++
	return true
}

// ratio returns the number of extra attempts that this node may make per request.
func (w *Window) ratio(now time.Duration) float64 {
	if now-w.started < w.config.Period {
		return youngRatioShare * w.config.Ratio
	}
	return ratioShare * w.config.Ratio
}

// slack returns this node's share of the slack.
func (w *Window) slack(now time.Duration, nodes int) float64 {
	if nodes == UnknownNodes {
		return 0
	}
	age := min(float64(now-w.started)/float64(w.config.Period), 1)
	return slackShare * w.config.Slack / float64(nodes) * age
}
