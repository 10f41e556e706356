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
	page   = "../../docs/CAPACITY.md"
	slopes = "../../docs/slopes.toml"
	begin  = "<!-- table from slopes.toml: go test ./internal/capacity -rewrite -->\n"
	end    = "<!-- end of table -->\n"
)

// TestPageMatchesSlopes recomputes the table, so that the page can't drift.
func TestPageMatchesSlopes(t *testing.T) {
	text, err := os.ReadFile(slopes)
	if err != nil {
		t.Fatal(err)
	}
	measured, err := ReadSlopes(text)
	if err != nil {
		t.Fatal(err)
	}
	old, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(old), begin)
	_, after, ended := strings.Cut(rest, end)
	if !found || !ended {
		t.Fatal("the page has no place for the table")
	}
	fresh := before + begin + Table(measured) + end + after
	if *rewrite {
		if err := os.WriteFile(page, []byte(fresh), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if fresh != string(old) {
		t.Errorf("%s does not match %s: run go test ./internal/capacity -rewrite", page, slopes)
	}
}

// fullDocument is an environment of 22,000 upstreams.
func fullDocument() []byte {
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

// deltaSize is the size of the message that brings a change of one service,
// with a history as long as it gets.
func deltaSize(t *testing.T, text []byte) int {
	t.Helper()
	fresh := strings.Replace(string(text), "10.1.14.200:8000", "10.9.9.9:8000", 1)
	record := promotion.Record{PromotionID: uuid.NewString(), Digest: document.Digest([]byte(fresh)), Operator: "operator"}
	for version := range 32 {
		record.History = append(record.History, promotion.HistoryEntry{
			PromotionID: uuid.NewString(),
			Digest:      document.Digest([]byte{byte(version)}),
			Version:     uint64(version),
		})
	}
	bare, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	delta := promotion.ComputeDelta(string(text), fresh)
	return proto.Size(&wire.Document{
		Version: 33, Record: bare, BaseVersion: 32,
		Prefix: uint32(delta.Prefix), Suffix: uint32(delta.Suffix), Middle: []byte(delta.Middle),
	})
}

// claimSize is the size of a member's claim in an exchange.
func claimSize() int {
	return proto.Size(&wire.Exchange{Members: []*wire.Member{{
		Vm: "entry-2900", Incarnation: 1 << 60, Revision: 3, State: 1,
		AvailabilityZone: "almaty-region-a", Region: "almaty-region",
		CallerAddress: "10.100.100.100:7000", PeerAddress: "10.100.100.100:7100",
	}}})
}

// TestFullDocument checks that a document of the full size fits into a value of
// the platform.
func TestFullDocument(t *testing.T) {
	text := fullDocument()
	start := time.Now()
	parsed, err := document.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	took := time.Since(start)
	value, err := promotion.Record{PromotionID: "full", Digest: parsed.Digest(), Text: string(text)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d services, %d bytes of text, %d bytes of record, parsed in %v", len(parsed.Services), len(text), len(value), took)
	t.Logf("%d bytes of a delta of one service, %d bytes of a claim", deltaSize(t, text), claimSize())
	if len(value) > 1<<20 {
		t.Errorf("the record has %d bytes, a value holds 1 MB", len(value))
	}
}
