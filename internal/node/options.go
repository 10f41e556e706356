package node

import (
	"net"
	"os"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/keys"
	"github.com/bronzereach/bronzereach/internal/util"
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
	options.Platform = root.Text("platform")
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
	return options, reader.Finish()
}

func readAddress(root *document.Table, key string) string {
	address := root.Text(key)
	if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
		root.Problemf(key, "%s must be host:port", key)
	}
	return address
}
