package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/local"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/caller"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// runLocal serves the lines of a file in one process.
func runLocal(arguments []string, streams Streams) (int, error) {
	options, err := parseLocal(arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	data, err := readData(options.data)
	if err != nil {
		return exitUsage, errors.WithMessage(errUsage, err.Error())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
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
		return stayLocal(ctx, system, streams)
	}
	client := caller.New(caller.Config{Seeds: system.Addresses()})
	a, err := client.Query(ctx, query.Request{Kind: "search", Query: query.Text(options.query), Caller: "local"})
	if err != nil {
		return exitFailed, err
	}
	return printAnswer(streams.Out, a)
}

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

// stayLocal tells how to call the system and waits for a signal.
func stayLocal(ctx context.Context, system *local.System, streams Streams) (int, error) {
	addresses := addressList(system.Addresses())
	fmt.Fprintf(streams.Out, `Serving. Ask with:
  bronzereach query -nodes %s -kind search -query TEXT
  curl -s http://%s/v1/query -d '{"kind":"search","query":"TEXT"}'
  bronzereach status -nodes %s
`, addresses[0], addresses[0], addresses.String())
	<-ctx.Done()
	return exitDone, nil
}

// printAnswer writes the answer as one JSON document and returns its exit code.
func printAnswer(out io.Writer, a *answer.Answer) (int, error) {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(a); err != nil {
		return exitFailed, errors.WithStack(err)
	}
	return exitOf(a), nil
}

func exitOf(a *answer.Answer) int {
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
