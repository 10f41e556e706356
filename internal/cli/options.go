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

// Exit codes, the same for all commands.
const (
	exitDone       = 0
	exitFailed     = 1
	exitUsage      = 2
	exitIncomplete = 3
	exitNotRun     = 4
	exitUnknown    = 5
)

// settingsVariable names the settings file of a node started without -settings.
const settingsVariable = "BRONZEREACH_SETTINGS"

// usage is the help of the program.
const usage = `bronzereach answers queries over many shards and explains each answer.

Usage: bronzereach COMMAND [FLAGS]

  local      Run a whole small system in one process over the lines of a file
  node       Run one node
  query      Send a request and print its answer
  check      Check an operators' document and list every problem
  trial      Put a document in force in a trial environment and run its checks
  promote    Put a document that passed trial in force
  status     Show what is in force on which node
  timeline   Print the events of several nodes as one ordered list
  explain    Tell an answer's story
  load       Put a system under load and report latency and service by rank
  version    Print the version

"bronzereach COMMAND -h" shows the flags of a command.

Exit codes: 0 done, 1 failed, 2 wrong use or invalid document,
3 answered but not complete, 4 not run, 5 unknown.
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
	operator string
	base     uint64
}

// watchOptions are the flags of "status", "timeline" and "explain".
type watchOptions struct {
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

// errUsage marks errors that are the user's; errHelp a call for help.
var (
	errUsage = errors.New("wrong use")
	errHelp  = errors.New("help")
)

// parse reads flags and turns every fault into errUsage.
func parse(name string, arguments []string, out io.Writer, define func(*flag.FlagSet)) (*flag.FlagSet, error) {
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

// noArguments refuses words that are not flags.
func noArguments(set *flag.FlagSet) error {
	if set.NArg() > 0 {
		return errors.WithMessagef(errUsage, "unexpected argument %q", set.Arg(0))
	}
	return nil
}

// addressList is a flag of addresses with commas between them.
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
	set, err := parse("local", arguments, out, func(set *flag.FlagSet) {
		set.StringVar(&options.data, "data", "", "file whose lines are served (required)")
		set.StringVar(&options.query, "query", "", "print the lines that contain this text, then end")
		set.IntVar(&options.shards, "shards", 10, "number of shards, 1 to 1000")
		set.IntVar(&options.replicas, "replicas", 3, "upstreams of each shard, 1 to 9")
		set.IntVar(&options.nodes, "nodes", 3, "number of nodes, 1 to 50")
	})
	if err != nil {
		return options, err
	}
	if err := noArguments(set); err != nil {
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
	set, err := parse("node", arguments, out, func(set *flag.FlagSet) {
		set.StringVar(&options.settings, "settings", os.Getenv(settingsVariable), "TOML file with the node's settings (default $"+settingsVariable+")")
		set.StringVar(&options.profile, "cpuprofile", "", "write a profile of processor time to this file")
	})
	if err != nil {
		return options, err
	}
	if options.settings == "" {
		return options, errors.WithMessage(errUsage, "-settings is missing")
	}
	return options, noArguments(set)
}

func parseQuery(arguments []string, out io.Writer) (options queryOptions, err error) {
	var nodes addressList
	set, err := parse("query", arguments, out, func(set *flag.FlagSet) {
		set.Var(&nodes, "nodes", "callers' addresses of some nodes, with commas between (required)")
		set.StringVar(&options.zone, "availabilityZone", "", "availability zone of the caller")
		set.StringVar(&options.kind, "kind", "", "kind of work (required)")
		set.StringVar(&options.query, "query", "", "text of the query")
		set.StringVar(&options.key, "key", "", "request key, for work that is not to be repeated")
		set.BoolVar(&options.ticket, "ticket", false, "fetch a ticket and use it as the key")
		set.StringVar(&options.caller, "caller", "", "name of the caller, for fair shares")
		set.DurationVar(&options.deadline, "deadline", 0, "longest wait, such as 500ms")
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
	return options, noArguments(set)
}

func parseDocument(name string, arguments []string, out io.Writer) (options documentOptions, err error) {
	remote := name != "check"
	set, err := parse(name, arguments, out, func(set *flag.FlagSet) {
		set.StringVar(&options.document, "document", "", "TOML file with the operators' document (required)")
		if !remote {
			return
		}
		set.StringVar(&options.node, "node", "", "caller's address of a node (required)")
		set.StringVar(&options.operator, "operator", "", "who asks for it, for the record (required)")
		set.Uint64Var(&options.base, "base", 0, "version in force that the document was made from; 0 for the newest")
	})
	if err != nil {
		return options, err
	}
	switch {
	case options.document == "":
		return options, errors.WithMessage(errUsage, "-document is missing")
	case remote && options.node == "":
		return options, errors.WithMessage(errUsage, "-node is missing")
	case remote && options.operator == "":
		return options, errors.WithMessage(errUsage, "-operator is missing")
	}
	return options, noArguments(set)
}

func parseWatch(name string, arguments []string, out io.Writer) (options watchOptions, err error) {
	var nodes addressList
	set, err := parse(name, arguments, out, func(set *flag.FlagSet) {
		set.Var(&nodes, "nodes", "callers' addresses of the nodes, with commas between")
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
	return options, noArguments(set)
}

func parseLoad(arguments []string, out io.Writer) (options loadOptions, err error) {
	set, err := parse("load", arguments, out, func(set *flag.FlagSet) {
		set.StringVar(&options.plan, "plan", "", "TOML file with the load plan (required)")
		set.Uint64Var(&options.seed, "seed", 1, "seed of all chances")
		set.StringVar(&options.mode, "mode", "gate", "\"gate\", or \"direct\" for the baseline")
		set.BoolVar(&options.json, "json", false, "print JSON lines in place of a table")
		set.StringVar(&options.plot, "plot", "", "write a plot to this file, .svg or .png")
		set.IntVar(&options.slowest, "slowest", 0, "also list this many of the slowest urgent answers of each phase")
		set.Float64Var(&options.seconds, "seconds", 0, "run for this long in place of the plan's duration")
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
	return options, noArguments(set)
}
