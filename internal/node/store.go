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

// Intervals of the calls on the platform.
const (
	// introductions is the number of unknown VMs of the list tried at once.
	introductions  = 3
	idlePause      = 200 * time.Millisecond
	vmInterval     = time.Second
	statusInterval = 5 * time.Second
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 5 * time.Second
)

// chooseWatchers decides, without a lease, whether this node is one of those
// that call the platform for the others.
func (c *control) chooseWatchers() {
	if c.watchersAt == c.table.Generation() {
		return
	}
	c.watchersAt = c.table.Generation()
	c.chosen = slices.ContainsFunc(member.Watchers(c.table.Members()), func(m member.Member) bool {
		return m.VM == c.node.options.VM
	})
	c.watching.Store(c.chosen)
}

// backoff is the growing pause after calls that failed.
type backoff struct {
	pause time.Duration
}

// wait sleeps for a random part of the pause and doubles it.
func (b *backoff) wait(ctx context.Context) {
	b.pause = min(max(firstBackoff, 2*b.pause), longestBackoff)
	util.Sleep(ctx, b.pause/2+time.Duration(rand.Int64N(int64(b.pause/2))))
}

func (b *backoff) reset() {
	b.pause = 0
}

// watchLoop waits on the configuration object while the node is a watcher or
// has no configuration yet.
func (c *control) watchLoop(ctx context.Context) error {
	var pause backoff
	key := promotion.Key(c.node.options.Environment)
	first := true
	for ctx.Err() == nil {
		if !first && !c.watching.Load() && c.version.Load() > 0 {
			util.Sleep(ctx, idlePause)
			continue
		}
		object, err := c.readConfig(ctx, key, first)
		if ctx.Err() != nil {
			break
		}
		c.post(objectSeen{object: object, err: err})
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

// objectSeen is what the platform says of the configuration object.
type objectSeen struct {
	object platform.Object
	err    error
}

func (e objectSeen) apply(_ context.Context, c *control, now time.Time) {
	c.storeTried = true
	if e.err != nil {
		c.recordStore(true, e.err.Error())
		return
	}
	c.recordStore(false, "")
	c.adopt(e.object.Version, e.object.Value)
	if e.object.Version <= c.version.Load() {
		c.confirmed = now
	}
}

// vmLoop reads the list of VMs while the node is a watcher or looks for peers.
func (c *control) vmLoop(ctx context.Context) error {
	var pause backoff
	for ctx.Err() == nil {
		if c.joining.Load() {
			c.post(peersWanted{addresses: c.node.options.Peers})
		}
		if !c.joining.Load() && !c.watching.Load() {
			util.Sleep(ctx, idlePause)
			continue
		}
		vms, err := c.node.platform.VMs(ctx)
		if err != nil {
			pause.wait(ctx)
			continue
		}
		pause.reset()
		c.post(vmsSeen{vms: vms})
		util.Sleep(ctx, vmInterval)
	}
	return ctx.Err()
}

// vmsSeen is the platform's list of VMs.
type vmsSeen struct {
	vms []platform.VM
}

func (e vmsSeen) apply(ctx context.Context, c *control, now time.Time) {
	var unknown []string
	for _, vm := range e.vms {
		if vm.Leaving {
			c.noticeLeaving(vm, now)
			continue
		}
		m, found := c.table.Get(vm.Name)
		if (!found || m.State == member.Dead) && vm.Name != c.node.options.VM && !c.isUpstream(vm.Address) {
			unknown = append(unknown, vm.Address)
		}
	}
	// A few are enough to hear of the others.
	c.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	peersWanted{addresses: unknown[:min(len(unknown), introductions)]}.apply(ctx, c, now)
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

// noticeLeaving passes on that an upstream, or one of the system's own VMs, is
// listed as leaving.
func (c *control) noticeLeaving(vm platform.VM, now time.Time) {
	if m, found := c.table.Get(vm.Name); found && m.PeerAddress == vm.Address {
		incarnation := strconv.FormatUint(m.Incarnation, 10)
		c.notice(now, &wire.Notice{Upstream: vm.Address, Incarnation: incarnation, Sequence: uint64(now.UnixNano())})
		return
	}
	if c.isUpstream(vm.Address) {
		c.notice(now, &wire.Notice{Upstream: vm.Address, Sequence: uint64(now.UnixNano())})
	}
}

// peersWanted asks for links to addresses whose VMs are not known.
type peersWanted struct {
	addresses []string
}

func (e peersWanted) apply(ctx context.Context, c *control, _ time.Time) {
	for _, address := range e.addresses {
		if address == c.node.options.PeerAddress || !c.checking.Add(address) {
			continue
		}
		go c.introduceLoop(ctx, address)
	}
}

func (c *control) introduceLoop(ctx context.Context, address string) {
	vm, err := c.node.network.Introduce(ctx, address)
	c.post(introduced{address: address, vm: vm, err: err})
}

// introduced tells which VM answers at an address.
type introduced struct {
	address string
	vm      string
	err     error
}

func (e introduced) apply(ctx context.Context, c *control, _ time.Time) {
	delete(c.checking, e.address)
	if e.err != nil || e.vm == c.node.options.VM {
		return
	}
	c.contact(ctx, member.Member{VM: e.vm, PeerAddress: e.address})
}

// zoneStatus is what a watcher writes for its availability zone.
type zoneStatus struct {
	Writer        string         `json:"writer"`
	ConfigVersion uint64         `json:"configVersion"`
	Written       time.Time      `json:"written"`
	Members       []statusMember `json:"members"`
}

// statusLoop writes one object per availability zone every few seconds.
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
		// On a conflict this is the version of the other watcher's object; the
		// next round replaces it.
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
