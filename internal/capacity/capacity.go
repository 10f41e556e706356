// Package capacity estimates the resources that the system needs at the size that
// its users expect within two years. It extrapolates from measurements of smaller
// systems on one machine.
package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// Expected size of the system. Each query goes to fanOut upstreams, one of each shard.
// changesPerDay counts the changes of the configuration. A restart is a failure (48 a
// day) or a replacement (1,600 a day) of a node.
const (
	nodes            = 2900
	upstreams        = 22_000
	queriesPerSecond = 590_000
	fanOut           = 1000
	regions          = 4
	zones            = 11
	changesPerDay    = 2600
	restartsPerDay   = 48 + 1600
	secondsPerDay    = 86_400
)

// Limits on the cost of the control plane: processor use, memory and traffic of each
// node, the time until a configuration is in force on all nodes, and the calls per
// second to the platform from all nodes together.
const (
	limitCPUCores           = 0.04
	limitMemoryMegabytes    = 256
	limitBytesPerSecond     = 10_000
	limitPropagationSeconds = 19
	limitReadsPerSecond     = 2000
	limitWritesPerSecond    = 300
)

// Parameters of the mechanisms that the formulas describe.
const (
	// replicas is the number of upstreams of each service.
	replicas = 3
	// claimsPerRestart is the number of membership claims that are gossiped for one
	// restart: leaving or suspect, dead, joining, ready.
	claimsPerRestart = 4
	// gossipSendsFactor is the number of times that each node sends a claim, as a
	// multiple of 1 + log2 of the number of members, with log2 rounded down; see
	// member.GossipQueue.
	gossipSendsFactor = 3
	// watchersPerZone is the highest number of watchers in a zone, if each region has
	// at least two zones; see member.Watchers. Each watcher makes a watch call every
	// 4 s, lists the VMs every second and writes a status object every 5 s.
	watchersPerZone       = 2
	watchesPerSecond      = 1.0 / 4
	listsPerSecond        = 1.0
	statusesPerSecond     = 1.0 / 5
	gossipRoundsPerSecond = 4.0
	// assignmentRegions divides the claims in the formula for assignments, because
	// each region has its own assignment.
	assignmentRegions = regions
)

// Measurements are the inputs of the estimates, read from docs/slopes.toml.
type Measurements struct {
	// Cost of a node without traffic in systems of SmallNodes and of LargeNodes nodes:
	// bytes per second and megabytes of memory. RestProcessor is the highest
	// processor use that was measured at any size, in cores.
	SmallNodes, LargeNodes         float64
	SmallBytes, LargeBytes         float64
	SmallMegabytes, LargeMegabytes float64
	RestProcessor                  float64
	// LargePromotion is the time in milliseconds until a new configuration reached
	// the last of LargeNodes nodes. No formula uses it.
	LargePromotion float64
	// SpreadRounds is the number of gossip rounds until a change is in all of 2,900
	// member tables.
	SpreadRounds float64
	// ClaimBytes is the encoded size of a membership claim about one member.
	ClaimBytes float64
	// AssignmentMillis is the time in milliseconds that a node needs to assign all
	// services to the members of a region.
	AssignmentMillis float64
	// For a configuration of 22,000 upstreams: RecordBytes is the encoded size of a
	// change of one service as a delta, WholeBytes that of the whole record, and
	// ParseMillis the time in milliseconds to parse the document.
	RecordBytes float64
	WholeBytes  float64
	ParseMillis float64
	// SubRequestMicros is the processor time in microseconds, summed over all nodes,
	// for one sub-request of a query to 1,000 shards.
	SubRequestMicros float64
}

// ReadMeasurements parses the text of slopes.toml. All keys are required.
func ReadMeasurements(text []byte) (m Measurements, err error) {
	defer util.Annotate(&err, "slopes")
	reader, err := document.NewReader(text)
	if err != nil {
		return m, err
	}
	root := reader.Root()
	for key, field := range map[string]*float64{
		"smallNodes":       &m.SmallNodes,
		"largeNodes":       &m.LargeNodes,
		"smallBytes":       &m.SmallBytes,
		"largeBytes":       &m.LargeBytes,
		"smallMegabytes":   &m.SmallMegabytes,
		"largeMegabytes":   &m.LargeMegabytes,
		"restProcessor":    &m.RestProcessor,
		"largePromotion":   &m.LargePromotion,
		"spreadRounds":     &m.SpreadRounds,
		"claimBytes":       &m.ClaimBytes,
		"assignmentMillis": &m.AssignmentMillis,
		"recordBytes":      &m.RecordBytes,
		"wholeBytes":       &m.WholeBytes,
		"parseMillis":      &m.ParseMillis,
		"subRequestMicros": &m.SubRequestMicros,
	} {
		if !root.Has(key) {
			root.Problemf("", "%s is missing", key)
			continue
		}
		*field = root.NumberOr(key, 0)
	}
	return m, reader.Finish()
}

// Estimate is a row of the table: the estimated value of a quantity at full size, and
// how it comes about.
type Estimate struct {
	Role, Quantity, Formula string
	Value                   float64
	// Limit is the highest acceptable value, in Unit; 0 for none.
	Limit     float64
	Unit      string
	Mechanism string
}

