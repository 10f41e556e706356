// Package promotion puts documents in force: it tells which document a version
// of the configuration holds, checks that it was trialled, writes it under a
// conditional update and resolves lost answers by reading back.
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

// historyLength is how many earlier promotions a record names.
const historyLength = 32

// Pauses between tries of a promotion whose outcome is not known.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
)

// Record is the value of the configuration object.
type Record struct {
	// Promotion tells this promotion from all others, also of the same text.
	PromotionID string `json:"promotion"`
	Digest      string `json:"digest"`
	Operator    string `json:"operator"`
	Text        string `json:"text"`
	// History names the promotions before this one, the newest first.
	History []HistoryEntry `json:"history,omitempty"`
}

// Past is an earlier promotion.
type HistoryEntry struct {
	PromotionID string `json:"promotion"`
	Digest      string `json:"digest"`
	Version     uint64 `json:"version"`
}

// Encode returns the record as the platform and the nodes carry it: JSON,
// compressed, since a document of 22,000 upstreams would fill a value.
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
		return nil, errors.Errorf("the document is larger than the platform holds: %d bytes compressed", buffer.Len())
	}
	return buffer.Bytes(), nil
}

// maximumRecord is the largest record once decompressed, in bytes.
const maximumRecord = 4 * document.MaximumSize

// DecodeRecord reads what Encode made.
func DecodeRecord(value []byte) (record Record, err error) {
	defer util.Annotate(&err, "decode configuration")
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return record, errors.WithStack(err)
	}
	text, err := io.ReadAll(io.LimitReader(reader, maximumRecord))
	if err != nil {
		return record, errors.WithStack(err)
	}
	return record, errors.WithStack(json.Unmarshal(text, &record))
}

// ParseRecord reads a record and its document.
func ParseRecord(value []byte) (record Record, parsed *document.Document, err error) {
	record, err = DecodeRecord(value)
	if err != nil {
		return record, nil, err
	}
	parsed, err = document.Parse([]byte(record.Text))
	return record, parsed, err
}

// Key is the platform's key of an environment's configuration.
func ConfigKey(environment string) string {
	return environment + "/config/current"
}

// TrialKey is the platform's key of the record that a document passed trial.
func TrialKey(digest string) string {
	return "trials/" + digest
}

// Outcome is how a promotion ended.
type Outcome string

// The outcomes.
const (
	// Accepted: the document is in force or was until a later promotion.
	Accepted Outcome = "accepted"
	// Conflict: another promotion came first; this one never took effect.
	Conflict Outcome = "conflict"
	// NotTrialled: there is no record that the document passed trial.
	NotTrialled Outcome = "notTrialled"
	// NotDone: the platform can't be reached and nothing was written.
	NotDone Outcome = "notDone"
	// Undecided: a write may have taken effect; the node goes on resolving.
	Undecided Outcome = "unknown"
)

// Result tells an operator how a promotion ended.
type Result struct {
	Outcome     Outcome `json:"outcome"`
	PromotionID string  `json:"promotion,omitempty"`
	// Version is the accepted version, or that of the winner.
	Version uint64 `json:"version,omitempty"`
	// Winner is set on a conflict.
	Winner *HistoryEntry `json:"winner,omitempty"`
	// Operator of the winner.
	Operator string `json:"operator,omitempty"`
	// Differences lists the lines that the winner's document has and ours
	// has not (+) and the reverse (-).
	Differences []string `json:"differences,omitempty"`
	Message     string   `json:"message,omitempty"`
}

// Attempt is one promotion on its way.
type Attempt struct {
	client *platform.Client
	key    string
	base   uint64
	record Record
	// Value is the record as it is written.
	Encoded []byte
}

// Config describes a promotion.
type Config struct {
	Client      *platform.Client
	Environment string
	Operator    string
	Text        []byte
	// Base is the version that the operator saw in force; 0 for the newest.
	Base uint64
	// Trial is true if the document need not have passed trial.
	SkipTrialCheck bool
}

// Begin checks that the document may be promoted. A result is returned if the
// promotion is already over.
func Prepare(ctx context.Context, config Config) (attempt *Attempt, result *Result) {
	digest := document.Digest(config.Text)
	if !config.SkipTrialCheck {
		trial, err := config.Client.Get(ctx, TrialKey(digest))
		if err != nil {
			return nil, &Result{Outcome: NotDone, Message: err.Error()}
		}
		if trial.Version == 0 {
			return nil, &Result{Outcome: NotTrialled, Message: "document " + digest + " has not passed trial"}
		}
	}
	current, err := config.Client.Get(ctx, ConfigKey(config.Environment))
	if err != nil {
		return nil, &Result{Outcome: NotDone, Message: err.Error()}
	}
	attempt = &Attempt{client: config.Client, key: ConfigKey(config.Environment), base: current.Version}
	attempt.record = Record{
		PromotionID: uuid.NewString(),
		Digest:      digest,
		Operator:    config.Operator,
		Text:        string(config.Text),
	}
	if config.Base != 0 && config.Base != current.Version {
		return nil, attempt.conflict(current)
	}
	if current.Version > 0 {
		attempt.record.History = historyOf(current)
	}
	attempt.Encoded, err = attempt.record.Encode()
	if err != nil {
		return nil, &Result{Outcome: NotDone, Message: err.Error()}
	}
	return attempt, nil
}

func historyOf(current platform.Object) []HistoryEntry {
	record, err := DecodeRecord(current.Value)
	if err != nil {
		return nil
	}
	past := HistoryEntry{PromotionID: record.PromotionID, Digest: record.Digest, Version: current.Version}
	history := append([]HistoryEntry{past}, record.History...)
	return history[:min(len(history), historyLength)]
}

// Resolve writes the record and reads back until the outcome is certain or the
// context ends; then it is undecided, and Resolve may be called again. Writing
// again is safe: each write is conditional on the same version.
func (a *Attempt) Resolve(ctx context.Context) Result {
	pause := firstPause
	for {
		version, err := a.client.Put(ctx, a.key, a.Encoded, a.base)
		if err == nil {
			return Result{Outcome: Accepted, PromotionID: a.record.PromotionID, Version: version}
		}
		if errors.Is(err, platform.ErrConflict) {
			if result := a.readBack(ctx); result != nil {
				return *result
			}
		}
		jitter := time.Duration(rand.Int64N(int64(pause)))
		select {
		case <-ctx.Done():
			return Result{Outcome: Undecided, PromotionID: a.record.PromotionID, Message: "the platform did not say whether it took the document"}
		case <-time.After(pause/2 + jitter):
		}
		pause = min(2*pause, longestPause)
	}
}

// readBack tells whether the version above the base is this promotion's.
func (a *Attempt) readBack(ctx context.Context) *Result {
	current, err := a.client.Get(ctx, a.key)
	if err != nil || current.Version <= a.base {
		return nil
	}
	found, err := DecodeRecord(current.Value)
	if err != nil {
		return nil
	}
	if found.PromotionID == a.record.PromotionID {
		return &Result{Outcome: Accepted, PromotionID: a.record.PromotionID, Version: current.Version}
	}
	for _, past := range found.History {
		if past.PromotionID == a.record.PromotionID {
			return &Result{Outcome: Accepted, PromotionID: a.record.PromotionID, Version: past.Version}
		}
	}
	if current.Version > a.base+historyLength {
		// The history no longer reaches back to the base.
		return &Result{Outcome: Undecided, PromotionID: a.record.PromotionID, Message: "too many promotions have followed to tell"}
	}
	return a.conflict(current)
}

func (a *Attempt) conflict(current platform.Object) *Result {
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
