// Package cli is the command line of the program.
package cli

import (
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// version is the release that the program belongs to.
const version = "0.1.0"

// Streams are where a command writes.
type Streams struct {
	// Out takes results.
	Out io.Writer
	// Err takes logs and messages.
	Err io.Writer
}

// command runs one subcommand and returns its exit code. An errUsage makes
// that code exitUsage.
type command func(arguments []string, streams Streams) (int, error)

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

// newLog returns a log that writes one line of key=value pairs an event.
func newLog(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(w, nil))
}

func runVersion(arguments []string, streams Streams) (int, error) {
	if len(arguments) > 0 {
		return exitUsage, errors.WithMessage(errUsage, "version takes no arguments")
	}
	golang := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		golang = info.GoVersion
	}
	fmt.Fprintf(streams.Out, "bronzereach %s (%s)\n", version, golang)
	return exitDone, nil
}
