package node

import (
	"math"
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
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/quota"
)

// Options are a node's settings.
type Options struct {
	VM               string
	AvailabilityZone string
	Region           string
	// CallerAddress and PeerAddress are the advertised addresses (host:port).
	CallerAddress string
	PeerAddress   string
	// CallerListen and PeerListen are the addresses to listen on; if empty, the
	// node listens on the advertised addresses.
	CallerListen string
	PeerListen   string
	// Platform is the base URL of the platform.
	Platform string
	// Environment is "production" or the name of a trial environment.
	Environment string
	// Peers are peer addresses to join through when the platform's list of VMs
	// can't be read.
	Peers []string
	// Keys are the TLS files; empty for plain TCP and HTTP.
	Keys keys.Files
	Mode gate.Mode
	// DirectNodes is the number of nodes that share the slots of the upstreams
	// in direct mode.
	DirectNodes int
	// Cores is the number of CPU cores that the node may use; 0 if unknown. In a
	// large fleet, the nodes with more cores serve callers.
	Cores float64
	// LeaveTime is how long a leaving node goes on serving callers that may
	// still have its address.
	LeaveTime time.Duration
	// GracePeriod is how long after the signal to stop the process may be killed; 0
	// if that is not known.
	GracePeriod time.Duration
	// Memory is the memory that the process may use; 0 if the settings name none.
	Memory memory.Bytes
	// Foreign holds the settings for a platform other than the product's own;
	// nil on the product's own.
	Foreign *ForeignOptions
	// NewAdapter creates the adapter to that platform; set together with Foreign.
	NewAdapter func(Host) Adapter
}

// ForeignOptions are the settings that a node needs on a platform other than
// the product's own. Addresses are host:port.
type ForeignOptions struct {
	// Store is the platform's object store.
	Store string
	// Readiness, Directory and Metrics are the addresses where the node serves
	// its readiness, the list of nodes and its metrics.
	Readiness string
	Directory string
	Metrics   string
	// AddressListTTL is how long callers keep the list of nodes.
	AddressListTTL time.Duration
	// Budget limits retries and hedges over all nodes.
	Budget budget.Config
	// EvacuationTime is the time within which upstreams of an evacuated availability zone
	// get nothing new; 0 if zones are not evacuated.
	EvacuationTime time.Duration
	// ColdOverage and ColdSlack are the tolerance of the rate limit of cold upstreams: in
	// any second they may get the limit times the overage and the slack.
	ColdOverage float64
	ColdSlack   float64
	// Quota is by how much requests of a team may exceed its quota.
	Quota quota.Tolerance
}

// Production is the environment that accepts only documents that passed a trial.
const Production = "production"

// DefaultOptions returns the defaults of optional settings.
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
	options.Memory = readMemory(root, 0)
	options.Foreign = readForeignOptions(root, &options)
	if options.Foreign != nil {
		options.LeaveTime = addressListUses*options.Foreign.AddressListTTL + noticeTime
		options.GracePeriod = defaultGracePeriod
	}
	options.LeaveTime = root.DurationOr("leaveTime", options.LeaveTime)
	options.GracePeriod = root.DurationOr("gracePeriod", options.GracePeriod)
	return options, reader.Finish()
}

// memoryLimit returns how much memory the process may have: by the settings, or else by the
// operating system; 0 if that is not known.
func (o Options) memoryLimit() memory.Bytes {
	if o.Memory > 0 {
		return o.Memory
	}
	return memory.MachineLimit()
}

// Defaults of optional settings for a foreign platform.
const (
	defaultAddressLife  = 1200 * time.Millisecond
	defaultGracePeriod  = 6 * time.Second
	defaultBudgetPeriod = 10 * time.Second
	defaultBudgetRatio  = 0.1
	defaultColdOverage  = 1.5
	defaultColdSlack    = 5
	megabyte            = 1 << 20
)

// How long callers on a foreign platform may use the address of a node that leaves.
const (
	// addressListUses is how long some of them keep a list, in multiples of the time
	// that the answer states.
	addressListUses = 3
	// noticeTime is the time until no node names the address any more.
	noticeTime = 400 * time.Millisecond
)

// Bounds of settings for a foreign platform.
const (
	minBudgetPeriod    = 100 * time.Millisecond
	maxMemoryMegabytes = 1 << 30
	// minQuotaWindow is about as long as a node takes to see a change of the members.
	minQuotaWindow = time.Second
)

// readMemory reads the memory that the process may use. It may also stand in the table
// "foreign".
func readMemory(table *document.Table, fallback memory.Bytes) memory.Bytes {
	const key = "memoryMegabytes"
	megabytes := table.NumberOr(key, float64(fallback)/megabyte)
	if megabytes > maxMemoryMegabytes {
		table.Problemf(key, "%s must be %d or less", key, maxMemoryMegabytes)
		return fallback
	}
	return memory.Bytes(megabytes * megabyte)
}

// readForeignOptions reads the table "foreign"; nil if there is none.
func readForeignOptions(root *document.Table, options *Options) *ForeignOptions {
	table := root.Table("foreign")
	if table == nil {
		return nil
	}
	defer table.ReportUnknownKeys()
	foreign := &ForeignOptions{
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
	}
	foreign.Quota = readQuotaTolerance(table)
	readZoneOptions(table, foreign)
	if err := foreign.Check(); err != nil {
		root.Problemf("foreign", "%s", err)
	}
	if foreign.Budget.Period < minBudgetPeriod {
		table.Problemf("extraAttemptsPeriod", "extraAttemptsPeriod must be %s or more", minBudgetPeriod)
	}
	options.Memory = readMemory(table, options.Memory)
	return foreign
}

// readZoneOptions reads the settings of evacuated availability zones and cold upstreams.
func readZoneOptions(table *document.Table, foreign *ForeignOptions) {
	foreign.EvacuationTime = table.DurationOr("evacuationTime", 0)
	foreign.ColdOverage = table.NumberOr("coldOverage", defaultColdOverage)
	foreign.ColdSlack = table.NumberOr("coldSlack", defaultColdSlack)
}

// isAmount reports whether a number is finite and not negative.
func isAmount(number float64) bool {
	return number >= 0 && !math.IsInf(number, 1)
}

// Check returns an error if a tolerance or time is out of its range.
func (o *ForeignOptions) Check() error {
	switch {
	case o.EvacuationTime < 0:
		return errors.New("evacuationTime must be 0 or more")
	case !isAmount(o.ColdOverage) || o.ColdOverage < 1:
		return errors.New("coldOverage must be 1 or more")
	case !isAmount(o.ColdSlack):
		return errors.New("coldSlack must be 0 or more")
	case o.Quota.Window < minQuotaWindow:
		return errors.Errorf("quotaWindow must be %s or more", minQuotaWindow)
	case !isAmount(o.Quota.Overage):
		return errors.New("quotaOverage must be 0 or more")
	case !isAmount(o.Quota.Slack):
		return errors.New("quotaSlack must be 0 or more")
	}
	return nil
}

// readQuotaTolerance reads by how much the quotas of teams may be exceeded.
func readQuotaTolerance(table *document.Table) quota.Tolerance {
	return quota.Tolerance{
		Window:  table.DurationOr("quotaWindow", quota.DefaultWindow),
		Overage: table.NumberOr("quotaOverage", 0),
		Slack:   table.NumberOr("quotaSlack", 0),
	}
}

func readAddress(root *document.Table, key string) string {
	address := root.Text(key)
	if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
		root.Problemf(key, "%s must be host:port", key)
	}
	return address
}
