package proof

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestReloadAtStart sends SIGHUP, the signal to reload the settings, as soon as a
// node has written its first line, and checks that the node keeps running. A SIGHUP
// that arrived before the node caught the signal used to kill it. The soak test with
// seed 2018 found this by a SIGHUP within 400 ms of a restart.
func TestReloadAtStart(t *testing.T) {
	for i := range 5 {
		file := filepath.Join(t.TempDir(), "node.toml")
		settings := fmt.Sprintf("vm = \"vm-%d\"\navailabilityZone = \"zone\"\ncallerAddress = %q\npeerAddress = %q\nplatform = \"http://127.0.0.1:1\"\n",
			i, freeAddress(t, "127.0.0.1"), freeAddress(t, "127.0.0.1"))
		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		command := exec.Command(program, "node", "-settings", file)
		output, err := command.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(output).ReadString('\n'); err != nil {
			t.Error(err)
		}
		_ = command.Process.Signal(syscall.SIGHUP)
		time.Sleep(200 * time.Millisecond)
		if err := command.Process.Signal(syscall.Signal(0)); err != nil {
			t.Error(err)
		}
		_ = command.Process.Kill()
		if err := command.Wait(); err == nil || err.Error() != "signal: killed" {
			t.Errorf("the node ended with %v, want \"signal: killed\"", err)
		}
	}
}
