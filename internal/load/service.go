package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bronzereach/bronzereach/pkg/document"
)

// serviceTimeSampler returns a function that returns random service times. They are
// log-normal, and a SlowReplyFraction of them is multiplied by SlowFactor.
func (p *Plan) serviceTimeSampler(slow bool) func(*rand.Rand) time.Duration {
	mu := math.Log(p.ServiceTime.Seconds()) - p.LogSigma*p.LogSigma/2
	return func(random *rand.Rand) time.Duration {
		seconds := math.Exp(mu + p.LogSigma*random.NormFloat64())
		if random.Float64() < p.SlowReplyFraction {
			seconds *= p.SlowFactor
		}
		if slow {
			seconds *= slowReplicaFactor
		}
		return time.Duration(seconds * float64(time.Second))
	}
}

// meanSlotTime returns the mean time that a request holds a slot of its gate: the
// service time and the round trip to the upstream.
func (p *Plan) meanSlotTime(slow bool) time.Duration {
	mean := float64(p.ServiceTime) * (1 + p.SlowReplyFraction*(p.SlowFactor-1))
	if slow {
		mean *= slowReplicaFactor
	}
	return time.Duration(mean) + 2*p.Latency
}

// chooseSlowReplicas chooses the upstreams that are slow throughout the run, at most
// one of each service. It returns their position by service. The choice depends on
// the seed only, so that capacity and serviceTimeSamplers agree on it.
func (p *Plan) chooseSlowReplicas(seed uint64) map[string]int {
	random := rand.New(rand.NewPCG(seed, 7))
	slow := map[string]int{}
	for _, service := range p.Document.Services {
		for position := range service.Upstreams {
			if _, found := slow[service.Name]; !found && random.Float64() < p.SlowReplicaFraction {
				slow[service.Name] = position
			}
		}
	}
	return slow
}

// capacity returns the requests per second that the target of a kind can serve: the
// capacity of its weakest service, where slow upstreams count with their slow rate.
func (p *Plan) capacity(kind document.Kind, seed uint64) float64 {
	slow := p.chooseSlowReplicas(seed)
	weakest := math.Inf(1)
	for _, name := range p.Document.ServicesOf(kind.TargetName()) {
		service, _ := p.Document.Service(name)
		rate := 0.0
		for position := range service.Upstreams {
			slowPosition, found := slow[name]
			slotTime := p.meanSlotTime(found && slowPosition == position)
			rate += float64(service.Limits.Slots) / slotTime.Seconds()
		}
		weakest = min(weakest, rate)
	}
	return weakest
}

// serviceTimeSamplers returns a function that returns the sampler of the next
// upstream of a service. It must be called once for each upstream, in order.
func (p *Plan) serviceTimeSamplers(seed uint64) func(document.Service) func(*rand.Rand) time.Duration {
	slow := p.chooseSlowReplicas(seed)
	started := map[string]int{}
	return func(service document.Service) func(*rand.Rand) time.Duration {
		position, found := slow[service.Name]
		isSlow := found && position == started[service.Name]
		started[service.Name]++
		return p.serviceTimeSampler(isSlow)
	}
}
