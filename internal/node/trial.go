package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// trialTimeout limits how long a trial waits for the document to be applied.
const trialTimeout = 10 * time.Second

// TrialResult is the outcome of a trial, as sent to the operator and recorded
// for the promotion to production.
type TrialResult struct {
	Passed bool   `json:"passed"`
	Digest string `json:"digest"`
	// Checks holds the result of each check in the document's order.
	Checks  []CheckResult `json:"checks"`
	Message string        `json:"message,omitempty"`
}

// CheckResult is the outcome of one check of a trial.
type CheckResult struct {
	Kind     string  `json:"kind"`
	Query    string  `json:"query"`
	Passed   bool    `json:"passed"`
	Records  int     `json:"records"`
	Coverage float64 `json:"coverage"`
	Message  string  `json:"message,omitempty"`
}

func (n *Node) serveTrial(w http.ResponseWriter, r *http.Request) {
	request, ok := readPromotion(w, r)
	if !ok {
		return
	}
	trial := n.trial(r.Context(), request)
	status := http.StatusOK
	if !trial.Passed {
		status = http.StatusConflict
	}
	writeJSON(w, status, trial)
}

// trial applies a document in this environment, runs its checks and, if they
// pass, writes the record that a promotion to production requires.
func (n *Node) trial(ctx context.Context, request PromotionRequest) TrialResult {
	trial := TrialResult{Digest: document.Digest([]byte(request.Text))}
	if n.options.Environment == Production {
		trial.Message = "this node is in the production environment; run trials on a node of a trial environment"
		return trial
	}
	result := n.promote(ctx, request, true)
	if result.Outcome != promotion.Accepted {
		trial.Message = "the document could not be applied in this environment: " + result.Message
		return trial
	}
	if !n.awaitConfig(ctx, result.Version) {
		trial.Message = "the document was not applied on this node in time"
		return trial
	}
	trial.Passed = true
	for _, check := range n.View().Document.Checks {
		outcome := n.check(ctx, check)
		trial.Checks = append(trial.Checks, outcome)
		trial.Passed = trial.Passed && outcome.Passed
	}
	if trial.Passed {
		n.recordTrial(ctx, &trial)
	}
	return trial
}

func (n *Node) awaitConfig(ctx context.Context, version uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	for n.View().ConfigVersion < version {
		if ctx.Err() != nil {
			return false
		}
		util.Sleep(ctx, controlInterval)
	}
	return true
}

func (n *Node) check(ctx context.Context, check document.Check) CheckResult {
	a := n.entry.Answer(ctx, query.Request{Kind: check.Kind, Query: query.Text(check.Query), Caller: "trial"})
	outcome := CheckResult{
		Kind:     check.Kind,
		Query:    check.Query,
		Records:  len(a.Records),
		Coverage: a.Coverage.Fraction,
	}
	switch {
	case a.Error != nil:
		outcome.Message = a.Error.Message
	case outcome.Records < check.MinimumRecords:
		outcome.Message = fmt.Sprintf("fewer than %d records", check.MinimumRecords)
	case outcome.Coverage < check.MinimumCoverage:
		outcome.Message = fmt.Sprintf("coverage below %g", check.MinimumCoverage)
	default:
		outcome.Passed = true
	}
	return outcome
}

func (n *Node) recordTrial(ctx context.Context, trial *TrialResult) {
	value, err := json.Marshal(trial)
	if err == nil {
		_, err = n.platform.Put(ctx, promotion.TrialKey(trial.Digest), value, 0)
	}
	if err == nil {
		return
	}
	existing, readErr := n.platform.Get(ctx, promotion.TrialKey(trial.Digest))
	if readErr != nil || existing.Version == 0 {
		trial.Passed = false
		trial.Message = "could not write the record of the trial: " + err.Error()
	}
}
