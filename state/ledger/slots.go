package ledger

import (
	"slices"
	"time"
)

// Slot is one load that may be reading from the weight store.
type Slot struct {
	ID    string    `json:"id"`
	Until time.Time `json:"until"` // when the slot expires if it is not released
}

// Slots is the record of loads by which all daemons together keep the weight store's
// limits.
type Slots struct {
	Last  time.Time `json:"last"` // start of the latest load
	Slots []Slot    `json:"slots"`
}

// Take takes a slot for the load id until now+ttl. perSecond is the weight store's limit
// of load starts per second, and limit that of concurrent loads. If no slot is free, Take
// returns how long to wait before the next try. Taking a slot again for the same id
// changes nothing.
func (s Slots) Take(id string, now time.Time, ttl time.Duration, perSecond float64, limit int) (Slots, time.Duration) {
	s.Slots = slices.DeleteFunc(slices.Clone(s.Slots), func(slot Slot) bool { return !now.Before(slot.Until) })
	if slices.ContainsFunc(s.Slots, func(slot Slot) bool { return slot.ID == id }) {
		return s, 0
	}
	gap := time.Duration(float64(time.Second) / perSecond)
	if wait := s.Last.Add(gap).Sub(now); wait > 0 {
		return s, min(wait, gap)
	}
	if len(s.Slots) >= limit {
		return s, gap
	}
	s.Slots = append(s.Slots, Slot{ID: id, Until: now.Add(ttl)})
	s.Last = now
	return s, 0
}

// Release releases the slot of a load and reports whether the load had one.
func (s Slots) Release(id string) (Slots, bool) {
	kept := slices.DeleteFunc(slices.Clone(s.Slots), func(slot Slot) bool { return slot.ID == id })
	changed := len(kept) < len(s.Slots)
	s.Slots = kept
	return s, changed
}
