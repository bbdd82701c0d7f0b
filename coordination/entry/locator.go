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
	// cacheFresh is the age up to which a looked-up entry is used as it is;
	// cacheStale the age up to which it is used when no keeper answers.
	cacheFresh = 300 * time.Millisecond
	cacheStale = 10 * time.Second
	lookupTime = 500 * time.Millisecond
)

// locator finds the runners that serve a model or service, and remembers for
// a moment what it found.
type locator struct {
	e     *Entry
	mu    sync.Mutex
	known map[string]*located
}

type located struct {
	mu      sync.Mutex // one lookup at a time
	reports []directory.Report
	at      time.Time
	sent    map[string]int // by runner, since at
}

func newLocator(e *Entry) *locator {
	return &locator{e: e, known: map[string]*located{}}
}

func (l *locator) entry(key string) *located {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.known[key]
	if one == nil {
		one = &located{sent: map[string]int{}}
		l.known[key] = one
	}
	return one
}

func (l *locator) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, one := range l.known {
		if one.mu.TryLock() {
			if l.e.clock.Since(one.at) > cacheStale {
				delete(l.known, key)
			}
			one.mu.Unlock()
		}
	}
}

// find returns the reports under a key and how many requests were sent to
// each runner since they were made.
func (l *locator) find(ctx context.Context, key string) ([]directory.Report, map[string]int) {
	one := l.entry(key)
	one.mu.Lock()
	defer one.mu.Unlock()
	now := l.e.clock.Now()
	if len(one.reports) == 0 || now.Sub(one.at) > cacheFresh {
		if reports, ok := l.lookup(ctx, key); ok && (len(reports) > 0 || now.Sub(one.at) > cacheStale) {
			one.reports, one.at = reports, now
			clear(one.sent)
		}
	}
	sent := make(map[string]int, len(one.sent))
	for runner, n := range one.sent {
		sent[runner] = n
	}
	return one.reports, sent
}

func (l *locator) dispatched(key, runner string) {
	one := l.entry(key)
	one.mu.Lock()
	defer one.mu.Unlock()
	one.sent[runner]++
}

// lookup asks the keepers in turn and joins what they say: a keeper that is
// new may know only a part yet.
func (l *locator) lookup(ctx context.Context, key string) ([]directory.Report, bool) {
	newest := map[string]directory.Report{}
	answered := false
	for _, m := range owner.KeepersOf(l.e.members, key) {
		reports, err := l.ask(ctx, m, key)
		if err != nil {
			continue
		}
		answered = true
		for _, r := range reports {
			if have, ok := newest[r.Runner]; !ok || r.At.After(have.At) {
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

func (l *locator) ask(ctx context.Context, m core.Member, key string) ([]directory.Report, error) {
	if m.Name == l.e.members.Self().Name {
		return l.e.dir.Find(key), nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTime)
	defer cancel()
	resp, err := l.e.dial(m.Peer).Lookup(ctx, connect.NewRequest(&peerv1.LookupRequest{Key: key}))
	if err != nil {
		return nil, err
	}
	return ReportsFromWire(resp.Msg, l.e.clock.Now()), nil
}

// Directory returns the runners that serve a key, as the directory knows them.
func (e *Entry) Directory(ctx context.Context, key string) []directory.Report {
	reports, _ := e.locator.lookup(ctx, key)
	return reports
}

// SendReports gives reports to a keeper of the directory.
func (e *Entry) SendReports(ctx context.Context, to core.Member, reports []directory.Report) error {
	if to.Name == e.members.Self().Name {
		e.dir.Put(reports)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTime)
	defer cancel()
	_, err := e.dial(to.Peer).Report(ctx, connect.NewRequest(ReportsToWire(reports, e.clock.Now())))
	return err
}

// ReportsToWire makes the message of reports; times travel as ages, since
// daemons' clocks differ.
func ReportsToWire(reports []directory.Report, now time.Time) *peerv1.Reports {
	msg := &peerv1.Reports{}
	for _, r := range reports {
		msg.Reports = append(msg.Reports, &peerv1.Report{
			Runner:  r.Runner,
			Place:   r.Place,
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

// ReportsFromWire reads the message of reports.
func ReportsFromWire(msg *peerv1.Reports, now time.Time) []directory.Report {
	out := make([]directory.Report, 0, len(msg.Reports))
	for _, r := range msg.Reports {
		out = append(out, directory.Report{
			Runner:  r.Runner,
			Place:   r.Place,
			Owner:   r.Owner,
			Service: r.Service,
			Models:  r.Models,
			Slots:   int(r.Slots),
			Running: int(r.Running),
			Queued:  int(r.Queued),
			Wait:    time.Duration(r.Wait) * time.Millisecond,
			Leaving: r.Leaving,
			At:      now.Add(-time.Duration(r.Age) * time.Millisecond),
		})
	}
	return out
}