// Estimates returns the rows of the table. Rows of a member, a gate or an entry are for
// one node, and the calls of the watchers for all watchers together. A factor of 2 in
// a number of bytes counts what a node sends and what it receives.
func Estimates(m Measurements) []Estimate {
	restartsPerSecond := float64(restartsPerDay) / secondsPerDay
	changesPerSecond := float64(changesPerDay) / secondsPerDay
	addedNodes := float64(nodes) - m.SmallNodes
	bytesSlope := (m.LargeBytes - m.SmallBytes) / (m.LargeNodes - m.SmallNodes)
	memorySlope := (m.LargeMegabytes - m.SmallMegabytes) / (m.LargeNodes - m.SmallNodes)
	idleBytesPerSecond := m.SmallBytes + bytesSlope*addedNodes
	// Each node sends each claim as often as member.GossipQueue allows, and on average
	// receives it as often.
	claimBytesPerSecond := restartsPerSecond * claimsPerRestart * 2 * gossipSendsFactor * (1 + math.Floor(math.Log2(nodes))) * m.ClaimBytes
	configBytesPerSecond := changesPerSecond * 2 * m.RecordBytes
	assignmentCores := restartsPerSecond * claimsPerRestart * m.AssignmentMillis / 1000 / assignmentRegions
	// A restarted node receives the record and a claim about each member from one peer.
	joinBytesPerSecond := restartsPerSecond / nodes * (m.WholeBytes + nodes*m.ClaimBytes) * 2
	parseCores := changesPerSecond * m.ParseMillis / 1000
	watchers := float64(zones * watchersPerZone)
	subRequests := float64(queriesPerSecond) * fanOut / nodes
	propagationSeconds := m.SpreadRounds / gossipRoundsPerSecond
	return []Estimate{
		{"member", "bytes at rest", "smallBytes + (largeBytes-smallBytes)/(largeNodes-smallNodes) * (2900-smallNodes)", idleBytesPerSecond, 0, "B/s", "exchange with one random member 4 times a second; digests, then buckets that differ"},
		{"member", "bytes for restarts", "1648/day * 4 claims * 2 directions * 3*(1+log2 2900) sends * claimBytes", claimBytesPerSecond, 0, "B/s", "claims sent along a bounded number of times"},
		{"member", "bytes for configurations", "2600/day * 2 directions * recordBytes", configBytesPerSecond, 0, "B/s", "delta to the version before, fetched from a peer once; whole record if the version before is not there"},
		{"member", "bytes for joining", "1648/day / 2900 * 2 * (wholeBytes + 2900 claims)", joinBytesPerSecond, 0, "B/s", "a new node fetches record and table once from a peer"},
		{"member", "bytes in all", "sum", idleBytesPerSecond + claimBytesPerSecond + configBytesPerSecond + joinBytesPerSecond, limitBytesPerSecond, "B/s", ""},
		{"member", "processor at rest", "largest measured", m.RestProcessor, 0, "cores", "ticks that look at no list of all members"},
		{"member", "processor for assignments", "1648/day * 4 claims / 4 regions * assignmentMillis", assignmentCores, 0, "cores", "rendezvous hashing with a load bound, by region"},
		{"member", "processor for configurations", "2600/day * parseMillis", parseCores, 0, "cores", "one parse of a document for each change"},
		{"member", "processor in all", "sum", m.RestProcessor + assignmentCores + parseCores, limitCPUCores, "cores", ""},
		{"member", "memory", "smallMegabytes + slope * (2900-smallNodes)", m.SmallMegabytes + memorySlope*addedNodes, limitMemoryMegabytes, "MB", "one row for each member; links to a bounded number of neighbors"},
		{"member", "configuration in force everywhere", "spreadRounds / 4 a second", propagationSeconds, limitPropagationSeconds, "s", "each exchange names the version; who is behind fetches"},
		{"watcher", "reads of the platform", "11 zones * 2 * (1/4 watches + 1 list) a second", watchers * (watchesPerSecond + listsPerSecond), limitReadsPerSecond, "calls/s", "one watcher a zone, three a region at least, so two a zone at most; by hash order, no lease"},
		{"watcher", "writes to the platform", "11 zones * 2 * 1/5 status + 2600/day", watchers*statusesPerSecond + changesPerSecond, limitWritesPerSecond, "calls/s", "one status object a zone"},
		{"watcher", "configuration object", "wholeBytes", m.WholeBytes / 1e6, 1, "MB", "compressed record"},
		{"gate", "services a node", "22000 / 3 replicas / 2900", float64(upstreams) / replicas / nodes, 0, "services", "assignment"},
		{"gate", "sub-requests a node", "590000 * 1000 / 2900", subRequests, 0, "a second", "batches of one request to one gate"},
		{"entry and gate", "processor for traffic", "sub-requests * subRequestMicros", subRequests * m.SubRequestMicros / 1e6, 0, "cores", "not control; what VMs are sized by"},
		{"caller library", "address calls", "1 each 10 s a caller", 0.1, 0, "calls/s", "list of 9 addresses kept for 10 s"},
	}
}

// Table returns the estimates as a Markdown table.
func Table(m Measurements) string {
	var b strings.Builder
	b.WriteString("| role | quantity | at full size | limit | headroom | formula | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, estimate := range Estimates(m) {
		limit, headroom := "", ""
		if estimate.Limit > 0 {
			limit = fmt.Sprintf("%g %s", estimate.Limit, estimate.Unit)
			headroom = fmt.Sprintf("%.1f times", estimate.Limit/estimate.Value)
		}
		fmt.Fprintf(&b, "| %s | %s | %.4g %s | %s | %s | %s | %s |\n",
			estimate.Role, estimate.Quantity, estimate.Value, estimate.Unit, limit, headroom, estimate.Formula, estimate.Mechanism)
	}
	return b.String()
}
