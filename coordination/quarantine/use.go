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

// partUse is the use of one prompt part by model.
type partUse map[string]*use

// of returns the use for a model. Models beyond maxUsedModels share one.
func (p partUse) of(model string) *use {
	if p[model] == nil && len(p) >= maxUsedModels {
		model = ""
	}
	u := p[model]
	if u == nil {
		u = &use{}
		p[model] = u
	}
	return u
}

// uses records the use of prompt parts by requests of this daemon.
type uses struct {
	clock core.Clock
	start time.Time

	mu    sync.Mutex
	parts *digests[partUse]
}

func newUses(clock core.Clock) *uses {
	return &uses{clock: clock, start: clock.Now(), parts: newDigests[partUse](maxUsedParts)}
}

// now returns the time since the start of the record.
func (u *uses) now() time.Duration { return u.clock.Since(u.start) }

// part returns the use of a part. The caller holds the lock.
func (u *uses) part(d core.Digest) partUse {
	p := u.parts.use(d)
	if *p == nil {
		*p = partUse{}
	}
	return *p
}

// report returns the use of a part by model, over policy.SuspicionWindow and over a recent time for each model.
func (u *uses) report(d core.Digest, recent func(model string) time.Duration) []modelUse {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.parts.get(d)
	if p == nil {
		return nil
	}
	var out []modelUse
	now := u.now()
	for model, one := range *p {
		if long := one.since(max(0, now-policy.SuspicionWindow), now); long != (policy.Use{}) {
			out = append(out, modelUse{Model: model, Recent: one.since(max(0, now-recent(model)), now), Long: long})
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
		held := p.Digests()
		r.held = append(r.held, held[:]...)
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
