// Package standin implements in-process fakes of the external systems: the
// platform's object API and upstreams. The tests, the load generator and the
// command "local" use them.
package standin

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/internal/platform"
)

// maximumWatchWait bounds the wait of a watch call.
const maximumWatchWait = 30 * time.Second

// PlatformFaults are the faults that the platform injects. They may be changed
// while it runs.
type PlatformFaults struct {
	// Outage makes every call fail with HTTP status 503.
	Outage bool
	// Hang makes every call wait until its caller cancels it.
	Hang bool
	// ResponseLossRate is the probability, 0 to 1, that the connection is closed
	// without a response after the call took effect.
	ResponseLossRate float64
	// IgnoreConditions makes writes ignore their expected version. Tests use this
	// bug to show that the consistency checks find it.
	IgnoreConditions bool
	// Delay is added to the duration of every call.
	Delay time.Duration
}

// object is a stored value and its version, which counts the writes.
type object struct {
	version uint64
	value   []byte
}

// Platform is a fake of the object API and the list of VMs. It implements
// http.Handler and is safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	objects map[string]object
	vms     []platform.VM
	faults  PlatformFaults
	random  *rand.Rand
	// changed is closed and replaced at every write, which wakes the watches.
	changed chan struct{}
	calls   int
	// outageAfterKey is the key whose successful PUTs start an outage.
	outageAfterKey string
}

// NewPlatform returns a platform without objects and VMs. The seed determines
// which responses are lost.
func NewPlatform(seed uint64) *Platform {
	return &Platform{
		objects: map[string]object{},
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// InjectFaults replaces the injected faults. The zero value removes all faults.
func (p *Platform) InjectFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// FailAfterWrite makes each successful PUT of the key start an outage, which lasts
// until InjectFaults.
func (p *Platform) FailAfterWrite(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outageAfterKey = key
}

// SetVMs replaces the list of VMs that the platform reports.
func (p *Platform) SetVMs(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// Calls returns the number of HTTP calls so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Store writes an object without an HTTP call and returns its new version.
func (p *Platform) Store(key string, value []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.write(key, value)
}

// Load returns an object without an HTTP call; the version is 0 if the object
// does not exist.
func (p *Platform) Load(key string) (value []byte, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[key]
	return o.value, o.version
}

// write stores a new version of an object. The caller holds p.mu.
func (p *Platform) write(key string, value []byte) uint64 {
	version := p.objects[key].version + 1
	p.objects[key] = object{version: version, value: value}
	close(p.changed)
	p.changed = make(chan struct{})
	return version
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	faults := p.faults
	loseResponse := p.random.Float64() < faults.ResponseLossRate
	p.mu.Unlock()
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	time.Sleep(faults.Delay)
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	if loseResponse {
		p.serve(discardWriter{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	p.serve(w, r)
}

// discardWriter discards a response that is lost on purpose.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	key, isObject := strings.CutPrefix(r.URL.Path, platform.ObjectPath)
	switch {
	case r.URL.Path == platform.VMsPath:
		p.serveVMs(w)
	case isObject && r.Method == http.MethodGet:
		p.serveGet(w, r, key)
	case isObject && r.Method == http.MethodPut:
		p.servePut(w, r, key)
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) serveVMs(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// An encoding error means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(p.vms)
}

// serveGet returns an object. With the parameter "wait" it waits until the version
// is above "after" or the wait ends.
func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timedOut := time.After(min(wait, maximumWatchWait))
	for {
		p.mu.Lock()
		o, changed := p.objects[key], p.changed
		p.mu.Unlock()
		if o.version > after || wait == 0 {
			writeObject(w, o)
			return
		}
		select {
		case <-changed:
		case <-timedOut:
			writeObject(w, o)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeObject(w http.ResponseWriter, o object) {
	w.Header().Set(platform.VersionHeader, strconv.FormatUint(o.version, 10))
	if o.version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(o.value)
}

// servePut writes an object if its version is the expected one (compare-and-set).
func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := strconv.ParseUint(r.Header.Get(platform.IfVersionHeader), 10, 64)
	if err != nil {
		http.Error(w, "no version given", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.objects[key].version; current != expected && !p.faults.IgnoreConditions {
		w.Header().Set(platform.VersionHeader, strconv.FormatUint(current, 10))
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	version := p.write(key, value)
	if key == p.outageAfterKey {
		p.faults.Outage = true
	}
	w.Header().Set(platform.VersionHeader, strconv.FormatUint(version, 10))
}
