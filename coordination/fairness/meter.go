package fairness

import (
	"time"

	"primroseward/coordination/allowance"
	"primroseward/core"
)

// meter measures the demand of a workspace's callers and the admitted part of it.
type meter struct{ demand, admitted allowance.Meter }

func (m *meter) add(now time.Time, demand, admitted float64) {
	m.demand.Add(now, meterSpan, demand)
	m.admitted.Add(now, meterSpan, admitted)
}

// usage returns what has been measured.
func (m *meter) usage(now time.Time) core.Usage {
	return core.Usage{Demand: m.demand.Rate(now, meterSpan), Admitted: m.admitted.Rate(now, meterSpan)}
}

// Count counts the arrival of a request of a workspace. The demand of workspaces with an allowance is measured with
// that.
func (t *Table) Count(w *core.Workspace, q *core.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.TokensKnown {
		if t.meanTokens == 0 {
			t.meanTokens = tokens(q)
		}
		t.meanTokens += tokensGain * (tokens(q) - t.meanTokens)
	}
	t.measure(w, q, 1, 1)
}

// Refund counts that a request has not run.
func (t *Table) Refund(w *core.Workspace, q *core.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.measure(w, q, 0, -1)
}

// measure adds a multiple of a request's tokens to what is measured of its workspace. The caller holds the lock.
func (t *Table) measure(w *core.Workspace, q *core.Request, demand, admitted float64) {
	if w.Limited() {
		return
	}
	m := t.meters[w.Code]
	if m == nil {
		m = &meter{}
		t.meters[w.Code] = m
	}
	units := t.meanTokens
	if q.TokensKnown {
		units = tokens(q)
	}
	m.add(t.clock.Now(), demand*units, admitted*units)
}

// tokens returns the tokens of a request.
func tokens(q *core.Request) float64 { return float64(q.InputTokens + q.MaxOutputTokens) }

// Usage returns the demand of this daemon's callers by workspace, for those without an allowance.
func (t *Table) Usage() map[core.Code]core.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	out := map[core.Code]core.Usage{}
	for code, m := range t.meters {
		u := m.usage(now)
		if u.Demand < minReported {
			delete(t.meters, code)
			continue
		}
		out[code] = u
	}
	return out
}
