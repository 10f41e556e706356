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

// prefix starts the platform's keys of claims.
const prefix = "claims/"

// maximumAnswer is the largest answer kept in a claim, in bytes.
const maximumAnswer = 64 << 10

// Tries of a write whose answer may have been lost.
const (
	claimTries = 4
	endTries   = 6
	firstPause = 20 * time.Millisecond
)

// Holder is the process that may run a claimed request.
type Holder struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Attempt tells this claim from all others, also of the same process.
	Attempt string    `json:"attempt"`
	Since   time.Time `json:"since"`
}

// record is the value of a claim object.
type record struct {
	Holder  Holder `json:"holder"`
	Request uint64 `json:"request"`
	// Answer is set when the run has ended.
	Answer *answer.Answer `json:"answer,omitempty"`
}

// Claim is the state of a key in the platform.
type Claim struct {
	// Mine is true if this process has just won the right to run the request.
	Acquired bool
	Holder   Holder
	Request  uint64
	// Answer is set when the run has ended.
	Answer  *answer.Answer
	version uint64
	key     string
}

// Claims takes and ends claims in the platform.
type Claims struct {
	client      *platform.Client
	vm          string
	incarnation uint64
}

// NewClaims returns the claims of one process.
func NewClaims(client *platform.Client, vm string, incarnation uint64) *Claims {
	return &Claims{client: client, vm: vm, incarnation: incarnation}
}

func objectKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return prefix + hex.EncodeToString(sum[:])
}

// Take claims the key, or returns who has it. An error means that the platform
// could not tell; the request must not run then.
func (c *Claims) Acquire(ctx context.Context, key string, request uint64) (claim Claim, err error) {
	defer util.Annotate(&err, "take claim")
	own := record{Holder: c.newHolder(), Request: request}
	pause := firstPause
	for range claimTries {
		claim, err = c.try(ctx, key, own)
		if err == nil || ctx.Err() != nil {
			return claim, err
		}
		time.Sleep(pause)
		pause *= 2
	}
	return claim, err
}

func (c *Claims) newHolder() Holder {
	return Holder{VM: c.vm, Incarnation: c.incarnation, Attempt: uuid.NewString(), Since: time.Now()}
}

// try reads the claim and creates it if there is none, or takes over one that
// ended without a run. A lost answer is resolved by reading back.
func (c *Claims) try(ctx context.Context, key string, own record) (claim Claim, err error) {
	object, err := c.client.Get(ctx, objectKey(key))
	if err != nil {
		return claim, err
	}
	found, err := c.parse(key, object)
	if err != nil {
		return claim, err
	}
	if object.Version > 0 && !c.free(found, own) {
		found.Acquired = found.Holder.Attempt == own.Holder.Attempt
		return found, nil
	}
	value, err := json.Marshal(own)
	if err != nil {
		return claim, errors.WithStack(err)
	}
	version, err := c.client.Put(ctx, objectKey(key), value, object.Version)
	if err != nil {
		// Another won, or the answer was lost: the next try reads back.
		return claim, err
	}
	return Claim{Acquired: true, Holder: own.Holder, Request: own.Request, version: version, key: key}, nil
}

// free reports whether a claim may be taken over: its run ended as not run, or
// it is an earlier one of this same process, which knows that it never ran.
func (c *Claims) free(found Claim, own record) bool {
	if found.Answer != nil {
		return found.Answer.Status == answer.NotRun
	}
	same := found.Holder.VM == own.Holder.VM && found.Holder.Incarnation == own.Holder.Incarnation
	return same && found.Holder.Attempt != own.Holder.Attempt && time.Since(found.Holder.Since) < Retention/2
}

func (c *Claims) parse(key string, object platform.Object) (claim Claim, err error) {
	claim = Claim{version: object.Version, key: key}
	if object.Version == 0 {
		return claim, nil
	}
	var r record
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return claim, errors.WithStack(err)
	}
	claim.Holder, claim.Request, claim.Answer = r.Holder, r.Request, r.Answer
	return claim, nil
}

// End writes the outcome of a run into its claim. It goes on for a while
// through an outage; if it fails, others learn the outcome from the holder as
// long as that lives, and "unknown" afterwards.
func (c *Claims) Complete(ctx context.Context, claim Claim, a *answer.Answer) (err error) {
	defer util.Annotate(&err, "end claim")
	value, err := json.Marshal(record{Holder: claim.Holder, Request: claim.Request, Answer: a})
	if err != nil {
		return errors.WithStack(err)
	}
	if len(value) > maximumAnswer {
		short := *a
		short.Records = nil
		if value, err = json.Marshal(record{Holder: claim.Holder, Request: claim.Request, Answer: &short}); err != nil {
			return errors.WithStack(err)
		}
	}
	pause := firstPause
	for range endTries {
		_, err = c.client.Put(ctx, objectKey(claim.key), value, claim.version)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			// A conflict is this very write, whose answer was lost.
			return nil
		}
		time.Sleep(pause)
		pause *= 2
	}
	return err
}
