package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/peer"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/memory"
)

// Sizes of the test of unread answers.
const (
	// vmMemory is the memory of a VM.
	vmMemory = 284 * memory.Megabyte
	// longRecords records of longRecordBytes are a long answer.
	longRecords     = 2000
	longRecordBytes = 1000
	// unreadCallers is the number of callers that don't read long answers. They come one
	// after the other, over unreadTime.
	unreadCallers = 120
	unreadTime    = 2 * time.Second
)

// serveLong answers all sub-requests with many records if the query asks for it.
func serveLong(_ context.Context, batch *wire.Batch, send func(*wire.SubReply)) {
	for _, sub := range batch.GetSubRequests() {
		reply := &wire.SubReply{RequestId: batch.GetRequestId(), Service: sub.GetService(), Run: wire.RunStatus_RUN_STATUS_RAN, Version: batch.GetVersion()}
		if string(batch.GetQuery()) == "long" {
			for range longRecords {
				reply.Records = append(reply.Records, bytes.Repeat([]byte("a"), longRecordBytes))
			}
		}
		send(reply)
	}
}

// newLongServer serves an entry with the account of a VM, of whose answers the connections
// hold little.
func newLongServer(t *testing.T) (address string, account *memory.Account) {
	const vm = "vm-1"
	parsed, err := document.Parse([]byte(strings.Replace(fmt.Sprintf(ordersDocument, 5*time.Second), "repeat = false", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	recorder := timeline.NewRecorder(vm, logr.Discard())
	self := member.Member{VM: vm, Incarnation: 1, State: member.Ready, PeerAddress: "127.0.0.1:1"}
	view := &View{Document: parsed, Self: self, Members: map[string]member.Member{vm: self}}
	account = memory.NewAccount(memory.AccountSize(vmMemory, 1))
	e := New(Config{
		VM: vm, Recorder: recorder, Network: peer.NewNetwork(peer.Config{VM: vm, Clock: recorder.Clock}),
		View: func() *View { return view }, Serve: serveLong, ReportFailure: func(string) {}, Direct: true, Memory: account,
	})
	mux := http.NewServeMux()
	e.Register(mux)
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
		return ctx
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), account
}

// askLong sends a request for a long answer over a connection of its own and reads nothing.
func askLong(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	const body = `{"kind": "order", "query": "long"}`
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", QueryPath, len(body), body); err != nil {
		t.Fatal(err)
	}
}

// TestUnreadAnswersTakeLittleMemory guards against callers that don't read long answers: the
// parts of an answer are counted until it is written, and give way to those of others.
func TestUnreadAnswersTakeLittleMemory(t *testing.T) {
	address, account := newLongServer(t)
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	for range unreadCallers {
		askLong(t, address)
		time.Sleep(unreadTime / unreadCallers)
	}
	runtime.GC()
	runtime.ReadMemStats(&now)
	grown := memory.Bytes(now.HeapAlloc) - memory.Bytes(before.HeapAlloc)
	t.Logf("the heap grew by %d MB, %d MB are counted", grown/memory.Megabyte, account.Held(memory.Replies)/memory.Megabyte)
	if limit := memory.HeapLimit(vmMemory); grown > limit {
		t.Errorf("the heap grew by %d MB, it may have %d", grown/memory.Megabyte, limit/memory.Megabyte)
	}
	if account.Held(memory.Replies) == 0 {
		t.Error("the answers that are being written are not counted")
	}
	// Whoever reads its answer gets it, at the latest when it returns as it was told to.
	for until := time.Now().Add(memory.RetryAfter); ; time.Sleep(100 * time.Millisecond) {
		status, text := postLong(t, address)
		if status == http.StatusOK {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("a caller that reads its answer got status %d: %s", status, text)
		}
	}
}

// postLong sends a request for a long answer and reads it.
func postLong(t *testing.T, address string) (status int, text []byte) {
	t.Helper()
	response, err := http.Post("http://"+address+QueryPath, "application/json", strings.NewReader(`{"kind": "order", "query": "long"}`))
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer response.Body.Close()
	if text, err = io.ReadAll(response.Body); err != nil {
		return 0, []byte(err.Error())
	}
	return response.StatusCode, text
}
