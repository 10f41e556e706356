package capacity

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/document"
)

var rewrite = flag.Bool("rewrite", false, "write the table into the page")

const (
	pagePath         = "../../docs/CAPACITY.md"
	measurementsPath = "../../docs/slopes.toml"
	tableStart       = "<!-- table from slopes.toml: go test ./internal/capacity -rewrite -->\n"
	tableEnd         = "<!-- end of table -->\n"
)

// TestPageMatchesSlopes checks that the table in CAPACITY.md is the one computed from
// slopes.toml. It fails if either the measurements or the formulas change without
// the page.
func TestPageMatchesSlopes(t *testing.T) {
	text, err := os.ReadFile(measurementsPath)
	if err != nil {
		t.Fatal(err)
	}
	measured, err := ReadMeasurements(text)
	if err != nil {
		t.Fatal(err)
	}
	old, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(old), tableStart)
	_, after, ended := strings.Cut(rest, tableEnd)
	if !found || !ended {
		t.Fatal("the page lacks the markers around the table")
	}
	updated := before + tableStart + Table(measured) + tableEnd + after
	if *rewrite {
		if err := os.WriteFile(pagePath, []byte(updated), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if updated != string(old) {
		t.Errorf("%s does not match %s: run go test ./internal/capacity -rewrite", pagePath, measurementsPath)
	}
}

// fullSizeDocument returns a document with 22,000 upstreams.
func fullSizeDocument() []byte {
	var b strings.Builder
	b.WriteString("name = \"full\"\n[[rank]]\nname = \"urgent\"\n")
	services := upstreams / replicas
	for index := range services * replicas / fanOut {
		fmt.Fprintf(&b, "[[index]]\nname = \"index-%d\"\nslots = 2\nconnections = 25\n", index)
		fmt.Fprintf(&b, "[[kind]]\nname = \"kind-%d\"\nrank = \"urgent\"\nindex = \"index-%d\"\ndeadline = \"1s\"\n", index, index)
	}
	indexes := services * replicas / fanOut
	for service := range services {
		fmt.Fprintf(&b, "[[service]]\nname = \"index-%d-%d\"\nindex = \"index-%d\"\nupstreams = [", service%indexes, service, service%indexes)
		for replica := range replicas {
			fmt.Fprintf(&b, "\"10.%d.%d.%d:8000\", ", replica, service/256, service%256)
		}
		b.WriteString("]\n")
	}
	return []byte(b.String())
}

// deltaSize returns the encoded size of the message that carries a change of one
// service, with a history of 32 entries, the longest that is kept.
func deltaSize(t *testing.T, text []byte) int {
	t.Helper()
	changed := strings.Replace(string(text), "10.1.14.200:8000", "10.9.9.9:8000", 1)
	record := promotion.Record{PromotionID: uuid.NewString(), Digest: document.Digest([]byte(changed)), Operator: "operator"}
	for version := range 32 {
		record.History = append(record.History, promotion.HistoryEntry{
			PromotionID: uuid.NewString(),
			Digest:      document.Digest([]byte{byte(version)}),
			Version:     uint64(version),
		})
	}
	withoutText, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	delta := promotion.ComputeDelta(string(text), changed)
	return proto.Size(&wire.Document{
		Version: 33, Record: withoutText, BaseVersion: 32,
		Prefix: uint32(delta.Prefix), Suffix: uint32(delta.Suffix), Middle: []byte(delta.Middle),
	})
}

// claimSize returns the encoded size of an exchange with a claim about one member.
func claimSize() int {
	return proto.Size(&wire.Exchange{Members: []*wire.Member{{
		Vm: "entry-2900", Incarnation: 1 << 60, Revision: 3, State: 1,
		AvailabilityZone: "almaty-region-a", Region: "almaty-region",
		CallerAddress: "10.100.100.100:7000", PeerAddress: "10.100.100.100:7100",
	}}})
}

// TestFullDocument checks that the record of a document of the expected full size
// fits into the platform's limit of 1 MiB for a value. It also logs the sizes and the
// time for slopes.toml.
func TestFullDocument(t *testing.T) {
	text := fullSizeDocument()
	start := time.Now()
	parsed, err := document.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	parseTime := time.Since(start)
	value, err := promotion.Record{PromotionID: "full", Digest: parsed.Digest(), Text: string(text)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d services, %d bytes of text, %d bytes of record, parsed in %v", len(parsed.Services), len(text), len(value), parseTime)
	t.Logf("%d bytes for a delta of one service, %d bytes for a claim", deltaSize(t, text), claimSize())
	if len(value) > 1<<20 {
		t.Errorf("the record has %d bytes, more than the 1 MiB of a platform value", len(value))
	}
}
