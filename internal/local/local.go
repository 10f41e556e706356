// Package local runs a small system in one process on loopback addresses: real
// nodes with fakes of the platform and the upstreams.
package local

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/node"
	"github.com/bronzereach/bronzereach/internal/platform"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/memory"
)

// Environment is the name of the environment of local nodes.
const Environment = "local"

// loopbackAddress is the address that every server listens on. The operating system
// chooses the port.
const loopbackAddress = "127.0.0.1:0"

// readyTimeout bounds the wait for the nodes to become ready and, for each node, the
// wait for its end.
const readyTimeout = 10 * time.Second

// Config configures a local system.
type Config struct {
	// Document is the operators' document that the nodes run with. Its upstream
	// addresses are replaced by those of the fake upstreams.
	Document []byte
	// Contents returns the contents of a service's upstreams for version 1 of their
	// index; nil for none.
	Contents func(service document.Service) standin.Contents
	// ServiceTime returns a function that returns random service times of the next
	// upstream of a service; nil for no delay. Start calls it once for each upstream,
	// in the document's order and from one goroutine, so that the calls for a service
	// can be counted.
	ServiceTime func(service document.Service) func(*rand.Rand) time.Duration
	// Latency is the one-way network latency to an upstream.
	Latency time.Duration
	// EnforceLimits makes the fake upstreams enforce the document's limits on slots
	// and connections.
	EnforceLimits bool
	Nodes         int
	// Zones is the number of availability zones that the nodes are distributed over.
	Zones int
	// Memory is the memory that each node may use; 0 for that of the machine.
	Memory memory.Bytes
	// Mode is the mode of the nodes; empty for the default.
	Mode gate.Mode
	// Seed determines the random choices of the fakes.
	Seed uint64
	Log  logr.Logger
}

// System is a running local system.
type System struct {
	Platform *standin.Platform
	// Upstreams holds the fake upstreams by service.
	Upstreams map[string][]*standin.Upstream
	Nodes     []*node.Node
	// PlatformURL is the base URL of the fake platform.
	PlatformURL string

	config Config
	server *http.Server
	cancel context.CancelFunc

	mu sync.Mutex
	// vms is the platform's list of VMs.
	vms []platform.VM
}

// Start starts a local system and waits until every node is ready.
func Start(ctx context.Context, config Config) (s *System, err error) {
	defer util.Annotate(&err, "local system")
	ctx, cancel := context.WithCancel(ctx)
	s = &System{
		Platform:  standin.NewPlatform(config.Seed),
		Upstreams: map[string][]*standin.Upstream{},
		config:    config,
		cancel:    cancel,
	}
	defer func() {
		if err != nil {
			s.Stop()
		}
	}()
	parsed, err := document.Parse(config.Document)
	if err != nil {
		return s, err
	}
	if err := s.startPlatform(); err != nil {
		return s, err
	}
	text, err := s.startUpstreams(parsed)
	if err != nil {
		return s, err
	}
	if err := s.storeDocument(text); err != nil {
		return s, err
	}
	if err := s.startNodes(ctx); err != nil {
		return s, err
	}
	return s, s.awaitReady(ctx)
}

func (s *System) startPlatform() error {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return errors.WithStack(err)
	}
	s.PlatformURL = "http://" + listener.Addr().String()
	s.server = &http.Server{Handler: s.Platform}
	go s.run(listener)
	return nil
}

func (s *System) run(listener net.Listener) {
	// Serve always returns an error after Stop.
	_ = s.server.Serve(listener)
}

// startUpstreams starts a fake for each upstream and returns the document's text
// with the addresses of the fakes. It starts them one after the other in the
// document's order, on which Config.ServiceTime relies.
func (s *System) startUpstreams(d *document.Document) (text []byte, err error) {
	text = d.Text
	for number, service := range d.Services {
		for replica, address := range service.Upstreams {
			upstream, err := s.startUpstream(service, uint64(number*64+replica))
			if err != nil {
				return nil, err
			}
			s.Upstreams[service.Name] = append(s.Upstreams[service.Name], upstream)
			oldQuoted, newQuoted := fmt.Sprintf("%q", address), fmt.Sprintf("%q", upstream.Address())
			text = bytes.Replace(text, []byte(oldQuoted), []byte(newQuoted), 1)
		}
	}
	return text, nil
}

func (s *System) startUpstream(service document.Service, seedOffset uint64) (*standin.Upstream, error) {
	config := standin.UpstreamConfig{
		Address: loopbackAddress,
		Index:   service.Index,
		Latency: s.config.Latency,
		Seed:    s.config.Seed*1000 + seedOffset,
	}
	if s.config.EnforceLimits {
		config.Slots = service.Limits.Slots
		config.Queue = 2 * service.Limits.Slots
		config.Connections = service.Limits.Connections
		config.ConnectionCost = service.Limits.ConnectionCost
	}
	if s.config.ServiceTime != nil {
		config.ServiceTime = s.config.ServiceTime(service)
	}
	upstream, err := standin.StartUpstream(config)
	if err != nil {
		return nil, err
	}
	if s.config.Contents != nil && service.Index != "" {
		upstream.AddVersion(1, s.config.Contents(service))
	}
	return upstream, nil
}

