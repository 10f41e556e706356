package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/node"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/pkg/caller"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/httpstatus"
	"github.com/bronzereach/bronzereach/pkg/query"
)

const (
	// operatorTimeout bounds an HTTP call to a node.
	operatorTimeout = 60 * time.Second
	// maxResponseBytes bounds a node's response. The longest ones hold a time line.
	maxResponseBytes = 64 << 20
)

// callNode sends an HTTP request to a node and decodes the JSON of the response. It
// ignores which valid status it has: the JSON tells whether the call succeeded.
func callNode(method, address, path string, body, into any) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return errors.WithStack(err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, &payload)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	if err := httpstatus.CheckFinal(response); err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return errors.WithStack(err)
	}
	if len(text) > maxResponseBytes {
		return errors.Errorf("the response of node %s is longer than %d bytes", address, maxResponseBytes)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return errors.Errorf("node %s responded with status %d and without valid JSON", address, response.StatusCode)
	}
	return nil
}

func runQuery(arguments []string, streams Streams) (int, error) {
	options, err := parseQuery(arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	ctx := context.Background()
	client := caller.New(caller.Config{Seeds: options.nodes, AvailabilityZone: options.zone})
	if options.ticket {
		tickets, err := client.Tickets(ctx, 1)
		if err != nil {
			return exitNotRun, err
		}
		options.key = tickets[0]
		fmt.Fprintf(streams.Err, "key=%s\n", options.key)
	}
	a, err := client.Query(ctx, query.Request{
		Kind:           options.kind,
		Query:          query.Text(options.query),
		Key:            options.key,
		Caller:         options.caller,
		DeadlineMillis: options.deadline.Milliseconds(),
	})
	if err != nil {
		return exitUnknown, err
	}
	return printAnswer(streams.Out, a)
}

// readDocument reads and validates a document. Its errors wrap errUsage.
func readDocument(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithMessage(errUsage, err.Error())
	}
	if _, err := document.Parse(text); err != nil {
		return nil, errors.WithMessagef(errUsage, "document %s is not valid:\n%v", path, err)
	}
	return text, nil
}

func runCheck(arguments []string, streams Streams) (int, error) {
	options, err := parseDocument("check", arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	if options.settings != "" {
		if err := checkSettings(options.settings, streams.Out); err != nil {
			return exitUsage, errors.WithMessage(errUsage, err.Error())
		}
	}
	if options.document == "" {
		return exitDone, nil
	}
	text, err := readDocument(options.document)
	if err != nil {
		return exitUsage, err
	}
	fmt.Fprintf(streams.Out, "valid, digest %s\n", document.Digest(text))
	return exitDone, nil
}

func runTrial(arguments []string, streams Streams) (int, error) {
	options, err := parseDocument("trial", arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	text, err := readDocument(options.document)
	if err != nil {
		return exitUsage, err
	}
	var trial node.TrialResult
	request := node.PromotionRequest{Operator: options.operator, Text: string(text), Base: options.base}
	if err := callNode(http.MethodPost, options.node, node.TrialsPath, request, &trial); err != nil {
		return exitUnknown, err
	}
	if err := printJSON(streams.Out, trial); err != nil {
		return exitFailed, err
	}
	if !trial.Passed {
		return exitFailed, nil
	}
	return exitDone, nil
}

func runPromote(arguments []string, streams Streams) (int, error) {
	options, err := parseDocument("promote", arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	text, err := readDocument(options.document)
	if err != nil {
		return exitUsage, err
	}
	var result promotion.Result
	request := node.PromotionRequest{Operator: options.operator, Text: string(text), Base: options.base}
	if err := callNode(http.MethodPost, options.node, node.PromotionsPath, request, &result); err != nil {
		return exitUnknown, err
	}
	if err := printJSON(streams.Out, result); err != nil {
		return exitFailed, err
	}
	switch result.Outcome {
	case promotion.Accepted:
		return exitDone, nil
	case promotion.Undecided:
		return exitUnknown, nil
	default:
		return exitNotRun, nil
	}
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(value))
}

// runStatus prints a line for each node.
func runStatus(arguments []string, streams Streams) (int, error) {
	options, err := parseInspect("status", arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	code := exitDone
	table := tabwriter.NewWriter(streams.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tVM\tZONE\tSTATE\tCONFIG\tCURRENT\tDIGEST\tGATES\tIN PROGRESS")
	for _, address := range options.nodes {
		var status node.Status
		if err := callNode(http.MethodGet, address, node.StatusPath, nil, &status); err != nil {
			fmt.Fprintf(table, "%s\tunreachable\n", address)
			code = exitFailed
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%t\t%.12s\t%d\t%d\n", address, status.VM, status.AvailabilityZone,
			status.State, status.ConfigVersion, status.ConfigCurrent, status.ConfigDigest, len(status.Gates), status.InProgress)
	}
	return code, errors.WithStack(table.Flush())
}

// fetchEvents returns the merged events of the nodes, and in failed the addresses of
// the nodes that did not respond.
func fetchEvents(nodes []string, filter timeline.Filter) (events []timeline.Event, failed []string) {
	values := url.Values{}
	values.Set("requestId", filter.RequestID)
	values.Set("vm", filter.VM)
	values.Set("upstream", filter.Upstream)
	values.Set("configVersion", strconv.FormatUint(filter.ConfigVersion, 10))
	var lists [][]timeline.Event
	for _, address := range nodes {
		var list []timeline.Event
		if err := callNode(http.MethodGet, address, node.TimelinePath+"?"+values.Encode(), nil, &list); err != nil {
			failed = append(failed, address)
			continue
		}
		lists = append(lists, list)
	}
	return timeline.Merge(lists...), failed
}

func runTimeline(arguments []string, streams Streams) (int, error) {
	options, err := parseInspect("timeline", arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	events, failed := fetchEvents(options.nodes, options.filter)
	for _, event := range events {
		fmt.Fprintln(streams.Out, eventLine(event))
	}
	for _, address := range failed {
		fmt.Fprintf(streams.Err, "node %s did not answer: its events are missing\n", address)
	}
	if len(failed) > 0 {
		return exitIncomplete, nil
	}
	return exitDone, nil
}

// eventLine formats an event as a line of key=value pairs.
func eventLine(event timeline.Event) string {
	line := fmt.Sprintf("time=%s vm=%s event=%s", event.Stamp.Time().UTC().Format("15:04:05.000000"), event.VM, event.Name)
	for _, pair := range [][2]string{
		{"request", event.RequestID},
		{"service", event.Service},
		{"upstream", event.Upstream},
		{"member", event.Member},
		{"detail", event.Detail},
	} {
		if pair[1] != "" {
			line += fmt.Sprintf(" %s=%s", pair[0], pair[1])
		}
	}
	if event.ConfigVersion != 0 {
		line += fmt.Sprintf(" configVersion=%d", event.ConfigVersion)
	}
	if event.Told == nil {
		return line
	}
	pairs := event.Told.Pairs()
	for i := 0; i < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	return line
}
