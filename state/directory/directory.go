// Package directory keeps which runner serves which model, as their owners
// report it. Each daemon keeps the entries of the models that fall to it; all
// of it is rebuilt within a second or two when a daemon is new.
package directory

import (
	"sync"
	"time"

	"primroseward/core"
)

// life is how long a report counts. Older ones count as unknown, not as idle.
const life = 5 * time.Second

// Report is what an owner says of one runner.
type Report struct {
	Runner  string
	Place   string
	Owner   string
	Service string   // of a plain endpoint
	Models  []string // ready and not about to be evicted
	Slots   int
	Running int
	Queued  int
	Wait    time.Duration // until a new normal request would start
	Leaving bool
	At      time.Time
}

// Directory holds reports; it is safe for concurrent use.
type Directory struct {
	clock core.Clock
	mu    sync.Mutex
	byKey map[string]map[string]Report // model or service key, then runner
}

// New returns an empty directory.
func New(clock core.Clock) *Directory {
	return &Directory{clock: clock, byKey: map[string]map[string]Report{}}
}

// ModelKey is the key of a model's entry.
func ModelKey(model string) string { return "model/" + model }

// ServiceKey is the key of a plain service's entry.
func ServiceKey(service string) string { return "service/" + service }

// Keys returns the keys that a report belongs under.
func (r Report) Keys() []string {
	if r.Service != "" {
		return []string{ServiceKey(r.Service)}
	}
	out := make([]string, len(r.Models))
	for i, m := range r.Models {
		out[i] = ModelKey(m)
	}
	return out
}

// Put takes in reports. A report for a runner replaces older ones from any
// owner.
func (d *Directory) Put(reports []Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range reports {
		for _, key := range r.Keys() {
			if d.byKey[key] == nil {
				d.byKey[key] = map[string]Report{}
			}
			if have, ok := d.byKey[key][r.Runner]; !ok || !have.At.After(r.At) {
				d.byKey[key][r.Runner] = r
			}
		}
	}
}

// Find returns the reports under a key that still count.
func (d *Directory) Find(key string) []Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Report
	now := d.clock.Now()
	for runner, r := range d.byKey[key] {
		if now.Sub(r.At) > life {
			delete(d.byKey[key], runner)
			continue
		}
		out = append(out, r)
	}
	if len(d.byKey[key]) == 0 {
		delete(d.byKey, key)
	}
	return out
}
