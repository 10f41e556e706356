// Package capacity works out what the system costs at the size that its users
// expect within two years, from slopes measured on one machine.
package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// The expected size.
const (
	nodes         = 2900
	upstreams     = 22_000
	queriesSecond = 590_000
	fanOut        = 1000
	regions       = 4
	zones         = 11
	changesDay    = 2600
	restartsDay   = 48 + 1600
	daySeconds    = 86_400
)

// What control may cost a node.
const (
	limitProcessor = 0.04
	limitMegabytes = 256
	limitBytes     = 10_000
	limitSeconds   = 19
	limitReads     = 2000
	limitWrites    = 300
)

// Parts of the mechanisms that the formulas count on.
const (
	// replicas is the number of upstreams of a service.
	replicas = 3
	// claimsARestart is the number of claims that spread for one restart:
	// leaving or suspect, dead, joining, ready.
	claimsARestart = 4
	// sendsFactor is how often a claim is sent by each node, as a multiple of
	// the logarithm of the members; see member.Spread.
	sendsFactor = 3
	// watchersPerZone and their calls a second: a watch of 4 s, the VM list each
	// second, a status object each 5 s.
	watchersPerZone   = 2
	watchesASecond    = 1.0 / 4
	listsASecond      = 1.0
	statusesASecond   = 1.0 / 5
	gossipASecond     = 4.0
	assignmentRegions = regions
)

// Slopes are the measured figures.
type Slopes struct {
	// At rest, by node: bytes and calls a second, processor as a fraction of a
	// core, megabytes; at a small and at a large number of nodes.
	SmallNodes, LargeNodes         float64
	SmallBytes, LargeBytes         float64
	SmallMegabytes, LargeMegabytes float64
	RestProcessor                  float64
	// LargePromotion is the time until the last node had a configuration, in
	// milliseconds, at LargeNodes.
	LargePromotion float64
	// SpreadRounds is the number of gossip rounds until all of 2,900 tables
	// have a change.
	SpreadRounds float64
	// ClaimBytes is the size of one member's claim on a link.
	ClaimBytes float64
	// AssignmentMillis is the time of one assignment of a region's members and
	// all services.
	AssignmentMillis float64
	// RecordBytes is the size of a change of a configuration of 22,000 upstreams
	// on a link, WholeBytes that of the whole record, and ParseMillis the time to
	// read it.
	RecordBytes float64
	WholeBytes  float64
	ParseMillis float64
	// SubRequestMicros is processor time of all nodes for one sub-request at
	// 1,000 shards.
	SubRequestMicros float64
}

// ReadSlopes reads the slopes from their file.
func ReadSlopes(text []byte) (slopes Slopes, err error) {
	defer util.Annotate(&err, "slopes")
	reader, err := document.NewReader(text)
	if err != nil {
		return slopes, err
	}
	root := reader.Root()
	for key, field := range map[string]*float64{
		"smallNodes":       &slopes.SmallNodes,
		"largeNodes":       &slopes.LargeNodes,
		"smallBytes":       &slopes.SmallBytes,
		"largeBytes":       &slopes.LargeBytes,
		"smallMegabytes":   &slopes.SmallMegabytes,
		"largeMegabytes":   &slopes.LargeMegabytes,
		"restProcessor":    &slopes.RestProcessor,
		"largePromotion":   &slopes.LargePromotion,
		"spreadRounds":     &slopes.SpreadRounds,
		"claimBytes":       &slopes.ClaimBytes,
		"assignmentMillis": &slopes.AssignmentMillis,
		"recordBytes":      &slopes.RecordBytes,
		"wholeBytes":       &slopes.WholeBytes,
		"parseMillis":      &slopes.ParseMillis,
		"subRequestMicros": &slopes.SubRequestMicros,
	} {
		if !root.Has(key) {
			root.Problemf("", "%s is missing", key)
			continue
		}
		*field = root.NumberOr(key, 0)
	}
	return slopes, reader.Finish()
}

// Line is one row of the table.
type Line struct {
	Role, Quantity, Formula string
	Value                   float64
	// Limit is 0 if none is given.
	Limit     float64
	Unit      string
	Mechanism string
}

