package cli

import (
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timeline"
)

// Exit codes of all commands; constant usage explains them.
const (
	exitDone       = 0
	exitFailed     = 1
	exitUsage      = 2
	exitIncomplete = 3
	exitNotRun     = 4
	exitUnknown    = 5
)

// settingsVariable is the environment variable with the path of a node's settings
// file; the flag -settings overrides it.
const settingsVariable = "BRONZEREACH_SETTINGS"

// graceVariable is the environment variable with the grace period of a supervisor; it
// goes before the settings.
const graceVariable = "BRONZEREACH_GRACE_PERIOD"

// boundsVariable is the environment variable with the bounds of the deployment on the
// users' platform, a JSON object; they go before the settings.
const boundsVariable = "BRONZEREACH_BOUNDS"

// usage is the help text of the program.
const usage = `bronzereach answers queries over many shards and explains each answer.

Usage: bronzereach COMMAND [FLAGS]

  local      Run a small system in one process that serves the lines of a file
  node       Run one node
  query      Send a request and print its answer
  check      Check an operators' document and list every problem
  trial      Put a document in force in a trial environment and run its checks
  promote    Put a document that passed trial in force
  status     Show what is in force on which node
  timeline   Print the events of several nodes as one ordered list
  explain    Explain how an answer came about
  load       Run a load test on a local system and report latency by kind of work
  version    Print the version

"bronzereach COMMAND -h" shows the flags of a command.

Exit codes: 0 done, 1 failed, 2 invalid usage or document,
3 incomplete answer or events, 4 not run, 5 unknown whether it ran.
`

// localOptions are the flags of "local".
type localOptions struct {
	data     string
	query    string
	hasQuery bool
	shards   int
	replicas int
	nodes    int
}

// nodeOptions are the flags of "node".
type nodeOptions struct {
	settings string
	profile  string
	// gracePeriod is how long after the signal to stop the process may be killed; 0 if
	// only the settings may tell.
	gracePeriod time.Duration
}

// queryOptions are the flags of "query".
type queryOptions struct {
	nodes    []string
	zone     string
	kind     string
	query    string
	key      string
	ticket   bool
	caller   string
	deadline time.Duration
}

// documentOptions are the flags of "check", "trial" and "promote".
type documentOptions struct {
	node     string
	document string
	// settings is a file with the settings of a node; "check" only.
	settings string
	operator string
	base     uint64
}

// inspectOptions are the flags of "status", "timeline" and "explain".
type inspectOptions struct {
	nodes  []string
	filter timeline.Filter
	file   string
}

// loadOptions are the flags of "load".
type loadOptions struct {
	plan    string
	seed    uint64
	mode    string
	json    bool
	plot    string
	seconds float64
	slowest int
}

// errUsage marks errors in the user's input. errHelp means that help was requested
// and printed.
var (
	errUsage = errors.New("invalid usage")
	errHelp  = errors.New("help")
)

// parseFlags parses flags. It returns errHelp if help was requested and errUsage if the
// flags are invalid; the flag package has then written the help or the reason to out.
func parseFlags(name string, arguments []string, out io.Writer, define func(*flag.FlagSet)) (*flag.FlagSet, error) {
	set := flag.NewFlagSet("bronzereach "+name, flag.ContinueOnError)
	set.SetOutput(out)
	define(set)
	err := set.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return set, errHelp
	}
	if err != nil {
		return set, errUsage
	}
	return set, nil
}

// rejectArguments returns errUsage if there are arguments besides flags.
func rejectArguments(set *flag.FlagSet) error {
	if set.NArg() > 0 {
		return errors.WithMessagef(errUsage, "unexpected argument %q", set.Arg(0))
	}
	return nil
}

// addressList is a flag value of comma-separated addresses.
type addressList []string

// String implements flag.Value.
func (l *addressList) String() string {
	return strings.Join(*l, ",")
}

