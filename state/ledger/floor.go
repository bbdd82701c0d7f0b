package ledger

import (
	"slices"

	"primroseward/core"
)

// Floor keeps a model reachable. It pins one ready replica, which nobody may
// evict. Two runners' owners that each see the other's replica could otherwise
// both evict their own; through this one object only one of them can.
type Floor struct {
	Pin      string   `json:"pin"`      // runner whose replica stays
	Evicting []string `json:"evicting"` // runners whose replica may vanish at any time
}

// Evict allows a replica to be evicted. pinned says whether the pinned replica
// was observed ready lately.
func (f Floor) Evict(replica string, pinned bool) (Floor, error) {
	if f.Pin == "" || f.Pin == replica || !pinned {
		return f, core.ErrLastReplica
	}
	if slices.Contains(f.Evicting, replica) {
		return f, nil
	}
	f.Evicting = append(slices.Clone(f.Evicting), replica)
	return f, nil
}

// Repin pins another ready replica. One that is being evicted cannot be
// pinned.
func (f Floor) Repin(replica string) (Floor, error) {
	if slices.Contains(f.Evicting, replica) {
		return f, core.ErrConflict
	}
	f.Pin = replica
	return f, nil
}

// Done forgets a replica whose eviction has settled.
func (f Floor) Done(replica string) Floor {
	f.Evicting = slices.DeleteFunc(slices.Clone(f.Evicting), func(r string) bool { return r == replica })
	return f
}
