package ledger

import (
	"slices"
	"time"
)

// Slot is one load that the weight store may be serving.
type Slot struct {
	ID    string    `json:"id"`
	Until time.Time `json:"until"` // when it counts as over if nobody says so
}

// Slots is the shared budget of the weight store.
type Slots struct {
	Last  time.Time `json:"last"` // start of the newest load
	Slots []Slot    `json:"slots"`
}

// Take asks for a load. When there is none free it returns how long to wait.
func (s Slots) Take(id string, now time.Time, life time.Duration, perSecond float64, limit int) (Slots, time.Duration) {
	s.Slots = slices.DeleteFunc(slices.Clone(s.Slots), func(one Slot) bool { return !now.Before(one.Until) })
	if slices.ContainsFunc(s.Slots, func(one Slot) bool { return one.ID == id }) {
		return s, 0
	}
	gap := time.Duration(float64(time.Second) / perSecond)
	if wait := s.Last.Add(gap).Sub(now); wait > 0 {
		return s, min(wait, gap)
	}
	if len(s.Slots) >= limit {
		return s, gap
	}
	s.Slots = append(s.Slots, Slot{ID: id, Until: now.Add(life)})
	s.Last = now
	return s, 0
}

// Release gives a load's slot back.
func (s Slots) Release(id string) (Slots, bool) {
	kept := slices.DeleteFunc(slices.Clone(s.Slots), func(one Slot) bool { return one.ID == id })
	changed := len(kept) < len(s.Slots)
	s.Slots = kept
	return s, changed
}