// Set implements flag.Value.
func (l *addressList) Set(text string) error {
	*l = nil
	for _, address := range strings.Split(text, ",") {
		if address = strings.TrimSpace(address); address != "" {
			*l = append(*l, address)
		}
	}
	if len(*l) == 0 {
		return errors.New("no address given")
	}
	return nil
}

func parseLocal(arguments []string, out io.Writer) (options localOptions, err error) {
	set, err := parseFlags("local", arguments, out, func(set *flag.FlagSet) {
		set.StringVar(&options.data, "data", "", "file whose lines are served (required)")
		set.StringVar(&options.query, "query", "", "print the lines that contain this text, then exit")
		set.IntVar(&options.shards, "shards", 10, "number of shards, 1 to 1000")
		set.IntVar(&options.replicas, "replicas", 3, "number of upstreams of each shard, 1 to 9")
		set.IntVar(&options.nodes, "nodes", 3, "number of nodes, 1 to 50")
	})
	if err != nil {
		return options, err
	}
	if err := rejectArguments(set); err != nil {
		return options, err
	}
	set.Visit(func(f *flag.Flag) { options.hasQuery = options.hasQuery || f.Name == "query" })
	switch {
	case options.data == "":
		return options, errors.WithMessage(errUsage, "-data is missing")
	case options.hasQuery && options.query == "":
		return options, errors.WithMessage(errUsage, "-query is empty")
	case options.shards < 1 || options.shards > 1000:
		return options, errors.WithMessage(errUsage, "-shards must be from 1 to 1000")
	case options.replicas < 1 || options.replicas > 9:
		return options, errors.WithMessage(errUsage, "-replicas must be from 1 to 9")
	case options.nodes < 1 || options.nodes > 50:
		return options, errors.WithMessage(errUsage, "-nodes must be from 1 to 50")
	}
	return options, nil
}

func parseNode(arguments []string, out io.Writer) (options nodeOptions, err error) {
	set, err := parseFlags("node", arguments, out, func(set *flag.FlagSet) {
		set.StringVar(&options.settings, "settings", os.Getenv(settingsVariable), "TOML file with the node's settings (default $"+settingsVariable+")")
		set.StringVar(&options.profile, "cpuprofile", "", "write a CPU profile to this file")
	})
	if err != nil {
		return options, err
	}
	if options.settings == "" {
		return options, errors.WithMessage(errUsage, "-settings is missing")
	}
	if options.gracePeriod, err = readGracePeriod(os.Getenv(graceVariable)); err != nil {
		return options, err
	}
	return options, rejectArguments(set)
}

// readGracePeriod parses the value of graceVariable, which may be empty or, where a
// template has no number to fill in, a unit alone.
func readGracePeriod(text string) (grace time.Duration, err error) {
	if text == "" || text == "s" {
		return 0, nil
	}
	grace, err = time.ParseDuration(text)
	if err != nil || grace <= 0 {
		return 0, errors.WithMessagef(errUsage, "%s: %q is not a duration above 0 with a unit, such as \"6s\"", graceVariable, text)
	}
	return grace, nil
}

func parseQuery(arguments []string, out io.Writer) (options queryOptions, err error) {
	var nodes addressList
	set, err := parseFlags("query", arguments, out, func(set *flag.FlagSet) {
		set.Var(&nodes, "nodes", "comma-separated caller addresses of some nodes (required)")
		set.StringVar(&options.zone, "availabilityZone", "", "availability zone of the caller")
		set.StringVar(&options.kind, "kind", "", "kind of work (required)")
		set.StringVar(&options.query, "query", "", "text of the query")
		set.StringVar(&options.key, "key", "", "request key, for work that must not be repeated")
		set.BoolVar(&options.ticket, "ticket", false, "fetch a ticket and use it as the key")
		set.StringVar(&options.caller, "caller", "", "name of the caller, for fair sharing between callers")
		set.DurationVar(&options.deadline, "deadline", 0, "deadline of the request, such as 500ms")
	})
	if err != nil {
		return options, err
	}
	options.nodes = nodes
	switch {
	case len(nodes) == 0:
		return options, errors.WithMessage(errUsage, "-nodes is missing")
	case options.kind == "":
		return options, errors.WithMessage(errUsage, "-kind is missing")
	case options.deadline < 0:
		return options, errors.WithMessage(errUsage, "-deadline is negative")
	case options.ticket && options.key != "":
		return options, errors.WithMessage(errUsage, "-ticket and -key exclude each other")
	}
	return options, rejectArguments(set)
}

