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

// maximumClaimBytes is the maximum size of an encoded claim that holds the records
// of its answer. If the claim would be larger, its answer is stored without records.
const maximumClaimBytes = 64 << 10

// Numbers of attempts at platform calls, whose responses may be lost, and the
// backoff after the first attempt.
const (
	acquireAttempts  = 4
	completeAttempts = 6
	initialBackoff   = 20 * time.Millisecond
)

// Holder identifies the process that may run a claimed request, and the call of
// Acquire that claimed it.
type Holder struct {
	VM string `json:"vm"`
	// Process has the key under which older builds store it.
	Process uint64 `json:"incarnation"`
	// Attempt is unique to each call of Acquire, including those of the same
	// process.
	Attempt string `json:"attempt"`
	// Since is the time of day of the claim, for readers only.
	Since time.Time `json:"since"`
	// Elapsed is the time from the start of the process to the claim.
	Elapsed time.Duration `json:"elapsed"`
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
	client  *platform.Client
	vm      string
	process uint64
	// started is read with the steady clock only, as the age of a claim must not
	// follow the time of day.
	started time.Time
}

// NewClaims returns a Claims that acquires on behalf of one process.
func NewClaims(client *platform.Client, vm string, process uint64) *Claims {
	return &Claims{client: client, vm: vm, process: process, started: time.Now()}
}

func objectKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + hex.EncodeToString(sum[:])
}

// Acquire claims the key, or returns the existing claim. After an error it is
// unknown whether the key was claimed, so the request must not run. Acquire may be
// called only for a key for which the caller has just created a run with
// RunTable.Start, see mayTakeOver.
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
	now := time.Now()
	return Holder{VM: c.vm, Process: c.process, Attempt: uuid.NewString(), Since: now, Elapsed: now.Sub(c.started)}
}

// tryAcquire reads the claim, and creates it if there is none or replaces one
// that may be taken over. If the response to the write of an earlier attempt was
// lost, reading the claim shows whether that write took effect.
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

// mayTakeOver reports whether an existing claim may be replaced because its request
// is known not to have run. There are two such cases. The first is a claim whose
// answer says so. The second is a claim without an answer that an earlier Acquire of
// this process wrote less than Retention/2 ago. RunTable keeps a run that may
// have sent its request for at least Retention and admits one run per key, so this
// Acquire would not have been called if the earlier claim had led to such a run. For
// an older claim this does not hold: its run may have been removed from RunTable
// without its answer having been stored. Half of Retention leaves a margin.
func (c *Claims) mayTakeOver(existing Claim, own claimRecord) bool {
	if existing.Answer != nil {
		return existing.Answer.Status == answer.NotRun
	}
	sameProcess := existing.Holder.VM == own.Holder.VM && existing.Holder.Process == own.Holder.Process
	age := own.Holder.Elapsed - existing.Holder.Elapsed
	return sameProcess && existing.Holder.Attempt != own.Holder.Attempt && age < Retention/2
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
// during an outage of the platform. If it fails, other nodes get the outcome from
// the holder as long as the holder's process lives, and "unknown" afterwards.
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
			// Only the holder's process changes a claim without an answer. So
			// either an earlier attempt took effect and its response was lost,
			// or this process has replaced the claim after the run ended as
			// NotRun. In both cases there is nothing left to write.
			return nil
		}
		time.Sleep(backoff)
		backoff *= 2
	}
	return err
}
