package proof

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// TestSnapshotUnderRepartition changes the version and the partitioning of the
// index during queries: every answer must be of one version and report its coverage
// correctly.
func TestSnapshotUnderRepartition(t *testing.T) {
	c := newCluster(t, 3)
	load := c.backgroundLoad(c.client())
	for version := uint64(2); version <= 6; version++ {
		contents := standin.ShardLines(indexRecords(int(version), recordCount), shards)
		if version%2 == 0 {
			contents = rotatedShards(int(version))
		}
		c.loadVersion(version, contents)
		time.Sleep(300 * time.Millisecond)
		c.dropVersion(version - 1)
		time.Sleep(300 * time.Millisecond)
	}
	answers, failures := load.finish()
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
		t.Errorf("the answers do not include both the first and the last version: %v", versions)
	}
}

// rotatedShards splits a version as standin.ShardLines does, but assigns the first
// two parts to the last two services and vice versa.
func rotatedShards(version int) []standin.Contents {
	parts := standin.ShardLines(indexRecords(version, recordCount), shards)
	return []standin.Contents{parts[2], parts[3], parts[0], parts[1]}
}

// TestFalseRepliesAreNotMerged makes one replica of each service violate the
// protocol in various ways. Its replies must not reach the caller, and the other
// replicas must make up for it.
func TestFalseRepliesAreNotMerged(t *testing.T) {
	c := newCluster(t, 2)
	for name, faults := range map[string]standin.UpstreamFaults{
		"truncated":    {Truncate: true},
		"shortened":    {OmitRecords: true},
		"swapped":      {WrongRequest: true},
		"otherVersion": {WrongVersion: true},
		"shed":         {Shed: true},
		"unhealthy":    {Unhealthy: true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, upstreams := range c.upstreams {
				upstreams[0].InjectFaults(faults)
			}
			for range 30 {
				a := c.mustSendRequest(c.nodes[0], query.Request{Kind: "search", Query: query.Text("record")})
				checkAnswer(t, a)
				if !a.Coverage.Complete {
					t.Errorf("incomplete although two replicas work: %+v", a.Coverage.Omitted)
				}
			}
			for _, upstreams := range c.upstreams {
				upstreams[0].InjectFaults(standin.UpstreamFaults{})
			}
		})
	}
}

// TestLostShardIsOmitted stops all replicas of a shard: the answer must name the
// shard as omitted.
func TestLostShardIsOmitted(t *testing.T) {
	c := newCluster(t, 2)
	for _, u := range c.upstreams["records-2"] {
		u.Close()
	}
	a := c.mustSendRequest(c.nodes[0], query.Request{Kind: "search", Query: query.Text("record")})
	checkAnswer(t, a)
	if a.Coverage.Complete || a.Error == nil || a.Error.Code != answer.CodeLowCoverage {
		t.Fatalf("coverage %+v, error %+v", a.Coverage, a.Error)
	}
	found := false
	for _, omission := range a.Coverage.Omitted {
		found = found || omission.Shard == "records-2"
	}
	if !found {
		t.Errorf("records-2 is not among the omitted shards: %+v", a.Coverage.Omitted)
	}
	if fraction, _ := snapshot.MeasureCoverage(nil); fraction != 0 {
		t.Errorf("the coverage of no ranges is %v, want 0", fraction)
	}
}

// TestSilentUpstreamIsPassedOver makes one replica of each service stop replying:
// its requests must go to another replica, so that every answer is complete.
func TestSilentUpstreamIsPassedOver(t *testing.T) {
	c := newCluster(t, 2)
	for range 200 {
		c.mustSendRequest(c.nodes[0], query.Request{Kind: "search", Query: query.Text("record")})
	}
	for _, upstreams := range c.upstreams {
		upstreams[0].InjectFaults(standin.UpstreamFaults{Silent: true})
	}
	incomplete := 0
	for range 40 {
		a := c.mustSendRequest(c.nodes[1], query.Request{Kind: "search", Query: query.Text("record")})
		checkAnswer(t, a)
		if !a.Coverage.Complete {
			incomplete++
		}
	}
	if incomplete > 0 {
		t.Errorf("%d of 40 answers incomplete with one silent replica of three", incomplete)
	}
}