func parseDocument(name string, arguments []string, out io.Writer) (options documentOptions, err error) {
	remote := name != "check"
	set, err := parseFlags(name, arguments, out, func(set *flag.FlagSet) {
		set.StringVar(&options.document, "document", "", "TOML file with the operators' document")
		if !remote {
			set.StringVar(&options.settings, "settings", "", "TOML file with the settings of a node")
			return
		}
		set.StringVar(&options.node, "node", "", "caller address of a node (required)")
		set.StringVar(&options.operator, "operator", "", "name of the operator, for the record (required)")
		set.Uint64Var(&options.base, "base", 0, "configuration version that the document is based on; 0 for the newest")
	})
	if err != nil {
		return options, err
	}
	switch {
	case options.document == "" && options.settings == "":
		return options, errors.WithMessage(errUsage, "-document is missing")
	case remote && options.node == "":
		return options, errors.WithMessage(errUsage, "-node is missing")
	case remote && options.operator == "":
		return options, errors.WithMessage(errUsage, "-operator is missing")
	}
	return options, rejectArguments(set)
}

func parseInspect(name string, arguments []string, out io.Writer) (options inspectOptions, err error) {
	var nodes addressList
	set, err := parseFlags(name, arguments, out, func(set *flag.FlagSet) {
		set.Var(&nodes, "nodes", "comma-separated caller addresses of the nodes")
		if name != "timeline" {
			return
		}
		set.StringVar(&options.filter.RequestID, "request", "", "only events of this request")
		set.StringVar(&options.filter.VM, "vm", "", "only events of or about this VM")
		set.StringVar(&options.filter.Upstream, "upstream", "", "only events about this upstream")
		set.Uint64Var(&options.filter.ConfigVersion, "config", 0, "only events of this configuration version")
	})
	if err != nil {
		return options, err
	}
	options.nodes = nodes
	if name == "explain" {
		if set.NArg() != 1 {
			return options, errors.WithMessage(errUsage, "explain takes one file with an answer")
		}
		options.file = set.Arg(0)
		return options, nil
	}
	if len(nodes) == 0 {
		return options, errors.WithMessage(errUsage, "-nodes is missing")
	}
	return options, rejectArguments(set)
}

func parseLoad(arguments []string, out io.Writer) (options loadOptions, err error) {
	set, err := parseFlags("load", arguments, out, func(set *flag.FlagSet) {
		set.StringVar(&options.plan, "plan", "", "TOML file with the load plan (required)")
		set.Uint64Var(&options.seed, "seed", 1, "seed of all random choices")
		set.StringVar(&options.mode, "mode", "gate", "\"gate\", or \"direct\" for the baseline")
		set.BoolVar(&options.json, "json", false, "print JSON lines instead of a table")
		set.StringVar(&options.plot, "plot", "", "write a plot to this file, .svg or .png")
		set.IntVar(&options.slowest, "slowest", 0, "also list this many of the slowest answers of the most urgent rank in each phase")
		set.Float64Var(&options.seconds, "seconds", 0, "run for this many seconds instead of the plan's duration")
	})
	if err != nil {
		return options, err
	}
	switch {
	case options.plan == "":
		return options, errors.WithMessage(errUsage, "-plan is missing")
	case options.mode != "gate" && options.mode != "direct":
		return options, errors.WithMessage(errUsage, "-mode must be \"gate\" or \"direct\"")
	}
	return options, rejectArguments(set)
}
