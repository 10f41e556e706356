package relay

import (
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/route"
)

// sendTeamRequest sends a request of a team on a route of the given rank.
func (s *singleSlotService) sendTeamRequest(team *route.Team, rank int) *forwarder {
	request := &Request{Team: team, Route: &route.Route{Rank: rank}}
	f := &forwarder{request: request, events: make(chan forwarderEvent, 1)}
	answerBy := s.now.Add(time.Second)
	s.service.reserveOrEnqueue(s.now, waiter{forwarder: f, answerBy: answerBy, grantBy: answerBy})
	return f
}

// TestTeamRankGoesBeforeRouteRank guards against waiting requests that are ordered by the
// rank of their route though their team has one.
func TestTeamRankGoesBeforeRouteRank(t *testing.T) {
	s := newSingleSlotService()
	_, slot := s.sendRequest(0, time.Second)
	urgentRoute := s.sendTeamRequest(&route.Team{Rank: 2, Ranked: true}, 0)
	unranked := s.sendTeamRequest(&route.Team{}, 1)
	urgentTeam := s.sendTeamRequest(&route.Team{Rank: 0, Ranked: true}, 2)
	for i, f := range []*forwarder{urgentTeam, unranked, urgentRoute} {
		s.finishAttempt(slot, 10*time.Millisecond)
		if !granted(f) {
			t.Fatalf("the slot was not granted to waiter %d", i)
		}
	}
}

// newTeamRelay returns a relay whose table has an urgent and an unranked team.
func newTeamRelay(account *memory.Account) *Relay {
	r := New(Config{Fleet: func() Fleet { return Fleet{Serving: 1, Serves: true} }, Protocol: noProtocol{}, Memory: account, Log: logr.Discard()})
	r.SetTable(route.NewTable(route.Config{
		Version: 1,
		Routes:  []route.Route{{Host: "h", Prefix: "/", Rank: 1, Shards: []string{"s"}}},
		Teams:   []route.Team{{Name: "urgent", Keys: []string{"u"}, Ranked: true}, {Name: "usual", Keys: []string{"n"}}},
	}))
	return r
}

// TestMemoryIsAdmittedByTeamRank guards against requests of an urgent team that are refused
// although memory is kept for urgent ones.
func TestMemoryIsAdmittedByTeamRank(t *testing.T) {
	account := memory.NewAccount(memory.Megabyte)
	held := account.Open(memory.Holder{Kind: memory.Requests})
	var err error
	for err == nil {
		err = held.Reserve(memory.Kilobyte, time.Time{})
	}
	r := newTeamRelay(account)
	for key, want := range map[string]bool{"u": true, "n": false} {
		request := &Request{Host: "h", Path: "/", Key: key, Received: time.Now().Add(-memory.AdmissionTimeout)}
		answer := r.Admit(request, "10.0.0.1")
		request.Release()
		if admitted := answer == nil; admitted != want {
			t.Errorf("key %q: admitted %t, want %t", key, admitted, want)
		}
	}
}

// TestUnauthorizedTakesNoMemory guards against callers without a valid key that take memory
// from others.
func TestUnauthorizedTakesNoMemory(t *testing.T) {
	account := memory.NewAccount(memory.Megabyte)
	r := newTeamRelay(account)
	request := &Request{Host: "h", Path: "/", Key: "x", Received: time.Now()}
	answer := r.Admit(request, "10.0.0.1")
	if answer == nil || answer.Outcome != Unauthorized || answer.Run != NotRun || answer.Reason != ReasonUnknownKey || answer.ConfigVersion != 1 {
		t.Errorf("got %+v, want unauthorized", answer)
	}
	if held := account.Held(memory.Requests); held != 0 {
		t.Errorf("%d bytes are held", held)
	}
	request.Release()
}

// TestTeamIsThatOfTheCurrentTable guards against a request that is served by its team in an
// older table than its route.
func TestTeamIsThatOfTheCurrentTable(t *testing.T) {
	withdrawn := []route.Team{{Name: "urgent", Keys: []string{"other"}}}
	for _, test := range []struct {
		teams   []route.Team
		public  bool
		outcome Outcome
	}{{withdrawn, false, Unauthorized}, {withdrawn, true, Malformed}, {nil, false, Malformed}} {
		r := newTeamRelay(nil)
		request := &Request{Host: "h", Path: "/", Key: "u", Received: time.Now()}
		if answer := r.Admit(request, "10.0.0.1"); answer != nil {
			t.Fatalf("got %+v", answer)
		}
		if request.teamName() != "urgent" {
			t.Errorf("team %q", request.teamName())
		}
		r.SetTable(route.NewTable(route.Config{
			Version: 2,
			Routes:  []route.Route{{Host: "h", Prefix: "/", Shards: []string{"s"}, Public: test.public}},
			Teams:   test.teams,
		}))
		if answer := r.Do(t.Context(), request); answer.Outcome != test.outcome || answer.ConfigVersion != 2 {
			t.Errorf("%+v: got %+v", test, answer)
		}
		if request.Team != nil {
			t.Errorf("%+v: team %q, want none", test, request.teamName())
		}
	}
}

// noProtocol is a protocol by which no request can be sent.
type noProtocol struct {
	Protocol
}

func (noProtocol) Prepare(*Request) (PreparedRequest, error) {
	return PreparedRequest{}, errors.New("not to be sent")
}
