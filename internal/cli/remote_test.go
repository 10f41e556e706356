package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/local"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// startLocal starts a local system of two nodes with three records.
func startLocal(t *testing.T) *local.System {
	t.Helper()
	const shards = 3
	system, err := local.Start(context.Background(), local.Config{
		Document: local.SearchDocument(shards, 2),
		Contents: local.SearchContents([][]byte{[]byte("blue heron"), []byte("red fox"), []byte("blue tit")}, shards),
		Nodes:    2,
		Zones:    2,
		Log:      logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(system.Stop)
	return system
}

// TestCommands runs the commands against a local system and checks their exit codes
// and a part of their output.
func TestCommands(t *testing.T) {
	system := startLocal(t)
	nodes := strings.Join(system.Addresses(), ",")
	code, out := runMain("query", "-nodes", nodes, "-kind", "search", "-query", "blue")
	var a answer.Answer
	if err := json.Unmarshal(out, &a); err != nil || code != exitDone || len(a.Records) != 2 {
		t.Fatalf("query: exit code %d, %s", code, out)
	}
	file := filepath.Join(t.TempDir(), "answer.json")
	if err := os.WriteFile(file, out, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		arguments []string
		code      int
		want      string
	}{
		{[]string{"query", "-nodes", nodes, "-kind", "nonsense"}, exitNotRun, `"noSuchKind"`},
		{[]string{"explain", file}, exitDone, "Coverage: 1.0000"},
		{[]string{"explain", "-nodes", nodes, file}, exitDone, "Confirmed"},
		{[]string{"timeline", "-nodes", nodes, "-request", a.RequestID}, exitDone, "event=requestAnswered"},
		{[]string{"timeline", "-nodes", nodes + ",127.0.0.1:1"}, exitIncomplete, "event=configApplied"},
		{[]string{"status", "-nodes", nodes}, exitDone, "ready"},
		{[]string{"status", "-nodes", "127.0.0.1:1"}, exitFailed, "unreachable"},
		{[]string{"explain", "remote_test.go"}, exitUsage, ""},
		{[]string{"version"}, exitDone, "bronzereach"},
		{[]string{"help"}, exitDone, "promote"},
		{[]string{"load", "-h"}, exitDone, ""},
	} {
		code, out := runMain(test.arguments...)
		if code != test.code || !strings.Contains(string(out), test.want) {
			t.Errorf("%q: exit code %d, want %d with %q in\n%s", test.arguments, code, test.code, test.want, out)
		}
	}
}

// TestTrialThenPromote takes a changed document through check, trial and promotion.
// A promotion before the trial or on an outdated base is refused, and a trial whose
// check finds too few records fails.
func TestTrialThenPromote(t *testing.T) {
	system := startLocal(t)
	value, _ := system.Platform.Load(promotion.ConfigKey(local.Environment))
	record, err := promotion.DecodeRecord(value)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "document.toml")
	text := record.Text + "\n[[check]]\nkind = \"search\"\nquery = \"blue\"\nminimumRecords = 2\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	node := system.Addresses()[0]
	arguments := []string{"-node", node, "-operator", "ana", "-document", file}
	if code, out := runMain("check", "-document", file); code != exitDone {
		t.Errorf("check: %d %s", code, out)
	}
	if code, out := runMain(append([]string{"promote"}, arguments...)...); code != exitNotRun || !bytes.Contains(out, []byte("notTrialled")) {
		t.Errorf("promote before trial: %d %s", code, out)
	}
	if code, out := runMain(append([]string{"trial"}, arguments...)...); code != exitDone || !bytes.Contains(out, []byte(`"passed": true`)) {
		t.Errorf("trial: %d %s", code, out)
	}
	if code, out := runMain(append([]string{"promote"}, arguments...)...); code != exitDone || !bytes.Contains(out, []byte(`"accepted"`)) {
		t.Errorf("promote: %d %s", code, out)
	}
	if code, out := runMain(append([]string{"promote", "-base", "1"}, arguments...)...); code != exitNotRun || !bytes.Contains(out, []byte(`"conflict"`)) {
		t.Errorf("promote on an outdated base: %d %s", code, out)
	}
	if err := os.WriteFile(file, []byte(strings.Replace(text, "minimumRecords = 2", "minimumRecords = 3", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := runMain(append([]string{"trial"}, arguments...)...); code != exitFailed || !bytes.Contains(out, []byte("fewer than 3 records")) {
		t.Errorf("trial that must fail: %d %s", code, out)
	}
}

// TestBadRequests checks that malformed requests are refused with a suitable code,
// that a client that sends its header slowly doesn't delay others, and that its
// connection is closed.
func TestBadRequests(t *testing.T) {
	system := startLocal(t)
	address := system.Addresses()[0]
	url := "http://" + address + "/v1/query"
	for _, test := range []struct {
		body   string
		status int
		code   answer.Code
	}{
		{"", http.StatusBadRequest, answer.CodeInvalid},
		{"{", http.StatusBadRequest, answer.CodeInvalid},
		{`{"kind":"search","query":7}`, http.StatusBadRequest, answer.CodeInvalid},
		{`{"kind":"search","unknown":1}`, http.StatusBadRequest, answer.CodeInvalid},
		{`{"kind":"search","deadlineMillis":-1}`, http.StatusBadRequest, answer.CodeInvalid},
		{`{"kind":"absent"}`, http.StatusNotFound, answer.CodeNoSuchKind},
		{`{"kind":"search","query":"` + strings.Repeat("x", query.MaximumBodyBytes) + `"}`, http.StatusRequestEntityTooLarge, answer.CodeTooLarge},
	} {
		response, err := http.Post(url, "application/json", strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		var a answer.Answer
		err = json.NewDecoder(response.Body).Decode(&a)
		response.Body.Close()
		if err != nil || response.StatusCode != test.status || a.Error == nil || a.Error.Code != test.code || a.Status != answer.NotRun {
			t.Errorf("%.40q: status %d, %+v", test.body, response.StatusCode, a.Error)
		}
	}
	slow, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	fmt.Fprintf(slow, "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-")
	if code, out := runMain("query", "-nodes", address, "-kind", "search", "-query", "red"); code != exitDone {
		t.Errorf("query during a slow request: %d %s", code, out)
	}
	if err := slow.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(slow); err != nil {
		t.Errorf("the connection of the slow request was not closed: %v", err)
	}
}

// TestExamplePlans runs one of the example plans for half a second, and checks that
// a document is refused as a plan.
func TestExamplePlans(t *testing.T) {
	plans, err := filepath.Glob("../../examples/*[a-z]Half.toml")
	if err != nil || len(plans) != 2 {
		t.Fatalf("%v %v", plans, err)
	}
	plot := filepath.Join(t.TempDir(), "plot.svg")
	code, out := runMain("load", "-plan", plans[0], "-seconds", "0.5", "-json", "-plot", plot)
	if code != exitDone || !bytes.Contains(out, []byte(`"patternLookup"`)) {
		t.Errorf("load: %d %s", code, out)
	}
	if info, err := os.Stat(plot); err != nil || info.Size() == 0 {
		t.Errorf("no plot: %v", err)
	}
	if code, _ := runMain("load", "-plan", "../../examples/sadykov.toml"); code != exitUsage {
		t.Errorf("load with a document as the plan: exit code %d, want exitUsage", code)
	}
}

// TestEndlessResponseOfANodeIsGivenUp guards against a node, or what answers at its address,
// that sends bytes without end: a command ends with an error and does not keep them all.
func TestEndlessResponseOfANodeIsGivenUp(t *testing.T) {
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := bytes.Repeat([]byte(" "), 1<<20)
		for sent.Load() < 4*maxResponseBytes {
			n, err := w.Write(block)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	code, out := runMain("status", "-nodes", strings.TrimPrefix(server.URL, "http://"))
	if code == exitDone {
		t.Errorf("exit code %d: %s", code, out)
	}
	if got := sent.Load(); got > 2*maxResponseBytes {
		t.Errorf("%d bytes were taken", got)
	}
}
