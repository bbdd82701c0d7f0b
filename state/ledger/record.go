// Package ledger is the arithmetic of what may be loaded where: the memory
// plan of one runner, the floor of one model and the load slots of the weight
// store. Its types are the bodies of platform objects. Its functions are pure:
// each takes a body and returns the next one, and whoever writes that by a
// conditional update has decided.
package ledger

import (
	"slices"
	"time"

	"primroseward/core"
)

// SendWindow is how long after a record's write the orders that it authorises
// may be sent. Sending later needs another write.
const SendWindow = 5 * time.Second

// State is where an entry stands.
type State string

// States of an entry. All of them hold their memory.
const (
	Loading    State = "loading"
	Ready      State = "ready"
	Evicting   State = "evicting"
	Quarantine State = "quarantine" // gone as far as seen, but a late order may bring it back
)

// Entry is one model version that a runner holds or may come to hold.
type Entry struct {
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Bytes   int64     `json:"bytes"`
	State   State     `json:"state"`
	After   uint64    `json:"after"` // record version before the write that set State
	Sent    time.Time `json:"sent"`  // latest write that authorised an order for it
	Since   time.Time `json:"since"`
	Reason  string    `json:"reason,omitempty"`
}

// Record is the memory plan of one runner.
type Record struct {
	Owner   string  `json:"owner"`
	Entries []Entry `json:"entries"`
}

// Rules is what an endpoint allows its ledger to conclude.
type Rules struct {
	Fenced   bool          // it refuses orders with an old fencing number
	Lifetime time.Duration // longest time an order to it can be under way
}

// Committed is the memory that the runner holds or may come to hold.
func (r Record) Committed() int64 {
	var sum int64
	for _, e := range r.Entries {
		sum += e.Bytes
	}
	return sum
}

// Find returns the index of a model version's entry, or -1.
func (r Record) Find(model, version string) int {
	return slices.IndexFunc(r.Entries, func(e Entry) bool {
		return e.Model == model && e.Version == version
	})
}

// HasReady says whether any version of a model is ready.
func (r Record) HasReady(model string) bool {
	return slices.ContainsFunc(r.Entries, func(e Entry) bool {
		return e.Model == model && e.State == Ready
	})
}

func (r Record) clone() Record {
	r.Entries = slices.Clone(r.Entries)
	return r
}

// TakeOver makes owner the one whose orders count. Orders under way keep their
// entries; sending them again needs Authorise.
func (r Record) TakeOver(owner string) Record {
	r = r.clone()
	r.Owner = owner
	return r
}

// Load reserves memory for a model version. version is the record's version
// before the write. It fails with ErrExists when the runner holds or may hold
// it, and with ErrOverCommit when there is not enough memory for all that the
// runner holds or may come to hold.
func (r Record) Load(e Entry, capacity int64, version uint64, now time.Time) (Record, error) {
	if r.Find(e.Model, e.Version) >= 0 {
		return r, core.ErrExists
	}
	if e.Bytes <= 0 || r.Committed()+e.Bytes > capacity {
		return r, core.ErrOverCommit
	}
	r = r.clone()
	e.State = Loading
	e.After = version
	e.Sent = now
	e.Since = now
	r.Entries = append(r.Entries, e)
	return r, nil
}

// Evict marks a model version for removal. Its memory stays reserved.
func (r Record) Evict(model, version, reason string, recordVersion uint64, now time.Time) (Record, error) {
	i := r.Find(model, version)
	if i < 0 {
		return r, core.ErrNotFound
	}
	if s := r.Entries[i].State; s != Ready && s != Loading {
		return r, core.ErrExists
	}
	r = r.clone()
	e := &r.Entries[i]
	e.State = Evicting
	e.After = recordVersion
	e.Sent = now
	e.Since = now
	e.Reason = reason
	return r, nil
}

// Pending says whether an entry still needs its order to be sent, given what
// the endpoint reports.
func (e Entry) Pending(o core.Observation, rules Rules) bool {
	resident := slices.ContainsFunc(o.Residents, func(res core.Resident) bool {
		return res.Model == e.Model && res.Version == e.Version
	})
	switch e.State {
	case Loading:
		return !resident
	case Evicting:
		return resident || rules.Fenced && o.Fence <= e.After
	default:
		return false
	}
}

