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

// slowestShown is the number of shards that a story names as the slowest.
const slowestShown = 3

// runExplain tells an answer's story from the answer alone and, given nodes,
// compares it with their events.
func runExplain(arguments []string, streams Streams) (int, error) {
	options, err := parseWatch("explain", arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	text, err := os.ReadFile(options.file)
	if err != nil {
		return exitUsage, errors.WithMessage(errUsage, err.Error())
	}
	var a answer.Answer
	if err := json.Unmarshal(text, &a); err != nil || a.Status == "" {
		return exitUsage, errors.WithMessagef(errUsage, "%s is not an answer", options.file)
	}
	tell(streams.Out, &a)
	if len(options.nodes) == 0 {
		return exitDone, nil
	}
	events, failed := fetchEvents(options.nodes, timeline.Filter{RequestID: a.RequestID})
	return confirm(streams.Out, &a, events, failed), nil
}

// tell writes the story that the answer itself carries.
func tell(out io.Writer, a *answer.Answer) {
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
	tellSlowest(out, a.Coverage.Included)
}

func tellSlowest(out io.Writer, included []answer.Included) {
	sorted := slices.Clone(included)
	slices.SortStableFunc(sorted, func(a, b answer.Included) int {
		return cmp.Compare(b.QueuedMicros+b.ServedMicros, a.QueuedMicros+a.ServedMicros)
	})
	for _, shard := range sorted[:min(len(sorted), slowestShown)] {
		fmt.Fprintf(out, "  slow %s: queued %d µs and served in %d µs at %s through gate %s, %d attempts, hedged: %t\n",
			shard.Shard, shard.QueuedMicros, shard.ServedMicros, shard.Upstream, shard.Gate, shard.Attempts, shard.Hedged)
	}
}

// confirm compares the answer with the events of the nodes.
func confirm(out io.Writer, a *answer.Answer, events []timeline.Event, failed []string) int {
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
