package node

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/keys"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/budget"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// Options are a node's settings.
type Options struct {
	VM               string
	AvailabilityZone string
	Region           string
	// CallerAddress and PeerAddress are host:port, as named to others.
	CallerAddress string
	PeerAddress   string
	// CallerListen and PeerListen are where the node listens; empty for the
	// addresses that it names to others.
	CallerListen string
	PeerListen   string
	// Platform is the base URL of the platform.
	Platform string
	// Environment is "production", or another name for a trial environment.
	Environment string
	// Peers are peer addresses to ask when the platform's list can't be had.
	Peers []string
	// Keys may be empty for plain TCP and HTTP.
	Keys keys.Files
	Mode gate.Mode
	// DirectNodes is the number of nodes that share the slots in direct mode.
	DirectNodes int
	// Cores is the processor that the node may use; 0 if not told. Of a large
	// fleet, the stronger nodes serve callers.
	Cores float64
	// LeaveTime is how long a leaving node serves callers that may still know
	// its address.
	LeaveTime time.Duration
	// Foreign describes a platform other than the product's own; nil for that.
	Foreign *ForeignOptions
	// Adapt makes the adapter to it; set together with Foreign.
	NewAdapter func(Host) Adapter
}

// ForeignOptions are the settings that a node needs on a platform other than
// the product's own. Addresses are host:port.
type ForeignOptions struct {
	// Store is the platform's object store.
	Store string
	// Readiness, Directory and Metrics are where the node tells whether it is
	// ready, which nodes there are, and its metrics.
	Readiness string
	Directory string
	Metrics   string
	// AddressLife is how long callers keep the list of nodes.
	AddressListTTL time.Duration
	// Budget bounds attempts beyond the first, over all nodes.
	Budget budget.Config
	// MemoryBytes is what the process may use.
	MemoryBytes int64
}

// Production is the environment that takes only documents that passed trial.
const Production = "production"

// DefaultOptions returns the settings that a file need not give.
func DefaultOptions() Options {
	return Options{
		Region:      "default",
		Environment: Production,
		Mode:        gate.Gated,
		DirectNodes: 1,
		LeaveTime:   entry.AddressListTTL + time.Second,
	}
}

// ReadOptions reads a settings file. The error lists every problem.
func ReadOptions(path string) (options Options, err error) {
	defer util.Annotate(&err, "settings %s", path)
	text, err := os.ReadFile(path)
	if err != nil {
		return options, errors.WithStack(err)
	}
	return ParseOptions(text)
}

// ParseOptions reads settings. The error lists every problem.
func ParseOptions(text []byte) (options Options, err error) {
	reader, err := document.NewReader(text)
	if err != nil {
		return options, err
	}
	options = DefaultOptions()
	root := reader.Root()
	options.VM = root.Text("vm")
	options.AvailabilityZone = root.Text("availabilityZone")
	options.Region = root.TextOr("region", options.Region)
	options.CallerAddress = readAddress(root, "callerAddress")
	options.PeerAddress = readAddress(root, "peerAddress")
	options.CallerListen = root.TextOr("callerListen", "")
	options.PeerListen = root.TextOr("peerListen", "")
	if !root.Has("foreign") {
		options.Platform = root.Text("platform")
	}
	options.Environment = root.TextOr("environment", options.Environment)
	options.Peers = root.TextsOr("peers")
	options.Keys = keys.Files{
		Certificate: root.TextOr("certificateFile", ""),
		Key:         root.TextOr("keyFile", ""),
		Authorities: root.TextOr("authoritiesFile", ""),
	}
	if (options.Keys.Certificate == "") != (options.Keys.Key == "") {
		root.Problemf("keyFile", "certificateFile and keyFile go together")
	}
	if options.Keys.Certificate != "" && options.Keys.Authorities == "" {
		root.Problemf("certificateFile", "authoritiesFile is missing: nodes check each other's certificates against it")
	}
	options.Mode = gate.Mode(root.TextOr("mode", string(options.Mode)))
	if options.Mode != gate.Gated && options.Mode != gate.Direct {
		root.Problemf("mode", "mode must be \"gate\" or \"direct\"")
	}
	options.DirectNodes = root.CountOr("directNodes", options.DirectNodes)
	options.Cores = root.NumberOr("cores", options.Cores)
	options.LeaveTime = root.DurationOr("leaveTime", options.LeaveTime)
	options.Foreign = readForeign(root)
	return options, reader.Finish()
}

// Settings of a foreign platform that a file need not give.
const (
	defaultAddressLife  = 1200 * time.Millisecond
	defaultBudgetPeriod = 10 * time.Second
	defaultBudgetRatio  = 0.1
	megabyte            = 1 << 20
)

// readForeign reads the table "foreign"; nil if there is none.
func readForeign(root *document.Table) *ForeignOptions {
	table := root.Table("foreign")
	if table == nil {
		return nil
	}
	defer table.ReportUnknownKeys()
	return &ForeignOptions{
		Store:          readAddress(table, "store"),
		Readiness:      readAddress(table, "readiness"),
		Directory:      readAddress(table, "directory"),
		Metrics:        readAddress(table, "metrics"),
		AddressListTTL: table.DurationOr("addressLife", defaultAddressLife),
		Budget: budget.Config{
			Ratio:  table.NumberOr("extraAttemptsRatio", defaultBudgetRatio),
			Slack:  table.NumberOr("extraAttemptsSlack", 0),
			Period: table.DurationOr("extraAttemptsPeriod", defaultBudgetPeriod),
		},
		MemoryBytes: int64(table.NumberOr("memoryMegabytes", 0) * megabyte),
	}
}

func readAddress(root *document.Table, key string) string {
	address := root.Text(key)
	if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
		root.Problemf(key, "%s must be host:port", key)
	}
	return address
}
