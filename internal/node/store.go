package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/bronzereach/bronzereach/internal/platform"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/member"
)

// Intervals and limits of calls to the platform.
const (
	// maxIntroductions is the number of unknown listed VMs contacted at once.
	maxIntroductions = 3
	idleInterval     = 200 * time.Millisecond
	vmInterval       = time.Second
	statusInterval   = 5 * time.Second
	initialBackoff   = 100 * time.Millisecond
	maxBackoff       = 5 * time.Second
)

// updateWatcherRole decides whether this node is one of the watchers, which call
// the platform on behalf of the other nodes. Every node computes the watchers
// from its member table, without a lease. With an adapter, updateStoreWatching
// overrides the value of watching that is set here.
func (c *control) updateWatcherRole() {
	if c.watchersGeneration == c.table.Generation() {
		return
	}
	c.watchersGeneration = c.table.Generation()
	c.isWatcher = slices.ContainsFunc(member.Watchers(c.table.Members()), func(m member.Member) bool {
		return m.VM == c.node.options.VM
	})
	c.watching.Store(c.isWatcher)
}

// backoff is an exponential backoff with jitter after failed calls.
type backoff struct {
	pause time.Duration
}

// wait doubles the pause, up to maxBackoff, and sleeps between half of it and
// all of it.
func (b *backoff) wait(ctx context.Context) {
	b.pause = min(max(initialBackoff, 2*b.pause), maxBackoff)
	util.Sleep(ctx, b.pause/2+time.Duration(rand.Int64N(int64(b.pause/2))))
}

func (b *backoff) reset() {
	b.pause = 0
}

// watchLoop watches the configuration object while the node is a watcher or has
// no configuration yet.
func (c *control) watchLoop(ctx context.Context) error {
	var pause backoff
	key := promotion.ConfigKey(c.node.options.Environment)
	first := true
	for ctx.Err() == nil {
		if !first && !c.watching.Load() && c.version.Load() > 0 {
			util.Sleep(ctx, idleInterval)
			continue
		}
		object, err := c.readConfig(ctx, key, first)
		if ctx.Err() != nil {
			break
		}
		c.post(configObjectRead{object: object, err: err})
		first = first && err != nil
		if err != nil {
			pause.wait(ctx)
			continue
		}
		pause.reset()
	}
	return ctx.Err()
}

func (c *control) readConfig(ctx context.Context, key string, first bool) (platform.Object, error) {
	if first {
		return c.node.platform.Get(ctx, key)
	}
	return c.node.platform.Watch(ctx, key, c.version.Load())
}

// configObjectRead is the outcome of reading the configuration object from the
// platform.
type configObjectRead struct {
	object platform.Object
	err    error
}

func (e configObjectRead) apply(_ context.Context, c *control, now time.Time) {
	c.storeQueried = true
	if e.err != nil {
		c.recordStoreState(true, e.err.Error())
		return
	}
	c.recordStoreState(false, "")
	c.adopt(e.object.Version, e.object.Value)
	if e.object.Version <= c.version.Load() {
		c.configConfirmedAt = now
	}
}

// vmLoop reads the platform's list of VMs while the node is a watcher or joining, and until
// it has handled one with a configuration: what other nodes have told of leaving upstreams
// before, they don't tell again.
func (c *control) vmLoop(ctx context.Context) error {
	var pause backoff
	for ctx.Err() == nil {
		if c.joining.Load() {
			c.post(introductionRequested{addresses: c.node.options.Peers})
		}
		if !c.joining.Load() && !c.watching.Load() && c.vmsListed.Load() {
			util.Sleep(ctx, idleInterval)
			continue
		}
		vms, err := c.node.platform.ListVMs(ctx)
		if err != nil {
			pause.wait(ctx)
			continue
		}
		pause.reset()
		c.post(vmListRead{vms: vms})
		util.Sleep(ctx, vmInterval)
	}
	return ctx.Err()
}

// vmListRead brings the platform's list of VMs.
type vmListRead struct {
	vms []platform.VM
}

