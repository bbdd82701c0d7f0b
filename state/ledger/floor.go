package ledger

import (
	"slices"

	"primroseward/core"
)

// Floor keeps at least one replica of a model loaded. It pins one ready replica, which
// must not be evicted. Without it, the owners of two runners that each see the other's
// replica could both evict their own; since both must update this one object, only one
// of them can.
type Floor struct {
	Pin      string   `json:"pin"`      // runner of the pinned replica
	Evicting []string `json:"evicting"` // runners whose replica may be evicted at any time
}

// Evict returns the floor with a replica marked for eviction. It fails with
// core.ErrLastReplica unless another replica is pinned and ready. pinnedReady says whether
// the pinned replica was recently observed to be ready.
func (f Floor) Evict(replica string, pinnedReady bool) (Floor, error) {
	if f.Pin == "" || f.Pin == replica || !pinnedReady {
		return f, core.ErrLastReplica
	}
	if slices.Contains(f.Evicting, replica) {
		return f, nil
	}
	f.Evicting = append(slices.Clone(f.Evicting), replica)
	return f, nil
}

// Repin pins another ready replica. A replica that is being evicted cannot be pinned:
// this returns core.ErrConflict.
func (f Floor) Repin(replica string) (Floor, error) {
	if slices.Contains(f.Evicting, replica) {
		return f, core.ErrConflict
	}
	f.Pin = replica
	return f, nil
}

// Done removes a replica from the list of evictions once its eviction has settled.
func (f Floor) Done(replica string) Floor {
	f.Evicting = slices.DeleteFunc(slices.Clone(f.Evicting), func(r string) bool { return r == replica })
	return f
}
