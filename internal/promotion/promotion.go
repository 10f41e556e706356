// Package promotion makes documents the configuration in force: it checks that a
// document has passed a trial, writes it with a conditional update, and reads it
// back to find out the outcome when the response to a write is lost. It also
// defines the record in which the platform stores the configuration.
package promotion

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/platform"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// historyLength is the maximum number of earlier promotions in a record.
const historyLength = 32

// Backoff between attempts at a promotion whose outcome is not yet known.
const (
	initialBackoff = 50 * time.Millisecond
	maximumBackoff = 2 * time.Second
)

// Record is the value of the configuration object in the platform.
type Record struct {
	// PromotionID is unique to this promotion, even among promotions of the
	// same text.
	PromotionID string `json:"promotion"`
	Digest      string `json:"digest"`
	Operator    string `json:"operator"`
	Text        string `json:"text"`
	// History lists earlier promotions, newest first.
	History []HistoryEntry `json:"history,omitempty"`
}

// HistoryEntry describes an earlier promotion.
type HistoryEntry struct {
	PromotionID string `json:"promotion"`
	Digest      string `json:"digest"`
	Version     uint64 `json:"version"`
}

// Encode returns the record as gzip-compressed JSON, the form in which the
// platform stores it and nodes exchange it. Uncompressed, a document with 22,000
// upstreams would use up the platform's maximum value size.
func (r Record) Encode() (value []byte, err error) {
	defer util.Annotate(&err, "encode configuration")
	text, err := json.Marshal(r)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(text); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	if buffer.Len() > platform.MaxValueBytes {
		return nil, errors.Errorf("the configuration record is too large: %d bytes compressed, the platform's limit is %d", buffer.Len(), platform.MaxValueBytes)
	}
	return buffer.Bytes(), nil
}

// maximumRecordBytes bounds a decompressed record.
const maximumRecordBytes = 4 * document.MaximumSize

// DecodeRecord decodes a record encoded by Encode.
func DecodeRecord(value []byte) (record Record, err error) {
	defer util.Annotate(&err, "decode configuration")
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return record, errors.WithStack(err)
	}
	text, err := io.ReadAll(io.LimitReader(reader, maximumRecordBytes))
	if err != nil {
		return record, errors.WithStack(err)
	}
	return record, errors.WithStack(json.Unmarshal(text, &record))
}

// ParseRecord decodes a record and parses its document.
func ParseRecord(value []byte) (record Record, parsed *document.Document, err error) {
	record, err = DecodeRecord(value)
	if err != nil {
		return record, nil, err
	}
	parsed, err = document.Parse([]byte(record.Text))
	return record, parsed, err
}

// ConfigKey returns the platform key of an environment's configuration.
func ConfigKey(environment string) string {
	return environment + "/config/current"
}

// TrialKey returns the platform key of the record that the document with the
// digest passed a trial.
func TrialKey(digest string) string {
	return "trials/" + digest
}

// Outcome is the outcome of a promotion.
type Outcome string

// Outcomes of a promotion.
const (
	// Accepted means that the document is in force, or was until a later
	// promotion.
	Accepted Outcome = "accepted"
	// Conflict means that another promotion came first and this one never took
	// effect.
	Conflict Outcome = "conflict"
	// NotTrialled means that no record shows that the document passed a trial.
	NotTrialled Outcome = "notTrialled"
	// NotDone means that nothing was written, because the platform could not be
	// read or the document could not be encoded.
	NotDone Outcome = "notDone"
	// Undecided means that a write may have taken effect; the node keeps
	// resolving the promotion.
	Undecided Outcome = "unknown"
)

// Result reports the outcome of a promotion to an operator.
type Result struct {
	Outcome     Outcome `json:"outcome"`
	PromotionID string  `json:"promotion,omitempty"`
	// Version is the accepted version, or that of the winner after a conflict.
	Version uint64 `json:"version,omitempty"`
	// Winner is the promotion that came first, set on a conflict.
	Winner *HistoryEntry `json:"winner,omitempty"`
	// Operator is the winner's operator.
	Operator string `json:"operator,omitempty"`
	// Differences lists the lines that only the winner's document contains (+)
	// and those that only this promotion's document contains (-).
	Differences []string `json:"differences,omitempty"`
	Message     string   `json:"message,omitempty"`
}

// Attempt is a promotion in progress.
type Attempt struct {
	client      *platform.Client
	key         string
	baseVersion uint64
	record      Record
	// Encoded is the encoded record, as written to the platform.
	Encoded []byte
}

// Config describes a promotion to prepare.
type Config struct {
	Client      *platform.Client
	Environment string
	Operator    string
	Text        []byte
	// Base is the version that the operator's document is based on; 0 means the
	// current version.
	Base uint64
	// SkipTrialCheck allows a document that has not passed a trial.
	SkipTrialCheck bool
}

