package cli

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// signalledArguments is the environment variable that makes a test a child process, with
// the arguments of the command that it runs.
const signalledArguments = "BRONZEREACH_TEST_SIGNALLED"

// slowExit is how long the child takes between the end of its command and its exit.
const slowExit = 100 * time.Millisecond

// TestSignalBeforeTheExitChangesNoExitCode: a signal that arrives when the command has
// ended, but the process is not gone yet, doesn't kill it.
func TestSignalBeforeTheExitChangesNoExitCode(t *testing.T) {
	if arguments := os.Getenv(signalledArguments); arguments != "" {
		code, _ := runMain(strings.Fields(arguments)...)
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		time.Sleep(slowExit)
		os.Exit(code)
	}
	for _, test := range []struct {
		arguments string
		code      int
	}{
		{"node -settings /does/not/exist", exitUsage},
		{"local -data signals_test.go -query TestSignal", exitDone},
	} {
		command := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
		command.Env = append(os.Environ(), signalledArguments+"="+test.arguments)
		var out bytes.Buffer
		command.Stdout, command.Stderr = &out, &out
		err := command.Run()
		if code := command.ProcessState.ExitCode(); code != test.code {
			t.Errorf("%s: ended with %d, %v, want %d: %s", test.arguments, code, err, test.code, out.String())
		}
	}
}
