package cli

import (
	"io"
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
