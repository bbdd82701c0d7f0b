package quarantine

import (
	"encoding/json"
	"slices"

	"primroseward/coordination/peers"
	"primroseward/coordination/policy"
	"primroseward/core"
)

// maxExplained bounds the exits per message, to keep it below a packet of 1,500 bytes.
const maxExplained = 50

// explain records that the cause of some exits is held back, at all daemons: what was in progress beside it
// may have been there by chance. The caller holds q.mu.
func (q *Quarantine) explain(instances []policy.Instance) {
	now := q.clock.Now()
	instances = slices.DeleteFunc(instances, func(i policy.Instance) bool { return !q.exits.Explain(now, i) })
	for part := range slices.Chunk(instances, maxExplained) {
		q.broadcast(kindExplain, part, queryDelays)
	}
}

func (q *Quarantine) handleExplain(from peers.Peer, body json.RawMessage, _ func(any)) {
	var instances []policy.Instance
	if !peers.Decode(q.log, from, body, &instances) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, i := range instances {
		q.exits.Explain(q.clock.Now(), i)
	}
}

// explainedByHold reports whether a request, a part of its prompt or the part itself is held back, and so is
// the cause of an exit under it.
func (q *Quarantine) explainedByHold(s *affected) bool {
	return slices.ContainsFunc(append(s.Prompt, s.Digest), func(d core.Digest) bool {
		_, held := q.table.Held(d)
		return held
	})
}
