package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bronzereach/bronzereach/pkg/document"
)

// newServiceTimeSampler returns a function that returns random service times of an
// upstream. They are log-normal, and a SlowReplyFraction of them is multiplied by
// SlowFactor. All service times of a slow upstream are multiplied by
// slowReplicaFactor.
func (p *Plan) newServiceTimeSampler(slow bool) func(*rand.Rand) time.Duration {
	// With this mu the mean of the log-normal distribution is ServiceTime.
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

// meanSlotTime returns the mean time that a request holds a slot of an upstream, as
// the gate counts it: the service time and the round trip to the upstream.
func (p *Plan) meanSlotTime(slow bool) time.Duration {
	mean := float64(p.ServiceTime) * (1 + p.SlowReplyFraction*(p.SlowFactor-1))
	if slow {
		mean *= slowReplicaFactor
	}
	return time.Duration(mean) + 2*p.Latency
}

// chooseSlowReplicas chooses the upstreams that are slow throughout the run, at most
// one of each service. It returns the index of the slow one in Service.Upstreams, by
// service name. Calls with the same plan and seed return the same choice, so that
// capacity counts the upstreams as slow that serviceTimeSamplers makes slow.
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

// capacity returns the requests per second that the target of a kind can serve. A
// request needs one upstream of every service of the target, so that the service with
// the lowest capacity limits the rate. Slow upstreams count with their longer service
// times.
func (p *Plan) capacity(kind document.Kind, seed uint64) float64 {
	slow := p.chooseSlowReplicas(seed)
	lowest := math.Inf(1)
	for _, name := range p.Document.ServicesOf(kind.TargetName()) {
		service, _ := p.Document.Service(name)
		rate := 0.0
		for position := range service.Upstreams {
			slowPosition, found := slow[name]
			slotTime := p.meanSlotTime(found && slowPosition == position)
			rate += float64(service.Limits.Slots) / slotTime.Seconds()
		}
		lowest = min(lowest, rate)
	}
	return lowest
}

// serviceTimeSamplers returns a function for local.Config.ServiceTime. The function
// takes a service without the index of the upstream, so it counts its calls: the nth
// call with a service returns the sampler of the nth upstream of that service. It
// relies on package local, which calls it once for each upstream, in the document's
// order and from one goroutine.
func (p *Plan) serviceTimeSamplers(seed uint64) func(document.Service) func(*rand.Rand) time.Duration {
	slow := p.chooseSlowReplicas(seed)
	nextPosition := map[string]int{}
	return func(service document.Service) func(*rand.Rand) time.Duration {
		slowPosition, found := slow[service.Name]
		isSlow := found && slowPosition == nextPosition[service.Name]
		nextPosition[service.Name]++
		return p.newServiceTimeSampler(isSlow)
	}
}
