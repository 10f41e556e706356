package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func TestGracePeriodOfTheSupervisor(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "s": 0, "6s": 6 * time.Second, "1500ms": 1500 * time.Millisecond} {
		t.Setenv(graceVariable, text)
		options, err := parseNode([]string{"-settings", "node.toml"}, io.Discard)
		if err != nil || options.gracePeriod != want {
			t.Errorf("%q: got %s, %v", text, options.gracePeriod, err)
		}
	}
	for _, text := range []string{"6", "-1s", "0s", "soon"} {
		t.Setenv(graceVariable, text)
		if _, err := parseNode([]string{"-settings", "node.toml"}, io.Discard); !errors.Is(err, errUsage) {
			t.Errorf("%q: got %v", text, err)
		}
	}
}

// TestCheckRefusesTooLittleMemory: settings with which not even one of the largest replies fits
// are refused; those of the users' sites are not.
func TestCheckRefusesTooLittleMemory(t *testing.T) {
	const foreign = "vm = \"vm-1\"\navailabilityZone = \"z\"\ncallerAddress = \"a:1\"\npeerAddress = \"a:2\"\n" +
		"[foreign]\nstore = \"a:3\"\nreadiness = \"a:4\"\ndirectory = \"a:5\"\nmetrics = \"a:6\"\nmemoryMegabytes = %d\n"
	for megabytes, want := range map[int]int{30: exitUsage, 60: exitUsage, 71: exitDone, 184: exitDone, 284: exitDone} {
		file := filepath.Join(t.TempDir(), "node.toml")
		if err := os.WriteFile(file, fmt.Appendf(nil, foreign, megabytes), 0o600); err != nil {
			t.Fatal(err)
		}
		if code, out := runMain("check", "-settings", file); code != want {
			t.Errorf("%d MB: exit code %d, want %d: %s", megabytes, code, want, out)
		}
	}
}
