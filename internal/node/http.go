package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// Paths of the HTTP endpoints for operators.
const (
	StatusPath     = "/v1/status"
	TimelinePath   = "/v1/timeline"
	PromotionsPath = "/v1/promotions"
	TrialsPath     = "/v1/trials"
	MetricsPath    = "/metrics"
)

// Status is the body of an answer on StatusPath.
type Status struct {
	VM               string   `json:"vm"`
	State            string   `json:"state"`
	AvailabilityZone string   `json:"availabilityZone"`
	Region           string   `json:"region"`
	Environment      string   `json:"environment"`
	ConfigVersion    uint64   `json:"configVersion"`
	ConfigDigest     string   `json:"configDigest"`
	ConfigCurrent    bool     `json:"configCurrent"`
	Gates            []string `json:"gates"`
	InProgress       int64    `json:"inProgress"`
	// PlatformCalls counts the node's calls to the platform.
	PlatformCalls int64 `json:"platformCalls"`
	// Members are all members as known to this node.
	Members []statusMember `json:"members"`
	// GateMetrics holds the counters of the node's gates.
	GateMetrics gate.Metrics `json:"work"`
	// BytesSent, BytesReceived and PeerCalls count the traffic between nodes.
	BytesSent     int64 `json:"bytesSent"`
	BytesReceived int64 `json:"bytesReceived"`
	PeerCalls     int64 `json:"peerCalls"`
}

// statusMember is a member as shown in a Status and in a zoneStatus.
type statusMember struct {
	VM               string `json:"vm"`
	State            string `json:"state"`
	AvailabilityZone string `json:"availabilityZone"`
	CallerAddress    string `json:"callerAddress"`
}

func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	n.entry.Register(mux)
	mux.HandleFunc("GET "+StatusPath, n.serveStatus)
	mux.HandleFunc("GET "+TimelinePath, n.serveTimeline)
	mux.HandleFunc("POST "+PromotionsPath, n.servePromotion)
	mux.HandleFunc("POST "+TrialsPath, n.serveTrial)
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return mux
}

func (n *Node) registerMetrics() {
	n.registry.MustRegister(n.entry.Metrics.Collectors()...)
	for _, counter := range []struct {
		name, help string
		value      func() float64
	}{
		{"bronzereach_attempts_total", "Attempts started at upstreams.", func() float64 { return float64(n.gates.Metrics().Attempts) }},
		{"bronzereach_hedges_total", "Attempts started because an earlier attempt was slow.", func() float64 { return float64(n.gates.Metrics().Hedges) }},
		{"bronzereach_retries_total", "Attempts started because an earlier attempt failed.", func() float64 { return float64(n.gates.Metrics().Retries) }},
		{"bronzereach_platform_calls_total", "Calls to the platform.", func() float64 { made, _ := n.platform.CallCounts(); return float64(made) }},
		{"bronzereach_platform_failures_total", "Calls to the platform that got no answer.", func() float64 { _, failed := n.platform.CallCounts(); return float64(failed) }},
	} {
		n.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: counter.name, Help: counter.help}, counter.value))
	}
	for cause, count := range map[string]func() int{
		"leaving":    func() int { leaving, _ := n.gates.CountUnused(time.Now()); return leaving },
		"backingOff": func() int { _, backingOff := n.gates.CountUnused(time.Now()); return backingOff },
	} {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "bronzereach_unused_upstreams",
			Help:        "Upstreams of the services that this node is the gate of that get no attempts, by cause.",
			ConstLabels: prometheus.Labels{"cause": cause},
		}, func() float64 { return float64(count()) }))
	}
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzereach_run_outcomes_bytes",
		Help: "Memory that the outcomes of requests that must not be repeated take.",
	}, func() float64 { return float64(n.entry.OutcomeBytes()) }))
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzereach_config_version",
		Help: "Version of the configuration applied on this node.",
	}, func() float64 { return float64(n.View().ConfigVersion) }))
}

