package quarantine

import (
	"sync"
	"time"

	"primroseward/coordination/policy"
	"primroseward/core"
)

const (
	// maxUsedParts bounds the prompt parts whose use a daemon remembers.
	maxUsedParts = 8192
	// maxUsedModels bounds the models that it tells apart for one part, maxUsePeriods the periods per part and model.
	maxUsedModels = 12
	maxUsePeriods = 64
	// usePeriod is the length of a period.
	usePeriod = time.Second
)

// use is how requests with a prompt part for one model used runners.
type use struct {
	running int
	began   time.Duration // of those that are running, since the start of the record, together
	periods []usePeriodSum
}

// usePeriodSum is the use that ended in a period.
type usePeriodSum struct {
	number int64
	policy.Use
}

// at returns the sum of a period. When full, it merges the two oldest ones.
func (u *use) at(number int64) *usePeriodSum {
	if n := len(u.periods); n > 0 && u.periods[n-1].number >= number {
		return &u.periods[n-1]
	}
	if len(u.periods) >= maxUsePeriods {
		u.periods[1].Add(u.periods[0].Use)
		u.periods = append(u.periods[:0], u.periods[1:]...)
	}
	u.periods = append(u.periods, usePeriodSum{number: number})
	return &u.periods[len(u.periods)-1]
}

// since returns the use from a time on, both since the start of the record.
func (u *use) since(from, now time.Duration) policy.Use {
	var out policy.Use
	for i := range u.periods {
		if u.periods[i].number >= int64(from/usePeriod) {
			out.Add(u.periods[i].Use)
		}
	}
	if u.running > 0 {
		mean := u.began / time.Duration(u.running)
		out.Add(policy.Use{Busy: time.Duration(u.running) * (now - max(mean, from)), Runs: u.running})
	}
	return out
}

// partUse is the use of one prompt part.
type partUse struct {
	models map[string]*use
	again  bool // it was used again since the ring last came to it
}

// of returns the use for a model. Models beyond maxUsedModels share one.
func (p *partUse) of(model string) *use {
	if p.models[model] == nil && len(p.models) >= maxUsedModels {
		model = ""
	}
	u := p.models[model]
	if u == nil {
		u = &use{}
		p.models[model] = u
	}
	return u
}

// uses records the use of prompt parts by requests of this daemon.
type uses struct {
	clock core.Clock
	start time.Time

	mu   sync.Mutex
	byID map[core.Digest]*partUse
	ring []core.Digest
	next int
}

func newUses(clock core.Clock) *uses {
	return &uses{clock: clock, start: clock.Now(), byID: map[core.Digest]*partUse{}}
}

// now returns the time since the start of the record.
func (u *uses) now() time.Duration { return u.clock.Since(u.start) }

// part returns the use of a part, and forgets that of another one if there are too many. The caller holds the lock.
func (u *uses) part(d core.Digest) *partUse {
	if p := u.byID[d]; p != nil {
		p.again = true
		return p
	}
	p := &partUse{models: map[string]*use{}}
	u.byID[d] = p
	if len(u.ring) < maxUsedParts {
		u.ring = append(u.ring, d)
		return p
	}
	for {
		oldest := u.byID[u.ring[u.next]]
		if !oldest.again {
			delete(u.byID, u.ring[u.next])
			u.ring[u.next] = d
			u.next = (u.next + 1) % maxUsedParts
			return p
		}
		oldest.again = false
		u.next = (u.next + 1) % maxUsedParts
	}
}

// since returns the use of a part by model, over an age until now.
func (u *uses) since(d core.Digest, age time.Duration) map[string]policy.Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.byID[d]
	if p == nil {
		return nil
	}
	out, now := map[string]policy.Use{}, u.now()
	for model, one := range p.models {
		if sum := one.since(max(0, now-age), now); sum != (policy.Use{}) {
			out[model] = sum
		}
	}
	return out
}

// run is a core.Run.
type run struct {
	q     *Quarantine
	held  []core.Digest // under which its parts may be on hold
	uses  []*use        // guarded by the lock of uses, as ended
	began time.Duration
	at    time.Time
	ended bool
}

// RunBegan implements core.Guard.
func (q *Quarantine) RunBegan(parts []core.Part, model string) core.Run {
	u := q.uses
	u.mu.Lock()
	defer u.mu.Unlock()
	r := &run{q: q, began: u.now(), at: q.clock.Now()}
	for _, p := range parts {
		r.add(p.Digest, model)
		r.held = append(r.held, p.Digests()...)
	}
	return r
}

// add begins to record the use of a part since the begin of the run. The caller holds the lock.
func (r *run) add(part core.Digest, model string) {
	one := r.q.uses.part(part).of(model)
	one.running++
	one.began += r.began
	r.uses = append(r.uses, one)
}

// Worked implements core.Run. From now on the use of the request as a whole is recorded, as that of a part.
func (r *run) Worked(d core.Digest) {
	u := r.q.uses
	u.mu.Lock()
	if !r.ended {
		r.add(lateDigest(d), "")
	}
	u.mu.Unlock()
	r.q.worked(d)
}

// Ended implements core.Run.
func (r *run) Ended() {
	u := r.q.uses
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	now := u.now()
	for _, one := range r.uses {
		one.running--
		one.began -= r.began
		one.at(int64(now / usePeriod)).Add(policy.Use{Busy: now - r.began, Runs: 1})
	}
}

// Whole implements core.Run.
func (r *run) Whole() {
	u := r.q.uses
	u.mu.Lock()
	for _, one := range r.uses {
		one.at(int64(u.now()/usePeriod)).Whole++
	}
	u.mu.Unlock()
	for _, d := range r.held {
		r.q.passed(d, r.at)
	}
}
