package peer

import (
	"net"
	"testing"
	"time"
	"unsafe"
)

// setBack returns the time as read at the same moment from a clock that was set back by
// an hour: the steady reading stays.
func setBack(t *testing.T, at time.Time) time.Time {
	t.Helper()
	const secondsOffset, hour = 30, 3600
	changed := at
	*(*uint64)(unsafe.Pointer(&changed)) -= hour << secondsOffset
	if changed.Sub(at) != 0 || at.Unix()-changed.Unix() != hour {
		t.Fatal("this version of Go represents times in another way")
	}
	return changed
}

// TestIdleTimeIsSteady: a silent link was not pinged until a clock set back had caught up.
func TestIdleTimeIsSteady(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := newMeteredConn(near, &Traffic{})
	go func() { _, _ = far.Write([]byte{1}) }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	now := setBack(t, time.Now().Add(2*livenessTimeout))
	if idle := conn.idle(now); idle < 2*livenessTimeout || idle > 3*livenessTimeout {
		t.Errorf("idle for %s, want %s", idle, 2*livenessTimeout)
	}
}
