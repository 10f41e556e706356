package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/pkg/answer"
)

// slowestShardCount is the number of slowest shards that an explanation lists.
const slowestShardCount = 3

// runExplain prints how an answer came about. It uses the answer alone and, if nodes
// are given, compares the answer with their events.
func runExplain(arguments []string, streams Streams) (int, error) {
	options, err := parseInspect("explain", arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	text, err := os.ReadFile(options.file)
	if err != nil {
		return exitUsage, errors.WithMessage(errUsage, err.Error())
	}
	var a answer.Answer
	if err := json.Unmarshal(text, &a); err != nil || a.Status == "" {
		return exitUsage, errors.WithMessagef(errUsage, "%s does not hold an answer in JSON", options.file)
	}
	printExplanation(streams.Out, &a)
	if len(options.nodes) == 0 {
		return exitDone, nil
	}
	events, failed := fetchEvents(options.nodes, timeline.Filter{RequestID: a.RequestID})
	return compareWithEvents(streams.Out, &a, events, failed), nil
}

// printExplanation writes what the answer itself says about its origin.
func printExplanation(out io.Writer, a *answer.Answer) {
	received := time.UnixMicro(a.Times.ReceivedMicros).UTC()
	fmt.Fprintf(out, "Request %s of kind %q reached node %s at %s and was answered after %v.\n",
		a.RequestID, a.Kind, a.Node, received.Format(time.RFC3339Nano), time.Duration(a.Times.TookMicros)*time.Microsecond)
	fmt.Fprintf(out, "Run status: %s.\n", a.Status)
	fmt.Fprintf(out, "Configuration: version %d, confirmed %d ms before (known to be the newest: %t).\n",
		a.Config.Version, a.Config.ConfirmedMillisAgo, a.Config.Current)
	if a.Snapshot.Index != "" {
		fmt.Fprintf(out, "Snapshot: version %d of index %q; chosen again %d times.\n", a.Snapshot.Version, a.Snapshot.Index, a.Times.Restarts)
	}
	fmt.Fprintf(out, "Coverage: %.4f of the key space, complete: %t; %d shards included, %d omitted; %d records.\n",
		a.Coverage.Fraction, a.Coverage.Complete, len(a.Coverage.Included), len(a.Coverage.Omitted), len(a.Records))
	if a.Error != nil {
		fmt.Fprintf(out, "Error: %s: %s (try again: %t, after %d ms).\n", a.Error.Code, a.Error.Message, a.Error.Retry, a.Error.RetryAfterMillis)
	}
	for _, omission := range a.Coverage.Omitted {
		fmt.Fprintf(out, "  omitted %s: %s\n", omission.Shard, omission.Reason)
	}
	printSlowestShards(out, a.Coverage.Included)
}

// printSlowestShards writes the shards with the longest queueing and service time.
func printSlowestShards(out io.Writer, included []answer.Included) {
	sorted := slices.Clone(included)
	slices.SortStableFunc(sorted, func(a, b answer.Included) int {
		return cmp.Compare(b.QueuedMicros+b.ServedMicros, a.QueuedMicros+a.ServedMicros)
	})
	for _, shard := range sorted[:min(len(sorted), slowestShardCount)] {
		fmt.Fprintf(out, "  slow %s: queued %d µs and served in %d µs at %s through gate %s, %d attempts, hedged: %t\n",
			shard.Shard, shard.QueuedMicros, shard.ServedMicros, shard.Upstream, shard.Gate, shard.Attempts, shard.Hedged)
	}
}

// compareWithEvents writes the events of the nodes and checks that each included
// shard has a successful attempt among them. It returns the exit code.
func compareWithEvents(out io.Writer, a *answer.Answer, events []timeline.Event, failed []string) int {
	fmt.Fprintf(out, "Events of the nodes: %d; nodes that did not answer: %d.\n", len(events), len(failed))
	ended := map[string]bool{}
	for _, event := range events {
		fmt.Fprintln(out, "  "+eventLine(event))
		if event.Name == timeline.AttemptEnded && event.Detail == "" {
			ended[event.Service+"\x00"+event.Upstream] = true
		}
	}
	missing := 0
	for _, shard := range a.Coverage.Included {
		if !ended[shard.Shard+"\x00"+shard.Upstream] {
			fmt.Fprintf(out, "  no event confirms shard %s at %s\n", shard.Shard, shard.Upstream)
			missing++
		}
	}
	if missing > 0 {
		fmt.Fprintf(out, "Not confirmed: %d of %d shards. Events are kept for a limited time.\n", missing, len(a.Coverage.Included))
		return exitIncomplete
	}
	fmt.Fprintln(out, "Confirmed: every included shard has its attempt among the events.")
	return exitDone
}
