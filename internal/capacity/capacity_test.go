package capacity

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/promotion"
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
	value, err := promotion.Record{Promotion: "full", Digest: parsed.Digest(), Text: string(text)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d services, %d bytes of text, %d bytes of record, parsed in %v", len(parsed.Services), len(text), len(value), took)
	if len(value) > 1<<20 {
		t.Errorf("the record has %d bytes, a value holds 1 MB", len(value))
	}
}
