package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bronzereach/bronzereach/pkg/document"
)

// draw returns a function that draws service times: log-normal, with some
// replies slower by a factor.
func (p *Plan) draw(slow bool) func(*rand.Rand) time.Duration {
	mu := math.Log(p.ServiceTime.Seconds()) - p.Spread*p.Spread/2
	return func(random *rand.Rand) time.Duration {
		seconds := math.Exp(mu + p.Spread*random.NormFloat64())
		if random.Float64() < p.SlowReplies {
			seconds *= p.SlowFactor
		}
		if slow {
			seconds *= slowReplicaFactor
		}
		return time.Duration(seconds * float64(time.Second))
	}
}

// holdTime is the mean time that a request holds a slot, as its gate sees it:
// the service time and the way there and back.
func (p *Plan) holdTime(slow bool) time.Duration {
	mean := float64(p.ServiceTime) * (1 + p.SlowReplies*(p.SlowFactor-1))
	if slow {
		mean *= slowReplicaFactor
	}
	return time.Duration(mean) + 2*p.Latency
}

// slowOnes draws from the seed which upstreams are slow all the time, at most
// one of each service: the position of it in its service.
func (p *Plan) slowOnes(seed uint64) map[string]int {
	random := rand.New(rand.NewPCG(seed, 7))
	slow := map[string]int{}
	for _, service := range p.Document.Services {
		for position := range service.Upstreams {
			if _, found := slow[service.Name]; !found && random.Float64() < p.SlowReplicas {
				slow[service.Name] = position
			}
		}
	}
	return slow
}

// capacity is the rate of requests, a second, that a kind's target can take:
// that of its weakest service, slow upstreams counted as slow.
func (p *Plan) capacity(kind document.Kind, seed uint64) float64 {
	slow := p.slowOnes(seed)
	weakest := math.Inf(1)
	for _, name := range p.Document.ServicesOf(kind.TargetName()) {
		service, _ := p.Document.Service(name)
		rate := 0.0
		for position := range service.Upstreams {
			slowPosition, found := slow[name]
			hold := p.holdTime(found && slowPosition == position)
			rate += float64(service.Limits.Slots) / hold.Seconds()
		}
		weakest = min(weakest, rate)
	}
	return weakest
}

// serviceTimes returns what draws the times of each service's upstreams, which
// are asked for in their order.
func (p *Plan) serviceTimes(seed uint64) func(document.Service) func(*rand.Rand) time.Duration {
	slow := p.slowOnes(seed)
	started := map[string]int{}
	return func(service document.Service) func(*rand.Rand) time.Duration {
		position, found := slow[service.Name]
		isSlow := found && position == started[service.Name]
		started[service.Name]++
		return p.draw(isSlow)
	}
}