// Authorise allows the orders of pending entries whose time to send is over to
// be sent again. It returns the next record and whether it differs.
func (r Record) Authorise(o core.Observation, rules Rules, now time.Time) (Record, bool) {
	next := r.clone()
	changed := false
	for i := range next.Entries {
		e := &next.Entries[i]
		if e.Pending(o, rules) && now.Sub(e.Sent) >= SendWindow {
			e.Sent = now
			changed = true
		}
	}
	return next, changed
}

// Order returns the order that an entry needs under a record version.
func (e Entry) Order(version uint64) core.Order {
	kind := core.OrderLoad
	if e.State == Evicting {
		kind = core.OrderEvict
	}
	return core.Order{Kind: kind, Model: e.Model, Version: e.Version, Bytes: e.Bytes, Fence: version}
}

// MaySend says whether the entry's order may still be sent.
func (e Entry) MaySend(now time.Time) bool { return now.Sub(e.Sent) < SendWindow }

// Settle compares the record with what the endpoint reports to hold. The
// observation must have been asked for after the record was read. It returns
// the next record and whether it differs.
func (r Record) Settle(o core.Observation, rules Rules, version uint64, now time.Time) (Record, bool) {
	next := r.clone()
	next.Entries = next.Entries[:0]
	changed := false
	for _, e := range r.Entries {
		was := e
		kept := e.settle(o, rules, version, now)
		changed = changed || !kept || e != was
		if kept {
			next.Entries = append(next.Entries, e)
		}
	}
	for _, res := range o.Residents {
		if r.Find(res.Model, res.Version) >= 0 {
			continue
		}
		next.Entries = append(next.Entries, adopt(res, version, now))
		changed = true
	}
	return next, changed
}

// adopt takes a model that the endpoint holds of itself into the plan, since
// its memory is in use whoever ordered it.
func adopt(res core.Resident, version uint64, now time.Time) Entry {
	e := Entry{Model: res.Model, Version: res.Version, Bytes: res.Bytes, State: Loading, After: version, Since: now, Reason: "found on the endpoint"}
	if res.Ready {
		e.State = Ready
	}
	return e
}

// settle moves one entry on; false drops it and frees its memory.
func (e *Entry) settle(o core.Observation, rules Rules, version uint64, now time.Time) bool {
	i := slices.IndexFunc(o.Residents, func(res core.Resident) bool {
		return res.Model == e.Model && res.Version == e.Version
	})
	resident := i >= 0
	if resident {
		e.Bytes = max(e.Bytes, o.Residents[i].Bytes)
	}
	switch e.State {
	case Loading:
		if resident && o.Residents[i].Ready {
			e.to(Ready, version, now)
		}
	case Ready:
		// The endpoint restarted or a late eviction took it: load it again.
		if !resident || !o.Residents[i].Ready {
			e.to(Loading, version, now)
		}
	case Evicting:
		if !resident {
			return e.settleGone(o, rules, version, now)
		}
	case Quarantine:
		if resident {
			e.to(Evicting, version, now)
			return true
		}
		return !e.expired(rules, now)
	}
	return true
}

// settleGone decides whether memory that is seen to be free may be given away.
// A load order that was lost from sight may still arrive and fill it again. An
// endpoint that checks fencing numbers and has seen one newer than e.After
// refuses every load of this entry, since all of those carry older numbers.
// For any other endpoint only time excludes a late order.
func (e *Entry) settleGone(o core.Observation, rules Rules, version uint64, now time.Time) bool {
	if rules.Fenced {
		return o.Fence <= e.After
	}
	e.to(Quarantine, version, now)
	return !e.expired(rules, now)
}

func (e *Entry) expired(rules Rules, now time.Time) bool {
	return now.Sub(e.Sent) > SendWindow+rules.Lifetime
}

func (e *Entry) to(s State, version uint64, now time.Time) {
	e.State = s
	e.After = version
	e.Since = now
}
