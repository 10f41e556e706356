package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// slowEffectFactor multiplies the service times of an upstream with effect Slow.
const slowEffectFactor = 10

// Effect is the fault that a disturbance causes at an upstream.
type Effect string

// Effects of a disturbance.
const (
	// Slow multiplies the service times by slowEffectFactor.
	Slow Effect = "slow"
	// Dead closes the upstream.
	Dead Effect = "dead"
	// Silent makes the upstream accept requests and never reply.
	Silent Effect = "silent"
	// Endless makes the upstream send replies without end.
	Endless Effect = "endless"
	// InvalidStatus makes the upstream send replies without a valid status.
	InvalidStatus Effect = "invalidStatus"
	// Leave makes the upstream refuse new requests and report that it is leaving.
	Leave Effect = "leave"
	// TellLeaving makes the upstream tell in its replies that it is leaving, while it
	// still serves requests.
	TellLeaving Effect = "tellLeaving"
	// Shed makes the upstream refuse requests as overload.
	Shed Effect = "shed"
)

// effects are the effects that a plan may name. An effect that ends may have an end
// before that of the run.
var effects = map[Effect]struct{ ends, leaves bool }{
	Slow:          {ends: true},
	Dead:          {},
	Silent:        {ends: true},
	Endless:       {ends: true},
	InvalidStatus: {ends: true},
	Leave:         {leaves: true},
	TellLeaving:   {leaves: true},
	Shed:          {ends: true},
}

// Disturbance is a fault of one upstream, or of a share of all upstreams.
type Disturbance struct {
	Service string
	// Replica is the number of the upstream in its service, from 1; 0 with a Share.
	Replica int
	// Share is the fraction of the upstreams of all services; 0 for one upstream.
	Share  float64
	Effect Effect
	// Endless is the part of the replies that has no end.
	Endless standin.EndlessPart
	// RetryAfter is how long a shedding upstream says that it wants no requests.
	RetryAfter time.Duration
	// Listed is true if the platform lists a leaving upstream as leaving.
	Listed bool
	// At and To are the times of the run between which the disturbance lasts.
	At time.Duration
	To time.Duration
}

func readDisturbances(root *document.Table, plan *Plan) {
	for _, table := range root.Tables("disturbance") {
		d := Disturbance{
			Effect: Effect(table.Text("effect")),
			At:     runTimeOr(table, "at", 0),
			To:     runTimeOr(table, "to", plan.Duration),
		}
		readDisturbed(table, &d)
		readEffect(table, &d)
		plan.Disturbances = append(plan.Disturbances, d)
		table.ReportUnknownKeys()
	}
}

// readDisturbed reads which upstreams are disturbed.
func readDisturbed(table *document.Table, d *Disturbance) {
	if !table.Has("share") {
		d.Service, d.Replica = table.Text("service"), table.Count("replica")
		return
	}
	d.Share = table.PercentOr("share", 0)
	if d.Share == 0 {
		table.Problemf("share", "a share must be above 0%%")
	}
}

// readEffect reads what belongs to some effects only.
func readEffect(table *document.Table, d *Disturbance) {
	effect, known := effects[d.Effect]
	switch {
	case !known:
		table.Problemf("effect", "the effect %q is not known", d.Effect)
	case table.Has("to") && !effect.ends:
		table.Problemf("to", "the effect %q has no end", d.Effect)
	case d.To <= d.At && table.Has("to"):
		table.Problemf("to", "a disturbance must end after it starts")
	}
	if effect.leaves {
		d.Listed = table.BoolOr("listed", false)
	}
	if d.Effect == Shed {
		d.RetryAfter = table.DurationOr("retryAfter", 0)
	}
	if d.Effect == Endless {
		d.Endless = standin.EndlessPart(table.TextOr("part", string(standin.EndlessBody)))
		if !standin.IsEndlessPart(d.Endless) {
			table.Problemf("part", "the part %q of a reply is not known", d.Endless)
		}
	}
}

