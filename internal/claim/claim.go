package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/platform"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/answer"
)

// keyPrefix is the prefix of claim objects' keys in the platform.
const keyPrefix = "claims/"

// maximumClaimBytes bounds an encoded claim. A larger one is stored without the
// records of its answer.
const maximumClaimBytes = 64 << 10

// Retries of platform calls whose response may have been lost.
const (
	acquireAttempts  = 4
	completeAttempts = 6
	initialBackoff   = 20 * time.Millisecond
)

// Holder identifies the process that may run a claimed request.
type Holder struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Attempt is unique to each call of Acquire, including those of the same
	// process.
	Attempt string    `json:"attempt"`
	Since   time.Time `json:"since"`
}

// claimRecord is the JSON value of a claim object in the platform.
type claimRecord struct {
	Holder  Holder `json:"holder"`
	Request uint64 `json:"request"`
	// Answer is nil until the run has ended.
	Answer *answer.Answer `json:"answer,omitempty"`
}

// Claim is the claim on a request key as read from or written to the platform.
type Claim struct {
	// Acquired is true if this call gave this process the right to run the
	// request.
	Acquired bool
	Holder   Holder
	Request  uint64
	// Answer is set when the run has ended.
	Answer  *answer.Answer
	version uint64
	key     string
}

// Claims acquires and completes claims stored in the platform.
type Claims struct {
	client      *platform.Client
	vm          string
	incarnation uint64
}

// NewClaims returns a Claims that acquires on behalf of one process.
func NewClaims(client *platform.Client, vm string, incarnation uint64) *Claims {
	return &Claims{client: client, vm: vm, incarnation: incarnation}
}

func objectKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + hex.EncodeToString(sum[:])
}

// Acquire claims the key, or returns the existing claim. After an error it is
// unknown whether the key was claimed, so the request must not run.
func (c *Claims) Acquire(ctx context.Context, key string, request uint64) (claim Claim, err error) {
	defer util.Annotate(&err, "acquire claim")
	own := claimRecord{Holder: c.newHolder(), Request: request}
	backoff := initialBackoff
	for range acquireAttempts {
		claim, err = c.tryAcquire(ctx, key, own)
		if err == nil || ctx.Err() != nil {
			return claim, err
		}
		time.Sleep(backoff)
		backoff *= 2
	}
	return claim, err
}

func (c *Claims) newHolder() Holder {
	return Holder{VM: c.vm, Incarnation: c.incarnation, Attempt: uuid.NewString(), Since: time.Now()}
}

// tryAcquire reads the claim, and creates it if there is none or replaces one
// that may be taken over. If the response to an earlier write was lost, reading
// the claim shows whether that write took effect.
func (c *Claims) tryAcquire(ctx context.Context, key string, own claimRecord) (claim Claim, err error) {
	object, err := c.client.Get(ctx, objectKey(key))
	if err != nil {
		return claim, err
	}
	existing, err := c.parse(key, object)
	if err != nil {
		return claim, err
	}
	if object.Version > 0 && !c.mayTakeOver(existing, own) {
		existing.Acquired = existing.Holder.Attempt == own.Holder.Attempt
		return existing, nil
	}
	value, err := json.Marshal(own)
	if err != nil {
		return claim, errors.WithStack(err)
	}
	version, err := c.client.Put(ctx, objectKey(key), value, object.Version)
	if err != nil {
		// Another process won, or the response was lost; the next attempt reads
		// the claim to find out.
		return claim, err
	}
	return Claim{Acquired: true, Holder: own.Holder, Request: own.Request, version: version, key: key}, nil
}

// mayTakeOver reports whether an existing claim may be replaced: the request is
// known not to have run, or the claim is an earlier one of this incarnation and
// its request never ran. The latter follows from RunTable, which admits one run
// per key, but only while the claim is young enough for RunTable to still
// remember a run.
func (c *Claims) mayTakeOver(existing Claim, own claimRecord) bool {
	if existing.Answer != nil {
		return existing.Answer.Status == answer.NotRun
	}
	sameProcess := existing.Holder.VM == own.Holder.VM && existing.Holder.Incarnation == own.Holder.Incarnation
	return sameProcess && existing.Holder.Attempt != own.Holder.Attempt && time.Since(existing.Holder.Since) < Retention/2
}

func (c *Claims) parse(key string, object platform.Object) (claim Claim, err error) {
	claim = Claim{version: object.Version, key: key}
	if object.Version == 0 {
		return claim, nil
	}
	var stored claimRecord
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return claim, errors.WithStack(err)
	}
	claim.Holder, claim.Request, claim.Answer = stored.Holder, stored.Request, stored.Answer
	return claim, nil
}

// Complete writes the answer of a run into its claim and retries for a while
// during an outage of the platform. If it fails, other nodes get the outcome
// from the holder while the holder runs, and "unknown" afterwards.
func (c *Claims) Complete(ctx context.Context, claim Claim, a *answer.Answer) (err error) {
	defer util.Annotate(&err, "complete claim")
	value, err := json.Marshal(claimRecord{Holder: claim.Holder, Request: claim.Request, Answer: a})
	if err != nil {
		return errors.WithStack(err)
	}
	if len(value) > maximumClaimBytes {
		withoutRecords := *a
		withoutRecords.Records = nil
		if value, err = json.Marshal(claimRecord{Holder: claim.Holder, Request: claim.Request, Answer: &withoutRecords}); err != nil {
			return errors.WithStack(err)
		}
	}
	backoff := initialBackoff
	for range completeAttempts {
		_, err = c.client.Put(ctx, objectKey(claim.key), value, claim.version)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			// Only the holder updates a held claim, so a conflict means that
			// an earlier attempt succeeded and its response was lost.
			return nil
		}
		time.Sleep(backoff)
		backoff *= 2
	}
	return err
}
