// Package ledger computes what may be loaded where: the memory plan of one runner, the
// floor of one model and the load slots of the weight store. Its types are the bodies of
// platform objects. Its functions are pure: each takes a body and returns the next one. A
// decision takes effect when a daemon writes that body by a conditional update.
package ledger

import (
	"slices"
	"time"

	"primroseward/core"
)

// SendWindow is how long after the write of a record the orders that it authorises may
// be sent. Later sends need another write.
const SendWindow = 5 * time.Second

// State is the state of an entry.
type State string

// States of an entry. In each of them its memory stays reserved. Quarantine is unrelated to
// the quarantine of requests.
const (
	Loading    State = "loading"
	Ready      State = "ready"
	Evicting   State = "evicting"
	Quarantine State = "quarantine" // no longer reported, but a late order may load it again
)

// Entry is one model version that a runner holds or may yet load through an order under
// way.
type Entry struct {
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Bytes   int64     `json:"bytes"`
	State   State     `json:"state"`
	After   uint64    `json:"after"` // version of the record before the write that set State
	Sent    time.Time `json:"sent"`  // time of the latest write that authorised an order for it
	Since   time.Time `json:"since"` // when State was set
	Reason  string    `json:"reason,omitempty"`
}

// Record is the memory plan of one runner.
type Record struct {
	Owner   string  `json:"owner"`
	Entries []Entry `json:"entries"`
}

// Rules are the properties of an endpoint by which Settle decides when memory is free.
type Rules struct {
	Fenced   bool          // the endpoint refuses orders with an old fencing number
	Lifetime time.Duration // longest time that an order to it can be under way
}

// Committed returns the sum of the bytes of all entries: the memory that is in use or may
// come to be used through orders under way.
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

// HasReady reports whether any version of a model is ready.
func (r Record) HasReady(model string) bool {
	return slices.ContainsFunc(r.Entries, func(e Entry) bool {
		return e.Model == model && e.State == Ready
	})
}

func (r Record) clone() Record {
	r.Entries = slices.Clone(r.Entries)
	return r
}

// TakeOver returns the record with a new owner. The entries of orders under way stay; the
// new owner needs Authorise to send these orders again.
func (r Record) TakeOver(owner string) Record {
	r = r.clone()
	r.Owner = owner
	return r
}

// Load reserves memory for a model version. version is the record's version
// before the write. It fails with core.ErrExists if the model version has an entry
// already, and with core.ErrOverCommit if the entries with the new one need more than
// capacity.
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

// Evict marks a model version for eviction. Its memory stays reserved. recordVersion is
// the record's version before the write.
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

// Pending reports whether the order of an entry still has to be sent, given what the
// endpoint reports.
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

// Authorise allows the orders of pending entries whose SendWindow has passed to be sent
// again. It returns the next record and whether it differs.
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

// Order returns the load or unload order of an entry, with the record version as its
// fencing number.
func (e Entry) Order(version uint64) core.Order {
	kind := core.OrderLoad
	if e.State == Evicting {
		kind = core.OrderEvict
	}
	return core.Order{Kind: kind, Model: e.Model, Version: e.Version, Bytes: e.Bytes, Fence: version}
}

// MaySend reports whether the entry's order may still be sent: SendWindow has not passed.
func (e Entry) MaySend(now time.Time) bool { return now.Sub(e.Sent) < SendWindow }

// Settle updates the record by what the endpoint reports to hold. The observation must
// have been requested after the record was read. Settle returns the next record and
// whether it differs.
func (r Record) Settle(o core.Observation, rules Rules, version uint64, now time.Time) (Record, bool) {
	next := r.clone()
	next.Entries = next.Entries[:0]
	changed := false
	for _, e := range r.Entries {
		before := e
		kept := e.settle(o, rules, version, now)
		changed = changed || !kept || e != before
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

// adopt returns an entry for a model that the endpoint holds without an order of this
// plan, since its memory is in use in any case.
func adopt(res core.Resident, version uint64, now time.Time) Entry {
	e := Entry{Model: res.Model, Version: res.Version, Bytes: res.Bytes, State: Loading, After: version, Since: now, Reason: "found on the endpoint"}
	if res.Ready {
		e.State = Ready
	}
	return e
}

// settle advances the state of one entry. It returns false if the entry must be dropped,
// which frees its memory.
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
			e.setState(Ready, version, now)
		}
	case Ready:
		// The endpoint restarted or a late eviction removed the model: load it again.
		if !resident || !o.Residents[i].Ready {
			e.setState(Loading, version, now)
		}
	case Evicting:
		if !resident {
			return e.settleGone(o, rules, version, now)
		}
	case Quarantine:
		if resident {
			e.setState(Evicting, version, now)
			return true
		}
		return !e.expired(rules, now)
	}
	return true
}

// settleGone handles an evicting entry whose model the endpoint no longer reports. It
// returns false if the memory may be reused. A load order sent earlier may still arrive
// and load the model again. An endpoint that checks fencing numbers and has seen one newer
// than e.After refuses every load order of this entry, since all of them carry older
// numbers. For any other endpoint, only the passing of time excludes a late order.
func (e *Entry) settleGone(o core.Observation, rules Rules, version uint64, now time.Time) bool {
	if rules.Fenced {
		return o.Fence <= e.After
	}
	e.setState(Quarantine, version, now)
	return !e.expired(rules, now)
}

// expired reports whether no order of the entry can be under way any more: the time to send
// one and the longest time under way have passed since Sent.
func (e *Entry) expired(rules Rules, now time.Time) bool {
	return now.Sub(e.Sent) > SendWindow+rules.Lifetime
}

// setState changes the state of the entry. version is that of the record before the write.
func (e *Entry) setState(s State, version uint64, now time.Time) {
	e.State = s
	e.After = version
	e.Since = now
}