// Lines works the table out.
func Lines(s Slopes) []Line {
	restartsSecond := float64(restartsDay) / daySeconds
	changesSecond := float64(changesDay) / daySeconds
	perNode := float64(nodes) - s.SmallNodes
	bytesSlope := (s.LargeBytes - s.SmallBytes) / (s.LargeNodes - s.SmallNodes)
	memorySlope := (s.LargeMegabytes - s.SmallMegabytes) / (s.LargeNodes - s.SmallNodes)
	rest := s.SmallBytes + bytesSlope*perNode
	claims := restartsSecond * claimsARestart * 2 * sendsFactor * (1 + math.Floor(math.Log2(nodes))) * s.ClaimBytes
	config := changesSecond * 2 * s.RecordBytes
	assignment := restartsSecond * claimsARestart * s.AssignmentMillis / 1000 / assignmentRegions
	joins := restartsSecond / nodes * (s.WholeBytes + nodes*s.ClaimBytes) * 2
	parse := changesSecond * s.ParseMillis / 1000
	watchers := float64(zones * watchersPerZone)
	subRequests := float64(queriesSecond) * fanOut / nodes
	spread := s.SpreadRounds / gossipASecond
	return []Line{
		{"member", "bytes at rest", "smallBytes + (largeBytes-smallBytes)/(largeNodes-smallNodes) * (2900-smallNodes)", rest, 0, "B/s", "exchange with one random member 4 times a second; digests, then buckets that differ"},
		{"member", "bytes for restarts", "1648/day * 4 claims * 2 directions * 3*(1+log2 2900) sends * claimBytes", claims, 0, "B/s", "claims sent along a bounded number of times"},
		{"member", "bytes for configurations", "2600/day * 2 directions * recordBytes", config, 0, "B/s", "delta to the version before, fetched from a peer once; whole record if the version before is not there"},
		{"member", "bytes for joining", "1648/day / 2900 * 2 * (wholeBytes + 2900 claims)", joins, 0, "B/s", "a new node fetches record and table once from a peer"},
		{"member", "bytes in all", "sum", rest + claims + config + joins, limitBytes, "B/s", ""},
		{"member", "processor at rest", "largest measured", s.RestProcessor, 0, "cores", "ticks that look at no list of all members"},
		{"member", "processor for assignments", "1648/day * 4 claims / 4 regions * assignmentMillis", assignment, 0, "cores", "rendezvous hashing with a load bound, by region"},
		{"member", "processor for configurations", "2600/day * parseMillis", parse, 0, "cores", "one parse of a document for each change"},
		{"member", "processor in all", "sum", s.RestProcessor + assignment + parse, limitProcessor, "cores", ""},
		{"member", "memory", "smallMegabytes + slope * (2900-smallNodes)", s.SmallMegabytes + memorySlope*perNode, limitMegabytes, "MB", "one row and at most two links for each member"},
		{"member", "configuration in force everywhere", "spreadRounds / 4 a second", spread, limitSeconds, "s", "each exchange names the version; who is behind fetches"},
		{"watcher", "reads of the platform", "11 zones * 2 * (1/4 watches + 1 list) a second", watchers * (watchesASecond + listsASecond), limitReads, "calls/s", "one watcher a zone, three a region at least, so two a zone at most; by hash order, no lease"},
		{"watcher", "writes to the platform", "11 zones * 2 * 1/5 status + 2600/day", watchers*statusesASecond + changesSecond, limitWrites, "calls/s", "one status object a zone"},
		{"watcher", "configuration object", "wholeBytes", s.WholeBytes / 1e6, 1, "MB", "compressed record"},
		{"gate", "services a node", "22000 / 3 replicas / 2900", float64(upstreams) / replicas / nodes, 0, "services", "assignment"},
		{"gate", "sub-requests a node", "590000 * 1000 / 2900", subRequests, 0, "a second", "batches of one request to one gate"},
		{"entry and gate", "processor for traffic", "sub-requests * subRequestMicros", subRequests * s.SubRequestMicros / 1e6, 0, "cores", "not control; what VMs are sized by"},
		{"caller library", "address calls", "1 each 10 s a caller", 0.1, 0, "calls/s", "list of 9 addresses kept for 10 s"},
	}
}

// Table writes the lines as a Markdown table.
func Table(s Slopes) string {
	var b strings.Builder
	b.WriteString("| role | quantity | at full size | limit | headroom | formula | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, line := range Lines(s) {
		limit, headroom := "", ""
		if line.Limit > 0 {
			limit = fmt.Sprintf("%g %s", line.Limit, line.Unit)
			headroom = fmt.Sprintf("%.1f times", line.Limit/line.Value)
		}
		fmt.Fprintf(&b, "| %s | %s | %.4g %s | %s | %s | %s | %s |\n",
			line.Role, line.Quantity, line.Value, line.Unit, limit, headroom, line.Formula, line.Mechanism)
	}
	return b.String()
}
