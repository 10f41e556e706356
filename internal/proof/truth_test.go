package proof

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// TestSnapshotUnderRepartition changes the version and the partition of the
// index under running queries: every answer is of one version and true about
// its coverage.
func TestSnapshotUnderRepartition(t *testing.T) {
	c := newCluster(t, 3)
	s := c.storm(c.client())
	for version := uint64(2); version <= 6; version++ {
		contents := standin.Shard(records(int(version), recordCount), shards)
		if version%2 == 0 {
			contents = uneven(int(version))
		}
		c.hold(version, contents)
		time.Sleep(300 * time.Millisecond)
		c.drop(version - 1)
		time.Sleep(300 * time.Millisecond)
	}
	answers, failures := s.end()
	if len(failures) > 0 {
		t.Errorf("%d requests without an answer, the first: %v", len(failures), failures[0])
	}
	versions := map[uint64]int{}
	incomplete := 0
	for _, a := range answers {
		checkAnswer(t, a)
		versions[a.Snapshot.Version]++
		if !a.Coverage.Complete {
			incomplete++
			t.Logf("version %d after %d restarts and %d µs: %+v", a.Snapshot.Version, a.Times.Restarts, a.Times.TookMicros, a.Coverage.Omitted)
		}
	}
	t.Logf("%d answers, by version %v, incomplete %d", len(answers), versions, incomplete)
	if versions[6] == 0 || versions[1] == 0 {
		t.Errorf("the queries did not span the changes: %v", versions)
	}
}

// uneven shards a version over other ranges than Shard does: the first two
// services swap places with the last two.
func uneven(version int) []standin.Contents {
	even := standin.Shard(records(version, recordCount), shards)
	return []standin.Contents{even[2], even[3], even[0], even[1]}
}

// TestFalseRepliesAreNotMerged lets one replica break its protocol in each way
// that must not reach a caller.
func TestFalseRepliesAreNotMerged(t *testing.T) {
	c := newCluster(t, 2)
	for name, misbehaviour := range map[string]standin.Misbehaviour{
		"truncated":    {Truncate: true},
		"shortened":    {Shorten: true},
		"swapped":      {Swap: true},
		"otherVersion": {OtherVersion: true},
		"shed":         {Shed: true},
		"unhealthy":    {Unhealthy: true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, upstreams := range c.upstreams {
				upstreams[0].Misbehave(misbehaviour)
			}
			for range 30 {
				a := c.mustAsk(c.nodes[0], query.Request{Kind: "search", Query: query.Text("record")})
				checkAnswer(t, a)
				if !a.Coverage.Complete {
					t.Errorf("incomplete although two replicas are sound: %+v", a.Coverage.Omitted)
				}
			}
			for _, upstreams := range c.upstreams {
				upstreams[0].Misbehave(standin.Misbehaviour{})
			}
		})
	}
}

// TestLostShardIsOmitted takes all replicas of a shard away: the answer says
// which shard it omits.
func TestLostShardIsOmitted(t *testing.T) {
	c := newCluster(t, 2)
	for _, u := range c.upstreams["records-2"] {
		u.Close()
	}
	a := c.mustAsk(c.nodes[0], query.Request{Kind: "search", Query: query.Text("record")})
	checkAnswer(t, a)
	if a.Coverage.Complete || a.Error == nil || a.Error.Code != answer.CodeLowCoverage {
		t.Fatalf("coverage %+v, error %+v", a.Coverage, a.Error)
	}
	found := false
	for _, omission := range a.Coverage.Omitted {
		found = found || omission.Shard == "records-2"
	}
	if !found {
		t.Errorf("records-2 is not among the omitted: %+v", a.Coverage.Omitted)
	}
	if fraction, _ := snapshot.MeasureCoverage(nil); fraction != 0 {
		t.Errorf("nothing covers %v", fraction)
	}
}

// TestSilentUpstreamIsPassedOver freezes one replica of each shard: the work
// on it goes to another one.
func TestSilentUpstreamIsPassedOver(t *testing.T) {
	c := newCluster(t, 2)
	for range 200 {
		c.mustAsk(c.nodes[0], query.Request{Kind: "search", Query: query.Text("record")})
	}
	for _, upstreams := range c.upstreams {
		upstreams[0].Misbehave(standin.Misbehaviour{Silent: true})
	}
	incomplete := 0
	for range 40 {
		a := c.mustAsk(c.nodes[1], query.Request{Kind: "search", Query: query.Text("record")})
		checkAnswer(t, a)
		if !a.Coverage.Complete {
			incomplete++
		}
	}
	if incomplete > 0 {
		t.Errorf("%d of 40 answers incomplete with one silent replica of three", incomplete)
	}
}
