package node

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/peer"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/timer"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// snapshotHandler answers each call with the same upstreams.
type snapshotHandler struct {
	upstreams *wire.Upstreams
}

// Handle implements peer.Handler.
func (h snapshotHandler) Handle(_ context.Context, _ *wire.Call, send func(*wire.Reply) error) {
	_ = send(&wire.Reply{Body: &wire.Reply_Upstreams{Upstreams: h.upstreams}})
}

// newSnapshotNode returns a node whose only peer answers with the upstreams.
func newSnapshotNode(t *testing.T, log logr.Logger, upstreams *wire.Upstreams) *Node {
	t.Helper()
	newNetwork := func(vm string, handler peer.Handler) *peer.Network {
		return peer.NewNetwork(peer.Config{VM: vm, Clock: &timeline.Clock{}, Timers: timer.NewService(), Handler: handler, Log: logr.Discard()})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = newNetwork("vm-2", snapshotHandler{upstreams}).Serve(t.Context(), listener) }()
	n := &Node{options: Options{VM: "vm-1"}, log: log, network: newNetwork("vm-1", nil), unreadableNotices: newUnreadableNotices(log)}
	n.view.Store(&entry.View{Members: map[string]member.Member{"vm-2": {VM: "vm-2", State: member.Ready, PeerAddress: listener.Addr().String()}}})
	return n
}

// TestUnreadableNoticeLeavesTheRest checks that one odd notice doesn't cost a node the whole
// snapshot of a peer, and is logged once.
func TestUnreadableNoticeLeavesTheRest(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	readable := upstream.Revision(7)
	n := newSnapshotNode(t, log, &wire.Upstreams{
		Revision:      9,
		Registrations: []*wire.Registration{{Id: "a"}},
		Notices: []*wire.Notice{
			{Upstream: "odd", Incarnation: "no revision" + strings.Repeat("x", 10_000)},
			{Upstream: "b", Incarnation: readable.Encode()},
		},
	})
	for range 3 {
		known, err := n.RequestUpstreams(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(known.Registrations) != 1 || len(known.Reports) != 1 || known.Reports[0] != (upstream.LeaveReport{ID: "b", Revision: readable}) {
			t.Errorf("the node takes over %+v", known)
		}
	}
	if len(lines) != 1 || !strings.Contains(lines[0], `"odd"`) || len(lines[0]) > 2*maxNoticeText {
		t.Errorf("logged %d lines: %.300q", len(lines), lines)
	}
}

// TestUnreadableNoticesAreBounded checks that a peer can't fill the log or the memory.
func TestUnreadableNoticesAreBounded(t *testing.T) {
	logged := 0
	u := newUnreadableNotices(funcr.New(func(_, _ string) { logged++ }, funcr.Options{}))
	for i := range 10 * maxUnreadableNotices {
		u.note("vm-2", []*wire.Notice{{Upstream: fmt.Sprint(i)}})
	}
	if logged != maxUnreadableNotices || len(u.logged) != maxUnreadableNotices {
		t.Errorf("%d lines, %d notices remembered, want %d", logged, len(u.logged), maxUnreadableNotices)
	}
}