func membersOf(view *entry.View) []statusMember {
	members := make([]statusMember, 0, len(view.Members))
	for _, m := range view.Members {
		members = append(members, statusMember{
			VM:               m.VM,
			State:            m.State.String(),
			AvailabilityZone: m.AvailabilityZone,
			CallerAddress:    m.CallerAddress,
		})
	}
	slices.SortFunc(members, func(a, b statusMember) int { return strings.Compare(a.VM, b.VM) })
	return members
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	view := n.View()
	status := Status{
		VM:               n.options.VM,
		State:            view.Self.State.String(),
		AvailabilityZone: n.options.AvailabilityZone,
		Region:           n.options.Region,
		Environment:      n.options.Environment,
		ConfigVersion:    view.ConfigVersion,
		ConfigCurrent:    view.Current(time.Now()),
		Gates:            n.gates.AcquiredServices(),
		InProgress:       n.entry.InProgress(),
		Members:          membersOf(view),
		GateMetrics:      n.gates.Metrics(),
	}
	status.PlatformCalls, _ = n.platform.CallCounts()
	status.BytesSent, status.BytesReceived, status.PeerCalls = n.network.Traffic.Totals()
	if view.Document != nil {
		status.ConfigDigest = view.Document.Digest()
	}
	return status
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, n.Status())
}

func (n *Node) serveTimeline(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	version, _ := strconv.ParseUint(values.Get("configVersion"), 10, 64)
	writeJSON(w, http.StatusOK, n.recorder.Events(timeline.Filter{
		RequestID:     values.Get("requestId"),
		VM:            values.Get("vm"),
		Upstream:      values.Get("upstream"),
		ConfigVersion: version,
	}))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// PromotionRequest is the body of a promotion or a trial.
type PromotionRequest struct {
	Operator string `json:"operator"`
	Text     string `json:"text"`
	// Base is the configuration version that the operator's change is based on;
	// 0 for the newest.
	Base uint64 `json:"base,omitempty"`
}

// readPromotion reads the body and validates its document. If ok is false, it
// has already sent an error.
func readPromotion(w http.ResponseWriter, r *http.Request) (request PromotionRequest, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*document.MaximumSize))
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err == nil {
		_, err = document.Parse([]byte(request.Text))
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, promotion.Result{Outcome: promotion.NotDone, Message: err.Error()})
		return request, false
	}
	return request, true
}

func (n *Node) servePromotion(w http.ResponseWriter, r *http.Request) {
	request, ok := readPromotion(w, r)
	if !ok {
		return
	}
	result := n.promote(r.Context(), request, false)
	writeJSON(w, promotionStatus(result.Outcome), result)
}

func promotionStatus(outcome promotion.Outcome) int {
	switch outcome {
	case promotion.Accepted:
		return http.StatusOK
	case promotion.Undecided:
		return http.StatusAccepted
	case promotion.Conflict, promotion.NotTrialled:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// Limits of a promotion.
const (
	// promoteTimeout limits how long an operator's request waits for a definite
	// outcome.
	promoteTimeout = 5 * time.Second
	// resolveTimeout limits how long the node then goes on resolving an unknown
	// outcome in the background.
	resolveTimeout = 30 * time.Minute
)

// promote writes a document to the platform and applies it. If the outcome is
// still unknown after promoteTimeout, the node resolves it in the background.
func (n *Node) promote(ctx context.Context, request PromotionRequest, trial bool) promotion.Result {
	attempt, result := promotion.Prepare(ctx, promotion.Config{
		Client:         n.platform,
		Environment:    n.options.Environment,
		Operator:       request.Operator,
		Text:           []byte(request.Text),
		Base:           request.Base,
		SkipTrialCheck: trial,
	})
	if result != nil {
		return *result
	}
	// The context of the request is not used: a write that may still take effect
	// must be resolved even if the operator disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), promoteTimeout)
	defer cancel()
	resolved := attempt.Resolve(ctx)
	n.applyAccepted(attempt, resolved)
	if resolved.Outcome == promotion.Undecided {
		go n.resolveLoop(attempt)
	}
	return resolved
}

// applyAccepted applies an accepted document on this node, from where it
// spreads to the peers.
func (n *Node) applyAccepted(attempt *promotion.Attempt, result promotion.Result) {
	if result.Outcome != promotion.Accepted {
		return
	}
	n.control.post(documentPromoted{version: result.Version, value: attempt.Encoded})
}

func (n *Node) resolveLoop(attempt *promotion.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	result := attempt.Resolve(ctx)
	n.applyAccepted(attempt, result)
	n.log.Info("promotionResolved", "vm", n.options.VM, "promotion", result.PromotionID, "outcome", string(result.Outcome), "configVersion", result.Version)
}

// documentPromoted is the event that the platform accepted a document from this
// node.
type documentPromoted struct {
	version uint64
	value   []byte
}

func (e documentPromoted) apply(ctx context.Context, c *control, _ time.Time) {
	c.adopt(e.version, e.value)
	c.node.recorder.Record(timeline.Event{Name: timeline.ConfigPromoted, ConfigVersion: e.version})
	c.startImmediateExchanges(ctx)
}
