// Package claim ensures that requests with an idempotency key that are not repeatable run
// at most once. It uses one platform object per key, which only one daemon can create.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"primroseward/core"
)

const (
	// retention is how long a claim is kept after it was made. It exceeds the time for
	// which any caller keeps sending the same key.
	retention         = 24 * time.Hour
	releaseBuffer     = 1024
	releaseInterval   = 2 * time.Second
	maxReleaseRetries = 60
	sweepInterval     = 10 * time.Minute
	sweepPause        = 50 * time.Millisecond
	callTimeout       = 5 * time.Second
)

// Body is the content of a claim object.
type Body struct {
	Token       string    `json:"token"`  // unique to each call of Take
	Fingerprint uint64    `json:"print"`  // fingerprint of the request
	Member      string    `json:"member"` // daemon that made the claim and holds the answer
	At          time.Time `json:"at"`
}

// Claim is a claim that this daemon has made.
type Claim struct {
	name  string
	token string
}

// Claims makes and releases claims.
type Claims struct {
	platform core.Platform
	members  core.Members
	clock    core.Clock
	log      *zap.Logger
	releases chan pendingRelease
	wg       sync.WaitGroup
	stop     context.CancelFunc
}

// pendingRelease is a claim to be deleted and the number of retries so far.
type pendingRelease struct {
	claim   Claim
	retries int
}

// New creates a Claims; Start begins its background work.
func New(platform core.Platform, members core.Members, clock core.Clock, log *zap.Logger) *Claims {
	return &Claims{platform: platform, members: members, clock: clock, log: log, releases: make(chan pendingRelease, releaseBuffer)}
}

// Start begins to delete released and expired claims in the background.
func (c *Claims) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.wg.Add(2)
	go c.runRelease(ctx)
	go c.runSweep(ctx)
}

// Stop ends the background work and waits for it.
func (c *Claims) Stop() {
	c.stop()
	c.wg.Wait()
}

// objectName derives an object name from a key, which may contain any character.
func objectName(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:16])
}

// Take claims a key. If another request holds the claim, Take returns the body of that
// claim with ErrExists. ErrUnavailable means that the claim may or may not have been made,
// or that the existing one could not be read; the request must not be sent then. A claim
// that may have been made is released.
func (c *Claims) Take(ctx context.Context, key string, fingerprint uint64) (Claim, Body, error) {
	claim := Claim{name: objectName(key), token: uuid.NewString()}
	body := Body{Token: claim.token, Fingerprint: fingerprint, Member: c.members.Self().Name, At: c.clock.Now()}
	data, err := json.Marshal(body)
	if err != nil {
		return claim, body, err
	}
	_, err = c.platform.Create(ctx, core.Object{Kind: core.KindClaim, Name: claim.name, Body: data})
	switch {
	case err == nil, errors.Is(err, core.ErrOverwritten):
		return claim, body, nil
	case errors.Is(err, core.ErrExists):
		return c.existing(ctx, claim)
	default:
		c.Release(claim)
		return claim, body, errors.Join(core.ErrUnavailable, err)
	}
}

// existing returns the body of the claim that another request holds.
func (c *Claims) existing(ctx context.Context, claim Claim) (Claim, Body, error) {
	body, err := c.read(ctx, claim.name)
	if err != nil {
		return claim, Body{}, errors.Join(core.ErrUnavailable, err)
	}
	return claim, body, core.ErrExists
}

// Find returns the body of the claim of a key without making one, or ErrNotFound if there
// is none.
func (c *Claims) Find(ctx context.Context, key string) (Body, error) {
	return c.read(ctx, objectName(key))
}

// read returns the body of a claim. A claim that cannot be decoded gives an empty body.
func (c *Claims) read(ctx context.Context, name string) (Body, error) {
	o, err := c.platform.Get(ctx, core.KindClaim, name)
	if err != nil {
		return Body{}, err
	}
	var body Body
	if json.Unmarshal(o.Body, &body) != nil {
		return Body{}, nil
	}
	return body, nil
}

// Release deletes a claim whose request has certainly not run, so that the caller can
// send the request again. The deletion is retried in the background, because a claim that
// remained would block its key needlessly.
func (c *Claims) Release(claim Claim) {
	select {
	case c.releases <- pendingRelease{claim: claim}:
	default:
		c.log.Warn("release queue is full; a claim is kept although its request did not run", zap.String("claim", claim.name))
	}
}

func (c *Claims) runRelease(ctx context.Context) {
	defer c.wg.Done()
	var pending []pendingRelease
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.releases:
			if !c.tryRelease(ctx, r.claim) {
				pending = append(pending, r)
			}
		case <-c.clock.After(releaseInterval):
			pending = c.retryReleases(ctx, pending)
		}
	}
}

// retryReleases retries pending releases and returns those to be retried later. A release
// is dropped after maxReleaseRetries.
func (c *Claims) retryReleases(ctx context.Context, pending []pendingRelease) []pendingRelease {
	var left []pendingRelease
	for _, r := range pending {
		r.retries++
		if !c.tryRelease(ctx, r.claim) && r.retries < maxReleaseRetries {
			left = append(left, r)
		}
	}
	return left
}

// tryRelease deletes the claim if it still carries the token, and reports whether the
// release is finished. A claim that is missing may still appear if the write that made it
// is late, so only a deletion, a body that cannot be decoded, or another token counts as
// finished.
func (c *Claims) tryRelease(ctx context.Context, claim Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := c.platform.Get(ctx, core.KindClaim, claim.name)
	if err != nil {
		return false
	}
	var body Body
	if json.Unmarshal(o.Body, &body) != nil || body.Token != claim.token {
		return true
	}
	return c.platform.Delete(ctx, o) == nil
}

// runSweep deletes expired claims, one every sweepPause, on one daemon at a time.
func (c *Claims) runSweep(ctx context.Context) {
	defer c.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(sweepInterval):
		}
		sweeper := c.members.Rank("sweep", "", 1)
		if len(sweeper) == 1 && sweeper[0].Name == c.members.Self().Name {
			c.sweep(ctx)
		}
	}
}

func (c *Claims) sweep(ctx context.Context) {
	objects, _, err := c.platform.List(ctx, core.KindClaim)
	if err != nil {
		return
	}
	for _, o := range objects {
		var body Body
		if json.Unmarshal(o.Body, &body) != nil || c.clock.Since(body.At) < retention {
			continue
		}
		_ = c.platform.Delete(ctx, o)
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(sweepPause):
		}
	}
}
