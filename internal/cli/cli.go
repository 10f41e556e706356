// Package cli implements the command line of the program.
package cli

import (
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// version is the release version of the program.
const version = "0.1.0"

// Streams are the output streams of a command.
type Streams struct {
	// Out receives results.
	Out io.Writer
	// Err receives messages, and logs except those of the command "node", which
	// logs to Out.
	Err io.Writer
}

// command runs a subcommand and returns its exit code. Main overrides the code if
// there is an error: errHelp becomes exitDone, errUsage exitUsage, and any other error
// at least exitFailed.
type command func(arguments []string, streams Streams) (int, error)

// commands returns the subcommands by name.
func commands() map[string]command {
	return map[string]command{
		"local":    runLocal,
		"node":     runNode,
		"query":    runQuery,
		"check":    runCheck,
		"trial":    runTrial,
		"promote":  runPromote,
		"status":   runStatus,
		"timeline": runTimeline,
		"explain":  runExplain,
		"load":     runLoad,
		"version":  runVersion,
	}
}

// Main runs the program and returns its exit code.
func Main(arguments []string, streams Streams) int {
	if len(arguments) == 0 {
		fmt.Fprint(streams.Err, usage)
		return exitUsage
	}
	name := arguments[0]
	if name == "-h" || name == "-help" || name == "--help" || name == "help" {
		fmt.Fprint(streams.Out, usage)
		return exitDone
	}
	run, found := commands()[name]
	if !found {
		fmt.Fprintf(streams.Err, "bronzereach: unknown command %q\n\n%s", name, usage)
		return exitUsage
	}
	code, err := run(arguments[1:], streams)
	switch {
	case errors.Is(err, errHelp):
		return exitDone
	case errors.Is(err, errUsage):
		fmt.Fprintf(streams.Err, "bronzereach %s: %v\n", name, err)
		return exitUsage
	case err != nil:
		fmt.Fprintf(streams.Err, "bronzereach %s: %v\n", name, err)
		return max(code, exitFailed)
	default:
		return code
	}
}

// newLog returns a logger that writes each event as a line of key=value pairs.
func newLog(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(w, nil))
}

func runVersion(arguments []string, streams Streams) (int, error) {
	if len(arguments) > 0 {
		return exitUsage, errors.WithMessage(errUsage, "version takes no arguments")
	}
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	fmt.Fprintf(streams.Out, "bronzereach %s (%s)\n", version, goVersion)
	return exitDone, nil
}
