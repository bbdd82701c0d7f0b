package quarantine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"primroseward/coordination/peers"
	"primroseward/io/logs"
	"primroseward/state/hold"
)

const (
	// compareInterval is how often a daemon with holds compares them with a peer, and
	// idleCompareInterval how often one without holds does after its first comparison. A
	// daemon that has just started tries every startCompareInterval until its first
	// comparison, for at most startComparePeriod, as there may be no peer.
	compareInterval      = time.Second
	idleCompareInterval  = 10 * time.Second
	startCompareInterval = 100 * time.Millisecond
	startComparePeriod   = 5 * time.Second
	// compareTimeout bounds the wait for the peer's answer.
	compareTimeout = 300 * time.Millisecond
	compareResend  = 100 * time.Millisecond
	// maxHolds bounds the holds per message, to keep it below a packet of 1,500 bytes.
	maxHolds = 4
)

// holdDelays are the times after which a changed hold is broadcast. It is sent repeatedly
// because a datagram may be lost, and all daemons must have the change within a second or two.
var holdDelays = []time.Duration{0, 60 * time.Millisecond, 300 * time.Millisecond}

// broadcastHold sends a hold to all daemons.
func (q *Quarantine) broadcastHold(r hold.Record) {
	q.broadcast(kindHolds, q.encode([]hold.Record{r}), holdDelays)
}

// broadcast sends a message to all daemons after each of the delays.
func (q *Quarantine) broadcast(kind string, message any, delays []time.Duration) {
	for _, delay := range delays {
		q.clock.AfterFunc(delay, func() {
			if q.ctx.Err() == nil {
				q.net.Broadcast(kind, message)
			}
		})
	}
}

// encode encodes holds as of now.
func (q *Quarantine) encode(records []hold.Record) []json.RawMessage {
	out := make([]json.RawMessage, 0, len(records))
	for i := range records {
		data, err := hold.Encode(&records[i], q.clock.Now())
		if err != nil {
			q.log.Error(logs.MessageUnwritten, logs.Err(err))
			continue
		}
		out = append(out, data)
	}
	return out
}

func (q *Quarantine) handleHolds(from peers.Peer, body json.RawMessage, _ func(any)) {
	var list []json.RawMessage
	if !peers.Decode(q.log, from, body, &list) {
		return
	}
	for _, data := range list {
		r, err := hold.DecodeReceived(data, q.clock.Now())
		if err != nil {
			q.log.Warn(logs.MessageUnreadable, logs.Err(err))
			continue
		}
		q.merge(*r, from.Name)
	}
}

// runCompare compares holds with one random peer at a time. This brings a daemon the changes
// that it has missed while it was cut off or before it started.
func (q *Quarantine) runCompare() {
	defer q.wg.Done()
	interval, started := startCompareInterval, q.clock.Now()
	for q.ctx.Err() == nil {
		if q.compare() || q.clock.Since(started) > startComparePeriod {
			interval = idleCompareInterval
		}
		q.table.Expire(q.clock.Now())
		wait := interval
		if interval == idleCompareInterval && q.table.Len() > 0 {
			wait = compareInterval
		}
		q.waitNext(wait/2 + rand.N(wait))
	}
}

// waitNext waits for a time, or until a hold changes. Without the latter, daemons that had no
// holds would wait on for many seconds, and a daemon that missed all broadcasts of a new hold
// would not get it from any of them.
func (q *Quarantine) waitNext(d time.Duration) {
	select {
	case <-q.ctx.Done():
	case <-q.holdChanged:
	case <-q.clock.After(d):
	}
}

// compare compares holds with one peer, and returns false if that failed.
func (q *Quarantine) compare() bool {
	others := q.net.Alive()[1:]
	if len(others) == 0 {
		return false
	}
	to := others[rand.N(len(others))]
	ctx, cancel := context.WithTimeout(q.ctx, compareTimeout)
	defer cancel()
	mine := q.table.Sum()
	var theirs uint64
	if err := q.net.Request(ctx, to, kindSum, mine, &theirs, compareResend); err != nil {
		return false // the next comparison chooses another peer
	}
	if theirs != mine {
		q.sendHolds(to)
	}
	return true
}

// handleSum answers with the checksum of this daemon's holds, and sends them to a peer whose
// checksum differs.
func (q *Quarantine) handleSum(from peers.Peer, body json.RawMessage, answer func(any)) {
	var theirs uint64
	if !peers.Decode(q.log, from, body, &theirs) {
		return
	}
	mine := q.table.Sum()
	answer(mine)
	if theirs != mine {
		q.sendHolds(from)
	}
}

// sendHolds sends all holds to a peer.
func (q *Quarantine) sendHolds(to peers.Peer) {
	for part := range slices.Chunk(q.encode(q.table.All()), maxHolds) {
		q.net.Send(to, kindHolds, part)
	}
}