// checkDisturbances returns an error if a disturbance is of no upstream of the document.
func (p *Plan) checkDisturbances() error {
	for _, d := range p.Disturbances {
		if d.Share > 0 {
			continue
		}
		service, found := p.Document.Service(d.Service)
		if !found || d.Replica > len(service.Upstreams) {
			return errors.Errorf("disturbance %q: service %q has no replica %d", d.Effect, d.Service, d.Replica)
		}
	}
	return nil
}

// disturbed identifies an upstream by its service and its position in it.
type disturbed struct {
	service  string
	position int
}

// chooseDisturbed returns the upstreams of each disturbance. No upstream is in two shares,
// or in a share and disturbed by itself.
func (p *Plan) chooseDisturbed(seed uint64) [][]disturbed {
	order := p.shareOrder(seed)
	total := 0
	for _, service := range p.Document.Services {
		total += len(service.Upstreams)
	}
	chosen := make([][]disturbed, len(p.Disturbances))
	for i, d := range p.Disturbances {
		if d.Share == 0 {
			chosen[i] = []disturbed{{d.Service, d.Replica - 1}}
			continue
		}
		count := min(int(math.Round(d.Share*float64(total))), len(order))
		chosen[i], order = order[:count], order[count:]
	}
	return chosen
}

// shareOrder returns the upstreams in the order in which shares take them: one of each
// service after the other, so that each share is spread over the services. The seed
// determines which ones.
func (p *Plan) shareOrder(seed uint64) (order []disturbed) {
	random := rand.New(rand.NewPCG(seed, 11))
	positions := map[string][]int{}
	longest := 0
	for _, service := range p.Document.Services {
		positions[service.Name] = random.Perm(len(service.Upstreams))
		longest = max(longest, len(service.Upstreams))
	}
	for turn := range longest {
		for _, i := range random.Perm(len(p.Document.Services)) {
			service := p.Document.Services[i]
			if turn >= len(service.Upstreams) {
				continue
			}
			u := disturbed{service.Name, positions[service.Name][turn]}
			if !p.disturbsItself(u) {
				order = append(order, u)
			}
		}
	}
	return order
}

// disturbsItself reports whether a disturbance is of this upstream only.
func (p *Plan) disturbsItself(u disturbed) bool {
	return slices.ContainsFunc(p.Disturbances, func(d Disturbance) bool {
		return d.Share == 0 && d.Service == u.service && d.Replica-1 == u.position
	})
}

// scheduleDisturbances starts and ends the disturbances at their times.
func (r *runner) scheduleDisturbances() {
	plan := &r.config.Plan
	for i, chosen := range plan.chooseDisturbed(r.config.Seed) {
		d := plan.Disturbances[i]
		upstreams := make([]*standin.Upstream, len(chosen))
		for j, u := range chosen {
			upstreams[j] = r.system.Upstreams[u.service][u.position]
		}
		time.AfterFunc(time.Until(r.start.Add(d.At)), func() { r.startDisturbance(d, upstreams) })
		if effects[d.Effect].ends && d.To < plan.Duration {
			time.AfterFunc(time.Until(r.start.Add(d.To)), func() { endDisturbance(upstreams) })
		}
	}
}

func (r *runner) startDisturbance(d Disturbance, upstreams []*standin.Upstream) {
	for _, u := range upstreams {
		d.apply(u)
		if d.Listed {
			r.system.ListLeaving(u)
		}
	}
}

func endDisturbance(upstreams []*standin.Upstream) {
	for _, u := range upstreams {
		u.InjectFaults(standin.UpstreamFaults{})
	}
}

// apply causes the effect at an upstream.
func (d Disturbance) apply(u *standin.Upstream) {
	switch d.Effect {
	case Slow:
		u.InjectFaults(standin.UpstreamFaults{Slowdown: slowEffectFactor})
	case Silent:
		u.InjectFaults(standin.UpstreamFaults{Silent: true})
	case Endless:
		u.InjectFaults(standin.UpstreamFaults{Endless: d.Endless})
	case InvalidStatus:
		u.InjectFaults(standin.UpstreamFaults{InvalidStatus: true})
	case Shed:
		u.InjectFaults(standin.UpstreamFaults{Shed: true, RetryAfter: d.RetryAfter})
	case Dead:
		u.Close()
	case Leave:
		u.Leave()
	case TellLeaving:
		u.TellLeaving()
	}
}