// Prepare checks that the document may be promoted and encodes its record
// without writing it. It returns a result, and no attempt, if the promotion
// can't go ahead.
func Prepare(ctx context.Context, config Config) (attempt *Attempt, result *Result) {
	digest := document.Digest(config.Text)
	if !config.SkipTrialCheck {
		trial, err := config.Client.Get(ctx, TrialKey(digest))
		if err != nil {
			return nil, &Result{Outcome: NotDone, Message: err.Error()}
		}
		if trial.Version == 0 {
			return nil, &Result{Outcome: NotTrialled, Message: "document " + digest + " has not passed a trial"}
		}
	}
	current, err := config.Client.Get(ctx, ConfigKey(config.Environment))
	if err != nil {
		return nil, &Result{Outcome: NotDone, Message: err.Error()}
	}
	attempt = &Attempt{client: config.Client, key: ConfigKey(config.Environment), baseVersion: current.Version}
	attempt.record = Record{
		PromotionID: uuid.NewString(),
		Digest:      digest,
		Operator:    config.Operator,
		Text:        string(config.Text),
	}
	if config.Base != 0 && config.Base != current.Version {
		return nil, attempt.conflictResult(current)
	}
	if current.Version > 0 {
		attempt.record.History = nextHistory(current)
	}
	attempt.Encoded, err = attempt.record.Encode()
	if err != nil {
		return nil, &Result{Outcome: NotDone, Message: err.Error()}
	}
	return attempt, nil
}

// nextHistory returns the history for the promotion that follows current.
func nextHistory(current platform.Object) []HistoryEntry {
	record, err := DecodeRecord(current.Value)
	if err != nil {
		return nil
	}
	previous := HistoryEntry{PromotionID: record.PromotionID, Digest: record.Digest, Version: current.Version}
	history := append([]HistoryEntry{previous}, record.History...)
	return history[:min(len(history), historyLength)]
}

// Resolve writes the record, and reads it back after a conflict, until the
// outcome is certain or the context ends. In the latter case the outcome is
// Undecided and Resolve may be called again. Repeating the write is safe because
// every write is conditional on the same version.
func (a *Attempt) Resolve(ctx context.Context) Result {
	backoff := initialBackoff
	for {
		version, err := a.client.Put(ctx, a.key, a.Encoded, a.baseVersion)
		if err == nil {
			return Result{Outcome: Accepted, PromotionID: a.record.PromotionID, Version: version}
		}
		if errors.Is(err, platform.ErrConflict) {
			if result := a.readBack(ctx); result != nil {
				return *result
			}
		}
		jitter := time.Duration(rand.Int64N(int64(backoff)))
		select {
		case <-ctx.Done():
			return Result{Outcome: Undecided, PromotionID: a.record.PromotionID, Message: "the platform has not confirmed whether it accepted the document"}
		case <-time.After(backoff/2 + jitter):
		}
		backoff = min(2*backoff, maximumBackoff)
	}
}

// readBack reads the configuration to find out whether this promotion produced
// the version after the base version. It returns nil if that can't be told yet.
func (a *Attempt) readBack(ctx context.Context) *Result {
	current, err := a.client.Get(ctx, a.key)
	if err != nil || current.Version <= a.baseVersion {
		return nil
	}
	stored, err := DecodeRecord(current.Value)
	if err != nil {
		return nil
	}
	if stored.PromotionID == a.record.PromotionID {
		return &Result{Outcome: Accepted, PromotionID: a.record.PromotionID, Version: current.Version}
	}
	for _, entry := range stored.History {
		if entry.PromotionID == a.record.PromotionID {
			return &Result{Outcome: Accepted, PromotionID: a.record.PromotionID, Version: entry.Version}
		}
	}
	if current.Version > a.baseVersion+historyLength {
		// The history no longer reaches back to the version after the base.
		return &Result{Outcome: Undecided, PromotionID: a.record.PromotionID, Message: "the outcome is no longer known: too many promotions have followed"}
	}
	return a.conflictResult(current)
}

// conflictResult describes the current configuration as the winner.
func (a *Attempt) conflictResult(current platform.Object) *Result {
	winner, err := DecodeRecord(current.Value)
	if err != nil {
		return &Result{Outcome: Conflict, Version: current.Version}
	}
	return &Result{
		Outcome:     Conflict,
		Version:     current.Version,
		Winner:      &HistoryEntry{PromotionID: winner.PromotionID, Digest: winner.Digest, Version: current.Version},
		Operator:    winner.Operator,
		Differences: Differences(a.record.Text, winner.Text),
		Message:     "another document was promoted first",
	}
}
