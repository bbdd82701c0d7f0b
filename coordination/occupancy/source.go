package occupancy

import (
	"encoding/binary"
	"slices"
	"time"

	"primroseward/core"
)

const (
	// clockDrift is by how much the least delay of a sender is raised in time, so that it follows clocks
	// that run at different rates: a thousandth, which is more than the drift of any machine.
	clockDrift = 1000
	// lateTime is how long all messages of a sender have to be late until their delay counts as the usual
	// one: a machine that was suspended goes on with a clock that has stood still.
	lateTime = 3 * time.Second
	// maxAdvance is by how much a sender's clock may be ahead of what its last messages let expect. A larger
	// difference is a false time, or this process's clock has stood still if all messages have it for lateTime.
	maxAdvance = 3 * time.Second
)

// source is what a daemon or hub has sent.
type source struct {
	sum
	receivedAt time.Time // without the time that the message had to wait
	arrivedAt  time.Time
	listID     uint32 // of a list
	standby    bool
	boot       uint32
	sent       time.Duration // of the last message
	pending    pending
	// least is the least difference between this daemon's clock at a message's arrival and the sender's
	// clock when it was sent. What a message exceeds it by is the time that it has waited on its way.
	least      time.Duration
	leastAt    time.Time
	lateSince  time.Time // first of the messages that were all late; zero: the last one was not
	lateLeast  time.Duration
	aheadSince time.Time // first of the messages that were all ahead of the sender's clock; zero: the last one was not
}

// pending is a message of which some parts are still missing.
type pending struct {
	sent    time.Duration
	parts   []bool
	left    int
	entries [][]entry
}

// fresh reports whether the counts are still used.
func (s *source) fresh(now time.Time) bool {
	return !s.receivedAt.IsZero() && now.Sub(s.receivedAt) < SourceTTL
}

// receive processes a datagram and returns whether it completes a message. clock is this daemon's time
// since its start, list the sender's last list or nil.
func (s *source) receive(now time.Time, clock time.Duration, m message, list *source) (complete bool, err error) {
	if s.boot != m.boot || s.leastAt.IsZero() {
		*s = source{boot: m.boot, least: clock - m.sent, leastAt: now, sent: -1}
	}
	if s.isAhead(now, clock-m.sent) {
		return false, ErrImplausible
	}
	waited, ok := s.measureWait(now, clock-m.sent)
	switch {
	case m.sent <= s.sent:
		return false, ErrOutdated
	case !ok:
		return false, ErrLate
	}
	sentAt := now.Add(-waited)
	entries, err := m.decodeBody(sentAt, list)
	if err != nil {
		return false, err
	}
	if !s.pending.add(m, entries) {
		return false, nil
	}
	merged, ok := s.pending.merged()
	if !ok {
		s.pending = pending{sent: m.sent}
		return false, ErrImplausible
	}
	s.sent, s.standby, s.receivedAt, s.arrivedAt = m.sent, m.standby, sentAt, now
	s.sum = sum{merged, sentAt.Add(-m.age), m.daemons}
	if m.kind == kindList {
		s.listID = listID(s.runners())
	}
	return true, nil
}

// decodeBody decodes what follows the header.
func (m *message) decodeBody(sentAt time.Time, list *source) ([]entry, error) {
	if m.kind != kindSum && m.kind != kindTotals {
		return decodeEntries(m.kind, m.body, sentAt)
	}
	if len(m.body) < listIDSize {
		return nil, ErrMalformed
	}
	if list == nil || list.listID != binary.LittleEndian.Uint32(m.body) {
		return nil, ErrUnlisted
	}
	return decodeCounts(list.entries, m.body[listIDSize:], sentAt)
}

// runners returns the runners of a list.
func (s *source) runners() []core.Code {
	out := make([]core.Code, len(s.entries))
	for i, e := range s.entries {
		out[i] = e.runner
	}
	return out
}

// isAhead reports whether a message states a time too far ahead of its sender's clock. delay is the difference
// of the two clocks.
func (s *source) isAhead(now time.Time, delay time.Duration) bool {
	if s.least-delay <= maxAdvance {
		s.aheadSince = time.Time{}
		return false
	}
	if s.aheadSince.IsZero() {
		s.aheadSince = now
	}
	return now.Sub(s.aheadSince) < lateTime
}

// measureWait returns how long a message has waited on its way, and false if that is too long for it to
// be used. delay is the difference of the two clocks.
func (s *source) measureWait(now time.Time, delay time.Duration) (time.Duration, bool) {
	s.least += now.Sub(s.leastAt) / clockDrift
	s.leastAt = now
	s.least = min(s.least, delay)
	if delay-s.least < SourceTTL {
		s.lateSince = time.Time{}
		return delay - s.least, true
	}
	if s.lateSince.IsZero() {
		s.lateSince, s.lateLeast = now, delay
	}
	s.lateLeast = min(s.lateLeast, delay)
	if now.Sub(s.lateSince) < lateTime {
		return 0, false
	}
	s.least, s.lateSince = s.lateLeast, time.Time{}
	s.sent, s.pending = -1, pending{} // the sender's times may have been false before
	return delay - s.least, delay-s.least < SourceTTL
}

// add stores a part and returns whether all have arrived. Parts of an older message are dropped.
func (p *pending) add(m message, entries []entry) bool {
	if m.sent < p.sent {
		return false
	}
	if m.sent != p.sent || len(p.parts) != m.parts {
		*p = pending{m.sent, make([]bool, m.parts), m.parts, make([][]entry, m.parts)}
	}
	if !p.parts[m.part] {
		p.parts[m.part], p.entries[m.part] = true, entries
		p.left--
	}
	return p.left == 0
}

// merged returns the entries of all parts, and false if they are not sorted by runner or state one twice.
func (p *pending) merged() ([]entry, bool) {
	out := slices.Concat(p.entries...)
	for i := 1; i < len(out); i++ {
		if out[i].runner <= out[i-1].runner {
			return nil, false
		}
	}
	return out, true
}
