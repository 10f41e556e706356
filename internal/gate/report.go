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

// maximumStateBytes is the largest state body that is read from an upstream.
const maximumStateBytes = 1 << 20

// minAdmittedChange is the smallest change of an admitted fraction, relative to
// its old value, that is put into a new report.
const minAdmittedChange = 0.05

// heldVersions lists the index versions that one upstream reports to hold.
type heldVersions []upstream.Version

// poll fetches the state of every upstream and waits for all of them.
func (s *service) poll(ctx context.Context) {
	var group sync.WaitGroup
	for position := range s.definition.Upstreams {
		group.Go(func() { s.pollOne(ctx, position) })
	}
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polled = true
	s.rebuildReport()
	s.dispatch(time.Now())
}

func (s *service) pollOne(ctx context.Context, position int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt, address := time.Now(), s.definition.Upstreams[position]
	state, err := s.fetchState(ctx, address)
	if err != nil {
		return
	}
	s.updateState(position, state, sentAt)
	s.recordStatement(statement{
		address:     address,
		incarnation: state.Incarnation,
		leaving:     state.Load.Leaving,
		retryAfter:  time.Duration(state.Load.RetryAfter),
		source:      timeline.State,
		sentAt:      sentAt,
	})
}

func (s *service) updateState(position int, state upstream.State, sentAt time.Time) {
	numbers := make([]uint64, len(state.Versions))
	for i, version := range state.Versions {
		numbers[i] = version.Number
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if notBefore, known := state.StartedNotBefore(sentAt); known {
		s.upstreams.NoteStart(position, notBefore)
	}
	s.upstreams.UpdateState(position, state.Incarnation, numbers)
	s.reportedVersions[position] = state.Versions
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
		return state, errors.Errorf("the state request to the upstream returned HTTP status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maximumStateBytes)).Decode(&state)
	return state, errors.WithStack(err)
}

// updateAdmission computes the fraction of requests to admit for each rank from
// the offered load, the queue and the capacity of the upstreams. The caller holds
// s.mu.
func (s *service) updateAdmission(now time.Time) {
	if s.gates.config.Mode == Direct {
		return
	}
	s.capacity = s.upstreams.Capacity(now)
	var waiting admission.Load
	for rank := range min(len(s.floors), len(waiting)) {
		waiting[rank] = float64(s.queue.Waiting(rank))
	}
	fractions := s.meter.Tick(now, s.capacity, waiting, s.floors)
	for rank := range fractions {
		change := math.Abs(float64(fractions[rank] - s.admittedFractions[rank]))
		if change > minAdmittedChange*float64(s.admittedFractions[rank]) || fractions[rank] == 1 {
			s.admittedFractions[rank] = fractions[rank]
		}
	}
}

// rebuildReport replaces the report if its content has changed. Before the first poll it
// does nothing: the report would say that no upstream holds anything. The caller holds
// s.mu.
func (s *service) rebuildReport() {
	if !s.polled {
		return
	}
	report := &wire.Report{
		Service:  s.definition.Name,
		Versions: s.mergedVersions(time.Now()),
		Admitted: slices.Clone(s.admittedFractions[:min(len(s.floors), admission.MaximumRanks)]),
		Sequence: s.report.GetSequence(),
		Process:  s.gates.config.Process,
	}
	if proto.Equal(report, s.report) {
		return
	}
	s.report = report
	s.stampReport()
}

// stampReport makes the report newer than all others of this process. Nodes of older builds
// know no processes and take the report with the highest stamp; the stamps of the clock
// mostly increase across nodes too. The caller holds s.mu.
func (s *service) stampReport() {
	s.report = &wire.Report{
		Service:  s.report.GetService(),
		Versions: s.report.GetVersions(),
		Admitted: s.report.GetAdmitted(),
		Sequence: uint64(s.gates.config.Recorder.Clock.Now()),
		Process:  s.report.GetProcess(),
	}
}

// reportUnlessKnown returns the report for an entry that has the one with the given
// sequence; nil if that is the current one, or if this node serves neither as the gate nor
// as a standby. A gate stamps its report anew if the entry takes that of another node for
// newer.
func (s *service) reportUnlessKnown(known uint64, standby bool) *wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.polled || s.role != active && !standby || s.report.GetSequence() == known {
		return nil
	}
	if s.role == active && known > s.report.GetSequence() {
		s.stampReport()
	}
	return s.report
}

// describe returns the report, stamped anew, as the entry that asks for it has found
// insufficient what it has; nil if this node does not know the state of the upstreams.
func (s *service) describe() *wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.polled || s.role != active {
		return nil
	}
	s.stampReport()
	return s.report
}

// mergedVersions returns the index versions that the usable upstreams hold,
// sorted by number. A replica that reports other ranges for a version than the
// first one is not counted.
func (s *service) mergedVersions(now time.Time) []*wire.Version {
	var joined []*wire.Version
	for position, reportedVersions := range s.reportedVersions {
		for _, version := range reportedVersions {
			if s.upstreams.CanServe(position, version.Number, now) {
				joined = mergeVersion(joined, version)
			}
		}
	}
	slices.SortFunc(joined, func(a, b *wire.Version) int { return cmp.Compare(a.GetNumber(), b.GetNumber()) })
	return joined
}

func mergeVersion(joined []*wire.Version, version upstream.Version) []*wire.Version {
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

// outcomeOf maps the outcome that an upstream returned to the one recorded in its
// statistics.
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
