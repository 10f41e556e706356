package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/local"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/caller"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// runLocal runs a local system that serves the lines of a file. With -query it sends
// that query and prints the answer, otherwise it serves until a signal.
func runLocal(arguments []string, streams Streams) (int, error) {
	options, err := parseLocal(arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	data, err := readData(options.data)
	if err != nil {
		return exitUsage, errors.WithMessage(errUsage, err.Error())
	}
	ctx := untilSignal()
	system, err := local.Start(ctx, local.Config{
		Document: local.SearchDocument(options.shards, options.replicas),
		Contents: local.SearchContents(standin.SplitLines(data), options.shards),
		Nodes:    options.nodes,
		Zones:    options.nodes,
		Seed:     1,
		Log:      newLog(streams.Err),
	})
	if err != nil {
		return exitFailed, err
	}
	defer system.Stop()
	if !options.hasQuery {
		return serveUntilSignal(ctx, system, streams)
	}
	client := caller.New(caller.Config{Seeds: system.Addresses()})
	a, err := client.Query(ctx, query.Request{Kind: "search", Query: query.Text(options.query), Caller: "local"})
	if err != nil {
		return exitFailed, err
	}
	return printAnswer(streams.Out, a)
}

// readData reads a file. For a directory it returns an error that says so.
func readData(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if info.IsDir() {
		return nil, errors.Errorf("%s is a directory", path)
	}
	data, err := os.ReadFile(path)
	return data, errors.WithStack(err)
}

// serveUntilSignal prints how to call the system and waits for a signal.
func serveUntilSignal(ctx context.Context, system *local.System, streams Streams) (int, error) {
	addresses := addressList(system.Addresses())
	fmt.Fprintf(streams.Out, `Serving. Ask with:
  bronzereach query -nodes %s -kind search -query TEXT
  curl -s http://%s/v1/query -d '{"kind":"search","query":"TEXT"}'
  bronzereach status -nodes %s
`, addresses[0], addresses[0], addresses.String())
	<-ctx.Done()
	return exitDone, nil
}

// printAnswer writes the answer as one JSON document and returns the exit code for
// it.
func printAnswer(out io.Writer, a *answer.Answer) (int, error) {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(a); err != nil {
		return exitFailed, errors.WithStack(err)
	}
	return exitCodeOf(a), nil
}

func exitCodeOf(a *answer.Answer) int {
	switch {
	case a.Status == answer.NotRun:
		return exitNotRun
	case a.Status == answer.Unknown:
		return exitUnknown
	case !a.Coverage.Complete:
		return exitIncomplete
	default:
		return exitDone
	}
}
