package quarantine

import (
	"encoding/json"
	"slices"
	"time"

	"primroseward/coordination/peers"
	"primroseward/coordination/policy"
	"primroseward/state/hold"
)

// maxExplained bounds the exits per message, to keep it below a packet of 1,500 bytes.
const maxExplained = 50

// explained is the message that some exits have a cause that is held back.
type explained struct {
	Exits []policy.Instance  `json:"exits"`
	By    policy.Explanation `json:"by"`
}

// explain records that the cause of some exits is held back, at all daemons: what was in progress beside it
// may have been there by chance. The caller holds q.mu.
func (q *Quarantine) explain(exits []policy.Instance, by policy.Explanation) {
	now := q.clock.Now()
	exits = slices.DeleteFunc(exits, func(i policy.Instance) bool { return !q.exits.Explain(now, i, by) })
	for part := range slices.Chunk(exits, maxExplained) {
		q.broadcast(kindExplain, explained{Exits: part, By: by}, queryDelays)
	}
}

func (q *Quarantine) handleExplain(from peers.Peer, body json.RawMessage, _ func(any)) {
	var m explained
	if !peers.Decode(q.log, from, body, &m) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, i := range m.Exits {
		q.exits.Explain(q.clock.Now(), i, m.By)
	}
}

// heldCause returns the request or prompt part that is held back and so is the cause of an exit under it. What
// may have been queued only is not.
func (q *Quarantine) heldCause(s *affected) (policy.Explanation, bool) {
	if !s.mayBeCause() {
		return policy.Explanation{}, false
	}
	causes := s.held()
	for _, d := range s.Prompt {
		causes = append(causes, d, d.AtModel(s.Model))
	}
	for i, d := range causes {
		if _, held := q.table.Held(d); held {
			return policy.Explanation{Cause: d, Part: s.isPart() || i > 0}, true
		}
	}
	return policy.Explanation{}, false
}

// mayBeCause reports whether the exit may be due to what is held back already.
func (a *affected) mayBeCause() bool { return a.Fresh || a.Begun }

// mayBeTrial reports whether the exit counts against a prompt part whose hold has expired: its run began since, or the
// runner had just started it. Others were in progress before, or had been queued, by chance.
func (a *affected) mayBeTrial(r *hold.Record, now time.Time) bool {
	if a.Age > 0 {
		return !now.Add(-a.age()).Before(r.Until)
	}
	return a.Fresh
}
