package gate

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/admission"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// maximumState is the largest state an upstream may send, in bytes.
const maximumState = 1 << 20

// admittedStep is the least change of an admitted fraction, relative to the
// old one, that makes a new report.
const admittedStep = 0.05

// heldVersions is what one upstream says it holds.
type heldVersions []upstream.Version

// poll asks every upstream for its state.
func (s *service) poll(ctx context.Context) {
	var group sync.WaitGroup
	for position := range s.definition.Upstreams {
		group.Go(func() { s.pollOne(ctx, position) })
	}
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuildReport()
	s.pump(time.Now())
}

func (s *service) pollOne(ctx context.Context, position int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	state, err := s.fetchState(ctx, s.definition.Upstreams[position])
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		return
	}
	numbers := make([]uint64, len(state.Versions))
	for i, version := range state.Versions {
		numbers[i] = version.Number
	}
	s.set.See(position, state.Incarnation, numbers)
	s.held[position] = state.Versions
	if state.Load.Leaving && s.set.Leave(position, state.Incarnation) {
		s.gates.config.Recorder.Record(timeline.Event{
			Name:     timeline.UpstreamLeaving,
			Service:  s.definition.Name,
			Upstream: s.definition.Upstreams[position],
			Detail:   "state",
		})
	}
}

func (s *service) fetchState(ctx context.Context, address string) (state upstream.State, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+upstream.StatePath, nil)
	if err != nil {
		return state, errors.WithStack(err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return state, errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, errors.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maximumState)).Decode(&state)
	return state, errors.WithStack(err)
}

// updateAdmission learns the load and decides what to admit.
func (s *service) updateAdmission(now time.Time) {
	if s.gates.config.Mode == Direct {
		return
	}
	s.capacity = s.set.Capacity(now)
	var waiting admission.Load
	for rank := range min(len(s.floors), len(waiting)) {
		waiting[rank] = float64(s.queue.Waiting(rank))
	}
	fractions := s.meter.Tick(now, s.capacity, waiting, s.floors)
	for rank := range fractions {
		change := math.Abs(float64(fractions[rank] - s.admitted[rank]))
		if change > admittedStep*float64(s.admitted[rank]) || fractions[rank] == 1 {
			s.admitted[rank] = fractions[rank]
		}
	}
}

// rebuildReport makes a new report if anything in it has changed.
func (s *service) rebuildReport() {
	report := &wire.Report{
		Service:  s.definition.Name,
		Versions: s.versions(time.Now()),
		Admitted: slices.Clone(s.admitted[:min(len(s.floors), admission.MaximumRanks)]),
		Sequence: s.report.GetSequence(),
	}
	if proto.Equal(report, s.report) {
		return
	}
	// A stamp rises also from one gate of the service to the next.
	report.Sequence = uint64(s.gates.config.Recorder.Clock.Now())
	s.report = report
}

func (s *service) currentReport() *wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}

// versions joins what the usable upstreams hold. Replicas that disagree with
// the first one about the ranges of a version are not counted.
func (s *service) versions(now time.Time) []*wire.Version {
	var joined []*wire.Version
	for position, held := range s.held {
		for _, version := range held {
			if s.set.Holds(position, version.Number, now) {
				joined = addVersion(joined, version)
			}
		}
	}
	slices.SortFunc(joined, func(a, b *wire.Version) int { return cmp.Compare(a.GetNumber(), b.GetNumber()) })
	return joined
}

func addVersion(joined []*wire.Version, version upstream.Version) []*wire.Version {
	added := &wire.Version{Number: version.Number, Replicas: 1}
	for _, r := range version.Ranges {
		added.Ranges = append(added.Ranges, &wire.Range{Low: r.Low, High: r.High})
	}
	for _, known := range joined {
		if known.GetNumber() != version.Number {
			continue
		}
		if slices.EqualFunc(known.GetRanges(), added.GetRanges(), sameRange) {
			known.Replicas++
		}
		return joined
	}
	return append(joined, added)
}

func sameRange(a, b *wire.Range) bool {
	return a.GetLow() == b.GetLow() && a.GetHigh() == b.GetHigh()
}

// note takes an upstream's own view of its load from a reply. Only its leaving
// is believed.
func (s *service) note(position int, load *upstream.Load) {
	if load == nil || !load.Leaving {
		return
	}
	s.notice(s.definition.Upstreams[position], "")
}

// outcomeOf maps what an upstream said to what the gate learns from it.
func outcomeOf(outcome upstream.Outcome) replica.Outcome {
	switch outcome {
	case upstream.Done:
		return replica.Succeeded
	case upstream.Shed:
		return replica.Refused
	default:
		return replica.Declined
	}
}
