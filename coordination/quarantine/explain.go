package quarantine

import (
	"encoding/json"
	"slices"

	"primroseward/coordination/peers"
	"primroseward/coordination/policy"
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
	if _, held := q.table.Held(s.Digest); held {
		return policy.Explanation{Cause: s.Digest, Part: s.isPart()}, true
	}
	for _, d := range s.Prompt {
		if _, held := q.table.Held(d); held {
			return policy.Explanation{Cause: d, Part: true}, true
		}
	}
	return policy.Explanation{}, false
}

// mayBeCause reports whether the exit counts against what is held back already. Most requests with a part have
// been there by chance.
func (a *affected) mayBeCause() bool { return a.Fresh || a.Begun && !a.isPart() }
