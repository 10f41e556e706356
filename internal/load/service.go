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

// meanService is the mean of the service times of upstreams that aren't slow.
func (p *Plan) meanService() time.Duration {
	factor := 1 + p.SlowReplies*(p.SlowFactor-1)
	return time.Duration(float64(p.ServiceTime) * factor)
}

// capacity is the rate of requests, a second, that a kind's target can take:
// that of its smallest service.
func (p *Plan) capacity(kind document.Kind) float64 {
	smallest := math.Inf(1)
	for _, name := range p.Document.ServicesOf(kind.Target()) {
		service, _ := p.Document.Service(name)
		slots := float64(service.Limits.Slots * len(service.Upstreams))
		smallest = min(smallest, slots/p.meanService().Seconds())
	}
	return smallest
}

// serviceTimes returns what draws the times of each service's upstreams. Which
// upstreams are slow all the time is drawn from the seed, at most one of each
// service.
func (p *Plan) serviceTimes(seed uint64) func(document.Service) func(*rand.Rand) time.Duration {
	random := rand.New(rand.NewPCG(seed, 7))
	started := map[string]int{}
	slowIn := map[string]bool{}
	return func(service document.Service) func(*rand.Rand) time.Duration {
		started[service.Name]++
		slow := !slowIn[service.Name] && random.Float64() < p.SlowReplicas
		slowIn[service.Name] = slowIn[service.Name] || slow
		return p.draw(slow)
	}
}
