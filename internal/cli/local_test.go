package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/bronzereach/bronzereach/pkg/answer"
)

// runMain runs the program and returns its exit code and standard output.
func runMain(arguments ...string) (code int, out []byte) {
	var stdout, stderr bytes.Buffer
	code = Main(arguments, Streams{Out: &stdout, Err: &stderr})
	return code, stdout.Bytes()
}

// grepCount returns the number of lines of the file that grep finds the text in.
func grepCount(t *testing.T, text, file string) int {
	t.Helper()
	out, err := exec.Command("grep", "-a", "-c", "-F", "--", text, file).Output()
	if len(out) == 0 {
		t.Fatalf("grep: %v", err)
	}
	count, err := strconv.Atoi(strings.TrimSpace(string(out)))
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// TestLocalCountsLikeGrep checks that "local" finds as many lines as grep, in files
// with unusual line endings and bytes and in files of the Go distribution.
func TestLocalCountsLikeGrep(t *testing.T) {
	contentsByName := map[string]string{
		"crlf":    "one\r\ntwo\r\n\r\ntwo one\r\n",
		"noEnd":   "one\ntwo\none two",
		"empty":   "",
		"blank":   "\n\n\n",
		"invalid": "a\xff\xfeb one\n\x00one\x00\nnone\n",
		"long":    strings.Repeat("x", 3<<20) + "one" + strings.Repeat("y", 3<<20) + "\none\n",
		"twice":   "one\none\none\n",
	}
	folder := t.TempDir()
	var files []string
	for name, text := range contentsByName {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, path)
	}
	for _, real := range []string{"LICENSE", "src/unicode/tables.go", "src/net/http/transport.go"} {
		files = append(files, filepath.Join(goRoot(t), real))
	}
	for _, file := range files {
		for _, text := range []string{"one", "\r", "the"} {
			checkLikeGrep(t, file, text)
		}
	}
}

func goRoot(t *testing.T) string {
	t.Helper()
	out, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(out))
}

// checkLikeGrep compares the records that "local" finds in the file with grep.
func checkLikeGrep(t *testing.T, file, text string) {
	t.Helper()
	code, out := runMain("local", "-data", file, "-query", text, "-nodes", "2", "-replicas", "2")
	if code != exitDone {
		t.Fatalf("%s: exit code %d", file, code)
	}
	var a answer.Answer
	if err := json.Unmarshal(out, &a); err != nil {
		t.Fatal(err)
	}
	if want := grepCount(t, text, file); len(a.Records) != want {
		t.Errorf("%s: %d records with %q, grep counts %d", file, len(a.Records), text, want)
	}
	if a.Status != answer.Ran || !a.Coverage.Complete || a.Coverage.Fraction != 1 {
		t.Errorf("%s: status %s, coverage %+v", file, a.Status, a.Coverage)
	}
	for _, record := range a.Records {
		if !bytes.Contains(record, []byte(text)) {
			t.Errorf("%s: record %q does not contain %q", file, record, text)
		}
	}
}

// TestWrongUseStartsNothing checks that invalid arguments and unreadable files end the
// program with exitUsage before it starts anything.
func TestWrongUseStartsNothing(t *testing.T) {
	for _, arguments := range [][]string{
		{},
		{"nonsense"},
		{"local"},
		{"local", "-data", "/does/not/exist"},
		{"local", "-data", t.TempDir()},
		{"local", "-data", "local_test.go", "-query", ""},
		{"local", "-data", "local_test.go", "-shards", "0"},
		{"local", "-data", "local_test.go", "-bad"},
		{"local", "-data", "local_test.go", "extra"},
		{"query", "-nodes", "127.0.0.1:1"},
		{"node", "-settings", "/does/not/exist"},
		{"check", "-document", "/does/not/exist"},
		{"version", "extra"},
	} {
		if code, _ := runMain(arguments...); code != exitUsage {
			t.Errorf("%q: exit code %d, want %d", arguments, code, exitUsage)
		}
	}
}