func (e vmListRead) apply(ctx context.Context, c *control, now time.Time) {
	c.vmsListed.Store(c.document != nil)
	var unknown []string
	for _, vm := range e.vms {
		if vm.Leaving {
			c.announceLeavingVM(vm, now)
			continue
		}
		m, found := c.table.Get(vm.Name)
		if (!found || m.State == member.Dead) && vm.Name != c.node.options.VM && !c.isUpstream(vm.Address) {
			unknown = append(unknown, vm.Address)
		}
	}
	// A few are enough: gossip with them brings the other members.
	c.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	introductionRequested{addresses: unknown[:min(len(unknown), maxIntroductions)]}.apply(ctx, c, now)
}

func (c *control) isUpstream(address string) bool {
	if c.document == nil {
		return false
	}
	for _, service := range c.document.Services {
		if slices.Contains(service.Upstreams, address) {
			return true
		}
	}
	return false
}

// announceLeavingVM tells the other nodes that the platform lists a VM as
// leaving: an upstream or one of the system's own.
func (c *control) announceLeavingVM(vm platform.VM, now time.Time) {
	if m, found := c.table.Get(vm.Name); found && m.PeerAddress == vm.Address {
		incarnation := strconv.FormatUint(m.Incarnation, 10)
		c.broadcast(now, &wire.Notice{Upstream: vm.Address, Incarnation: incarnation, Sequence: uint64(now.UnixNano())})
		return
	}
	if c.isUpstream(vm.Address) {
		c.broadcast(now, &wire.Notice{Upstream: vm.Address, Sequence: uint64(now.UnixNano())})
	}
}

// introductionRequested asks to contact addresses whose VM names are not known.
type introductionRequested struct {
	addresses []string
}

func (e introductionRequested) apply(ctx context.Context, c *control, _ time.Time) {
	for _, address := range e.addresses {
		if address == c.node.options.PeerAddress || !c.pendingContacts.Add(address) {
			continue
		}
		go c.introduceLoop(ctx, address)
	}
}

func (c *control) introduceLoop(ctx context.Context, address string) {
	vm, err := c.node.network.DialAddress(ctx, address)
	c.post(introductionFinished{address: address, vm: vm, err: err})
}

// introductionFinished is the outcome of asking an address for its VM name.
type introductionFinished struct {
	address string
	vm      string
	err     error
}

func (e introductionFinished) apply(ctx context.Context, c *control, _ time.Time) {
	delete(c.pendingContacts, e.address)
	if e.err != nil || e.vm == c.node.options.VM {
		return
	}
	c.startExchange(ctx, member.Member{VM: e.vm, PeerAddress: e.address})
}

// zoneStatus is the object that a watcher writes for its availability zone.
type zoneStatus struct {
	Writer        string         `json:"writer"`
	ConfigVersion uint64         `json:"configVersion"`
	Written       time.Time      `json:"written"`
	Members       []statusMember `json:"members"`
}

// statusLoop writes the status of the node's availability zone every
// statusInterval while the node is a watcher.
func (c *control) statusLoop(ctx context.Context) error {
	zone := c.node.options.AvailabilityZone
	key := c.node.options.Environment + "/status/" + zone
	version := uint64(0)
	for ctx.Err() == nil {
		util.Sleep(ctx, statusInterval)
		if !c.watching.Load() || ctx.Err() != nil {
			continue
		}
		value, err := json.Marshal(c.zoneStatus(zone))
		if err != nil {
			continue
		}
		written, err := c.node.platform.Put(ctx, key, value, version)
		// On a conflict, written is the version of the object that another watcher
		// wrote; the next round replaces that object.
		if written > 0 || err == nil {
			version = written
		}
	}
	return ctx.Err()
}

func (c *control) zoneStatus(zone string) zoneStatus {
	view := c.node.View()
	status := zoneStatus{Writer: c.node.options.VM, ConfigVersion: view.ConfigVersion, Written: time.Now()}
	for _, m := range membersOf(view) {
		if m.AvailabilityZone == zone {
			status.Members = append(status.Members, m)
		}
	}
	return status
}