// storeDocument writes the document to the platform as the current configuration.
func (s *System) storeDocument(text []byte) error {
	record := promotion.Record{
		PromotionID: "first",
		Digest:      document.Digest(text),
		Operator:    Environment,
		Text:        string(text),
	}
	value, err := record.Encode()
	if err != nil {
		return err
	}
	s.Platform.Store(promotion.ConfigKey(Environment), value)
	return nil
}

// startNodes creates all nodes before it runs any, so that the platform's list of
// VMs is complete from the start.
func (s *System) startNodes(ctx context.Context) error {
	var vms []platform.VM
	for i := range s.config.Nodes {
		options := node.DefaultOptions()
		options.VM = fmt.Sprintf("vm-%d", i+1)
		options.AvailabilityZone = fmt.Sprintf("zone-%d", i%max(1, s.config.Zones)+1)
		options.CallerAddress = loopbackAddress
		options.PeerAddress = loopbackAddress
		options.Platform = s.PlatformURL
		options.Environment = Environment
		options.DirectNodes = s.config.Nodes
		options.Memory = s.config.Memory
		if s.config.Mode != "" {
			options.Mode = s.config.Mode
		}
		n, err := node.New(options, s.config.Log)
		if err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, n)
		vms = append(vms, platform.VM{Name: options.VM, AvailabilityZone: options.AvailabilityZone, Address: n.PeerAddress()})
	}
	s.vms = vms
	s.Platform.SetVMs(vms)
	for _, n := range s.Nodes {
		go s.loop(ctx, n)
	}
	return nil
}

// ListLeaving makes the platform list the VM of an upstream as leaving.
func (s *System) ListLeaving(u *standin.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(slices.Clone(s.vms), platform.VM{Name: "upstream-" + u.Address(), Address: u.Address(), Leaving: true})
	s.Platform.SetVMs(s.vms)
}

func (s *System) loop(ctx context.Context, n *node.Node) {
	if err := n.Run(ctx); err != nil {
		s.config.Log.Error(err, "nodeFailed")
	}
}

// awaitReady waits until every node sees all the others ready.
func (s *System) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if s.ready() {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("not all nodes became ready before the timeout or the end of the context")
}

func (s *System) ready() bool {
	for _, n := range s.Nodes {
		view := n.View()
		ready := 0
		for _, m := range view.Members {
			if m.State == member.Ready {
				ready++
			}
		}
		if view.Document == nil || ready < len(s.Nodes) {
			return false
		}
	}
	return true
}

// Addresses returns the caller addresses of the nodes.
func (s *System) Addresses() []string {
	addresses := make([]string, len(s.Nodes))
	for i, n := range s.Nodes {
		addresses[i] = n.CallerAddress()
	}
	return addresses
}

// Stop stops the nodes, waits up to readyTimeout for each of them and then stops the
// fakes.
func (s *System) Stop() {
	s.cancel()
	for _, n := range s.Nodes {
		select {
		case <-n.Done():
		case <-time.After(readyTimeout):
		}
	}
	for _, upstreams := range s.Upstreams {
		for _, upstream := range upstreams {
			upstream.Close()
		}
	}
	if s.server != nil {
		_ = s.server.Close()
	}
}

// SearchDocument returns a document with one index, "lines", and one kind of work,
// "search". The index has the given number of shards, and each shard the given number
// of replicas.
func SearchDocument(shards, replicas int) []byte {
	var text strings.Builder
	text.WriteString(`name = "local"

[[rank]]
name = "search"

[[index]]
name = "lines"
slots = 16
connections = 96

[[kind]]
name = "search"
rank = "search"
index = "lines"
deadline = "60s"
`)
	for shard := range shards {
		fmt.Fprintf(&text, "\n[[service]]\nname = \"lines-%03d\"\nindex = \"lines\"\nupstreams = [", shard+1)
		for replica := range replicas {
			fmt.Fprintf(&text, "\"lines-%03d-%d:1\", ", shard+1, replica+1)
		}
		text.WriteString("]\n")
	}
	return []byte(text.String())
}

// SearchContents distributes the lines over the shards of a SearchDocument. It returns
// a function that returns the contents of a service's upstreams.
func SearchContents(lines [][]byte, shards int) func(document.Service) standin.Contents {
	contents := standin.ShardLines(lines, shards)
	return func(service document.Service) standin.Contents {
		var shard int
		if _, err := fmt.Sscanf(service.Name, "lines-%03d", &shard); err != nil || shard > len(contents) {
			return standin.Contents{}
		}
		return contents[shard-1]
	}
}
