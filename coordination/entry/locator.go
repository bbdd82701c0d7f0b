package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"primroseward/coordination/owner"
	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/directory"
)

const (
	// cacheTTL is the age up to which cached reports are used without a lookup.
	// staleCacheTTL is the age up to which they are used when a lookup fails or
	// finds nothing.
	cacheTTL      = 300 * time.Millisecond
	staleCacheTTL = 10 * time.Second
	lookupTimeout = 500 * time.Millisecond
)

// locator looks up the runners that serve a model or service in the directory and
// caches the result for a short time.
type locator struct {
	e     *Entry
	mu    sync.Mutex
	cache map[string]*cachedReports
}

type cachedReports struct {
	mu        sync.Mutex // held during a lookup, so that there is one at a time
	reports   []directory.Report
	fetchedAt time.Time
	sent      map[string]int // requests sent to each runner since fetchedAt
}

func newLocator(e *Entry) *locator {
	return &locator{e: e, cache: map[string]*cachedReports{}}
}

// cached returns the cache entry of a key and creates it if needed.
func (l *locator) cached(key string) *cachedReports {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.cache[key]
	if c == nil {
		c = &cachedReports{sent: map[string]int{}}
		l.cache[key] = c
	}
	return c
}

// sweep removes the cache entries that are too old to be used.
func (l *locator) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.cache {
		if c.mu.TryLock() {
			if l.e.clock.Since(c.fetchedAt) > staleCacheTTL {
				delete(l.cache, key)
			}
			c.mu.Unlock()
		}
	}
}

// find returns the reports of a key and the number of requests that this daemon
// has sent to each runner since the reports were fetched.
func (l *locator) find(ctx context.Context, key string) ([]directory.Report, map[string]int) {
	c := l.cached(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := l.e.clock.Now()
	if len(c.reports) == 0 || now.Sub(c.fetchedAt) > cacheTTL {
		if reports, ok := l.lookup(ctx, key); ok && (len(reports) > 0 || now.Sub(c.fetchedAt) > staleCacheTTL) {
			c.reports, c.fetchedAt = reports, now
			clear(c.sent)
		}
	}
	sent := make(map[string]int, len(c.sent))
	for runner, n := range c.sent {
		sent[runner] = n
	}
	return c.reports, sent
}

// countSent counts a request that is sent to a runner.
func (l *locator) countSent(key, runner string) {
	c := l.cached(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[runner]++
}

// lookup queries the keepers of a key in order until one returns reports, and
// merges the results by the newest report of each runner. A new keeper may not have
// received all reports yet. The result is false if no keeper answered.
func (l *locator) lookup(ctx context.Context, key string) ([]directory.Report, bool) {
	newest := map[string]directory.Report{}
	answered := false
	for _, m := range owner.KeepersOf(l.e.members, key) {
		reports, err := l.lookupAt(ctx, m, key)
		if err != nil {
			continue
		}
		answered = true
		for _, r := range reports {
			if previous, ok := newest[r.Runner]; !ok || r.At.After(previous.At) {
				newest[r.Runner] = r
			}
		}
		if len(newest) > 0 {
			break
		}
	}
	out := make([]directory.Report, 0, len(newest))
	for _, r := range newest {
		out = append(out, r)
	}
	return out, answered
}

// lookupAt queries one keeper of a key.
func (l *locator) lookupAt(ctx context.Context, m core.Member, key string) ([]directory.Report, error) {
	if m.Name == l.e.members.Self().Name {
		return l.e.dir.Find(key), nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	resp, err := l.e.dial(m.Peer).Lookup(ctx, connect.NewRequest(&peerv1.LookupRequest{Key: key}))
	if err != nil {
		return nil, err
	}
	return ReportsFromWire(resp.Msg, l.e.clock.Now()), nil
}

// LookupRunners returns the reports of the runners that serve a key, by a lookup that
// bypasses the cache.
func (e *Entry) LookupRunners(ctx context.Context, key string) []directory.Report {
	reports, _ := e.locator.lookup(ctx, key)
	return reports
}

// SendReports sends reports to a keeper of the directory.
func (e *Entry) SendReports(ctx context.Context, to core.Member, reports []directory.Report) error {
	if to.Name == e.members.Self().Name {
		e.dir.Put(reports)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	_, err := e.dial(to.Peer).Report(ctx, connect.NewRequest(ReportsToWire(reports, e.clock.Now())))
	return err
}

// ReportsToWire encodes reports as a message. Times are sent as ages, since the
// daemons' clocks differ.
func ReportsToWire(reports []directory.Report, now time.Time) *peerv1.Reports {
	msg := &peerv1.Reports{}
	for _, r := range reports {
		msg.Reports = append(msg.Reports, &peerv1.Report{
			Runner:  r.Runner,
			Place:   r.DataCentre,
			Owner:   r.Owner,
			Service: r.Service,
			Models:  r.Models,
			Slots:   int32(r.Slots),
			Running: int32(r.Running),
			Queued:  int32(r.Queued),
			Wait:    r.Wait.Milliseconds(),
			Leaving: r.Leaving,
			Age:     now.Sub(r.At).Milliseconds(),
		})
	}
	return msg
}

// ReportsFromWire decodes a message of reports.
func ReportsFromWire(msg *peerv1.Reports, now time.Time) []directory.Report {
	out := make([]directory.Report, 0, len(msg.Reports))
	for _, r := range msg.Reports {
		out = append(out, directory.Report{
			Runner:     r.Runner,
			DataCentre: r.Place,
			Owner:      r.Owner,
			Service:    r.Service,
			Models:     r.Models,
			Slots:      int(r.Slots),
			Running:    int(r.Running),
			Queued:     int(r.Queued),
			Wait:       time.Duration(r.Wait) * time.Millisecond,
			Leaving:    r.Leaving,
			At:         now.Add(-time.Duration(r.Age) * time.Millisecond),
		})
	}
	return out
}
