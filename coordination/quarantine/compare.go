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
	// compareEvery is how often a daemon that holds requests back compares its decisions
	// with another daemon's; idleEvery is how often one does that knows of none, once it
	// has compared for the first time. startEvery is for one that has just started, for at
	// most startFor: there may be no other.
	compareEvery = time.Second
	idleEvery    = 10 * time.Second
	startEvery   = 100 * time.Millisecond
	startFor     = 5 * time.Second
	// compareLimit is how long the other one is waited for.
	compareLimit  = 300 * time.Millisecond
	compareResend = 100 * time.Millisecond
	// holdsMost is how many decisions a message tells, which keeps it below a packet of
	// 1,500 bytes.
	holdsMost = 4
)

// spreadTells are the times after which a decision is told to all: a datagram may be lost,
// and what it tells must be known within a second or two.
var spreadTells = []time.Duration{0, 60 * time.Millisecond, 300 * time.Millisecond}

// spread tells a decision to all daemons.
func (q *Quarantine) spread(r hold.Record) {
	q.tellAll(kindHolds, q.encode([]hold.Record{r}), spreadTells)
}

// tellAll tells all daemons the same at several times from now on.
func (q *Quarantine) tellAll(kind string, message any, times []time.Duration) {
	for _, after := range times {
		q.clock.AfterFunc(after, func() {
			if q.ctx.Err() == nil {
				q.net.TellAll(kind, message)
			}
		})
	}
}

// encode writes decisions as of now.
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
	if !q.read(from, body, &list) {
		return
	}
	for _, data := range list {
		r, err := hold.Told(data, q.clock.Now())
		if err != nil {
			q.log.Warn(logs.MessageUnreadable, logs.Err(err))
			continue
		}
		q.take(*r, from.Name)
	}
}

// runCompare compares decisions with other daemons, one at a time, drawn at random. What
// a daemon has missed while it was cut off, or before it started, it learns by that.
func (q *Quarantine) runCompare() {
	defer q.wg.Done()
	every, began := startEvery, q.clock.Now()
	for q.ctx.Err() == nil {
		if q.compare() || q.clock.Since(began) > startFor {
			every = idleEvery
		}
		q.table.Expire(q.clock.Now())
		wait := every
		if every == idleEvery && q.table.Len() > 0 {
			wait = compareEvery
		}
		q.rest(wait/2 + rand.N(wait))
	}
}

// rest waits for a time, or until a decision has come. Who held nothing back would sleep
// on for many seconds, and a daemon that has missed each message of it would not learn of
// it from anybody.
func (q *Quarantine) rest(d time.Duration) {
	select {
	case <-q.ctx.Done():
	case <-q.decided:
	case <-q.clock.After(d):
	}
}

// compare compares with one daemon, and says whether that was possible.
func (q *Quarantine) compare() bool {
	others := q.net.Alive()[1:]
	if len(others) == 0 {
		return false
	}
	to := others[rand.N(len(others))]
	ctx, cancel := context.WithTimeout(q.ctx, compareLimit)
	defer cancel()
	mine := q.table.Sum()
	var theirs uint64
	if err := q.net.Ask(ctx, to, kindSum, mine, &theirs, compareResend); err != nil {
		return false // another one is asked next time
	}
	if theirs != mine {
		q.tellHolds(to)
	}
	return true
}

// handleSum answers with the sum of this daemon's decisions, and tells them to a daemon
// that has others.
func (q *Quarantine) handleSum(from peers.Peer, body json.RawMessage, answer func(any)) {
	var theirs uint64
	if !q.read(from, body, &theirs) {
		return
	}
	mine := q.table.Sum()
	answer(mine)
	if theirs != mine {
		q.tellHolds(from)
	}
}

// tellHolds tells another daemon all decisions.
func (q *Quarantine) tellHolds(to peers.Peer) {
	for part := range slices.Chunk(q.encode(q.table.All()), holdsMost) {
		q.net.Tell(to, kindHolds, part)
	}
}
