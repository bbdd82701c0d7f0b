// Package directory records which runner serves which model or plain service, as the
// runners' owners report it. Each daemon keeps the entries of the models assigned to it.
// A new daemon has all of its entries again within one or two seconds.
package directory

import (
	"sync"
	"time"

	"primroseward/core"
)

// reportTTL is how long a report is valid. A runner with an older one counts as unknown,
// not as idle.
const reportTTL = 5 * time.Second

// Report is an owner's report on one runner.
type Report struct {
	Runner     string
	DataCentre string // data centre
	Owner      string
	Service    string   // of a plain endpoint
	Models     []string // ready and not about to be evicted
	Slots      int
	Running    int
	Queued     int
	Wait       time.Duration // expected, until a new request of class normal would start
	Leaving    bool
	At         time.Time // when the report was made
}

// Directory holds reports. It is safe for concurrent use.
type Directory struct {
	clock core.Clock
	mu    sync.Mutex
	byKey map[string]map[string]Report // model or service key, then runner
}

// New returns an empty directory.
func New(clock core.Clock) *Directory {
	return &Directory{clock: clock, byKey: map[string]map[string]Report{}}
}

// ModelKey returns the key of a model's reports.
func ModelKey(model string) string { return "model/" + model }

// ServiceKey returns the key of a plain service's reports.
func ServiceKey(service string) string { return "service/" + service }

// Keys returns the keys under which a report is stored.
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

// Put stores reports. A report on a runner replaces older ones of any owner.
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

// Find returns the valid reports under a key.
func (d *Directory) Find(key string) []Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Report
	now := d.clock.Now()
	for runner, r := range d.byKey[key] {
		if now.Sub(r.At) > reportTTL {
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
