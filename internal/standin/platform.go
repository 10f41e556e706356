// Package standin holds small stand-ins for the systems around this one: the
// platform's object API and upstreams. They serve the tests, the load tool and
// the command "local".
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

// longestWait bounds how long a watch waits.
const longestWait = 30 * time.Second

// Faults are the platform's failures, switchable at run time.
type PlatformFaults struct {
	// Outage makes every call fail with 503.
	Outage bool
	// Hang makes every call wait until its caller gives up.
	Hang bool
	// LoseAnswers is the chance that a call's connection is cut after the call
	// took effect.
	ResponseLossRate float64
	// Unconditional makes writes ignore their conditions: a planted bug for the
	// tests of the checks.
	IgnoreConditions bool
	// Delay is added to every call.
	Delay time.Duration
}

// object is one stored value.
type object struct {
	version uint64
	value   []byte
}

// Platform is a stand-in of the object API, an http.Handler.
type Platform struct {
	mu      sync.Mutex
	objects map[string]object
	vms     []platform.VM
	faults  PlatformFaults
	random  *rand.Rand
	// changed is closed and replaced with every write.
	changed chan struct{}
	calls   int
	// failAfter is the key whose next write is followed by an outage.
	failAfter string
}

// NewPlatform returns an empty platform whose chances are drawn from the seed.
func NewPlatform(seed uint64) *Platform {
	return &Platform{
		objects: map[string]object{},
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the failures.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// FailAfterWrite makes the next write of the key the last call before an
// outage.
func (p *Platform) FailAfterWrite(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failAfter = key
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Store writes an object as if by a call, for the setup of a test.
func (p *Platform) Store(key string, value []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.write(key, value)
}

// Load reads an object; its version is 0 if there is none.
func (p *Platform) Load(key string) (value []byte, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[key]
	return o.value, o.version
}

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
	lose := p.random.Float64() < faults.ResponseLossRate
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
	if lose {
		p.serve(discard{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	p.serve(w, r)
}

// discard takes an answer that gets lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

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
	// An encoding error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(p.vms)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout := time.After(min(wait, longestWait))
	for {
		p.mu.Lock()
		found, changed := p.objects[key], p.changed
		p.mu.Unlock()
		if found.version > after || wait == 0 {
			respond(w, found)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, found object) {
	w.Header().Set(platform.VersionHeader, strconv.FormatUint(found.version, 10))
	if found.version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(found.value)
}

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
	if key == p.failAfter {
		p.faults.Outage = true
	}
	w.Header().Set(platform.VersionHeader, strconv.FormatUint(version, 10))
}
