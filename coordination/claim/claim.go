// Package claim makes keyed requests that must not be repeated run at most
// once, through one platform object per key that only one daemon can create.
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
	// retention is how long a claim outlives its request: longer than any caller
	// goes on sending the same key.
	retention         = 24 * time.Hour
	releaseBuffer     = 1024
	releaseInterval   = 2 * time.Second
	maxReleaseRetries = 60
	sweepInterval     = 10 * time.Minute
	sweepPause        = 50 * time.Millisecond
	callTimeout       = 5 * time.Second
)

// Body is what a claim says.
type Body struct {
	Token  string    `json:"token"`  // unique to the taker
	Print  uint64    `json:"print"`  // fingerprint of the request
	Member string    `json:"member"` // that took the request and holds its answer
	At     time.Time `json:"at"`
}

// Claim is a claim that this daemon has won.
type Claim struct {
	name  string
	token string
}

// Claims takes and gives back claims.
type Claims struct {
	platform core.Platform
	members  core.Members
	clock    core.Clock
	log      *zap.Logger
	releases chan pendingRelease
	wg       sync.WaitGroup
	stop     context.CancelFunc
}

type pendingRelease struct {
	claim   Claim
	retries int
}

// New makes a Claims.
func New(platform core.Platform, members core.Members, clock core.Clock, log *zap.Logger) *Claims {
	return &Claims{platform: platform, members: members, clock: clock, log: log, releases: make(chan pendingRelease, releaseBuffer)}
}

// Start begins to delete what is given back or out of date.
func (c *Claims) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.wg.Add(2)
	go c.runRelease(ctx)
	go c.runSweep(ctx)
}

// Stop ends it.
func (c *Claims) Stop() {
	c.stop()
	c.wg.Wait()
}

// objectName makes an object objectName of a key, which may hold any character.
func objectName(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:16])
}

// Take claims a key. When another request holds it, Take returns that one's
// body with ErrExists. ErrUnavailable means that the claim may or may not have
// been made; nothing may be sent then, and it will be given back.
func (c *Claims) Take(ctx context.Context, key string, fingerprint uint64) (Claim, Body, error) {
	claim := Claim{name: objectName(key), token: uuid.NewString()}
	body := Body{Token: claim.token, Print: fingerprint, Member: c.members.Self().Name, At: c.clock.Now()}
	data, err := json.Marshal(body)
	if err != nil {
		return claim, body, err
	}
	_, err = c.platform.Create(ctx, core.Object{Kind: core.KindClaim, Name: claim.name, Body: data})
	switch {
	case err == nil, errors.Is(err, core.ErrOvertaken):
		return claim, body, nil
	case errors.Is(err, core.ErrExists):
		return c.existing(ctx, claim)
	default:
		c.GiveBack(claim)
		return claim, body, errors.Join(core.ErrUnavailable, err)
	}
}

func (c *Claims) existing(ctx context.Context, claim Claim) (Claim, Body, error) {
	body, err := c.read(ctx, claim.name)
	if err != nil {
		return claim, Body{}, errors.Join(core.ErrUnavailable, err)
	}
	return claim, body, core.ErrExists
}

// Find returns what the claim of a key says, without making one; ErrNotFound if there is
// none.
func (c *Claims) Find(ctx context.Context, key string) (Body, error) {
	return c.read(ctx, objectName(key))
}

// read returns what a claim says; one that can't be read says nothing.
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

// GiveBack deletes a claim whose request was provably not run, so that the
// caller can send it again. It is retried in the background: a claim that
// stayed would block its key without need.
func (c *Claims) GiveBack(claim Claim) {
	select {
	case c.releases <- pendingRelease{claim: claim}:
	default:
		c.log.Warn("a claim is kept although its request did not run", zap.String("claim", claim.name))
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
			if !c.release(ctx, r.claim) {
				pending = append(pending, r)
			}
		case <-c.clock.After(releaseInterval):
			pending = c.retryReleases(ctx, pending)
		}
	}
}

func (c *Claims) retryReleases(ctx context.Context, pending []pendingRelease) []pendingRelease {
	var left []pendingRelease
	for _, r := range pending {
		r.retries++
		if !c.release(ctx, r.claim) && r.retries < maxReleaseRetries {
			left = append(left, r)
		}
	}
	return left
}

// release deletes the claim if it still carries the token. A claim that is
// not there may yet appear when the write that made it is late, so only a
// deletion or another's token counts as done.
func (c *Claims) release(ctx context.Context, claim Claim) bool {
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

// runSweep deletes old claims, a few a second, from one daemon at a time.
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
