// Package planner decides which models are loaded and evicted where. Its
// decisions are pure functions of a State, so the same code runs in the daemon
// and against recorded or made-up demand in virtual time.
package planner

import (
	"sort"
	"time"

	"primroseward/core"
	"primroseward/state/ledger"
)

// Model is one model or adapter as the planner sees it.
type Model struct {
	Name       string
	Version    string // that should be served
	Bytes      int64
	Base       string // of an adapter
	Load       time.Duration
	Places     map[string]bool // where it may be served
	Fast       float64         // requests per second, moving average of seconds
	Slow       float64         // requests per second, moving average of minutes
	Moves      float64         // price of a move
	Attainment float64         // weight of a target met
}

// Runner is one runner as its owner reports it.
type Runner struct {
	ID       string
	Place    string
	Capacity int64
	Entries  []ledger.Entry
	Slots    int
	Cost     time.Duration // mean time that a request holds a slot
	Gone     bool          // leaving, drained or lost: its models do not count
}

// State is all that a decision depends on.
type State struct {
	Now     time.Time
	Models  []Model
	Runners []Runner
	Slots   int  // loads that the weight store takes at once
	Pause   bool // only repairs
}

// Move is one change that the planner asks an owner for.
type Move struct {
	Kind    core.OrderKind
	Runner  string
	Model   string
	Version string
	Reason  string
}

// Reasons of moves.
const (
	ReasonFloor   = "floor"   // the model had no replica
	ReasonSecond  = "second"  // a second place for the model
	ReasonDemand  = "demand"  // more requests than its runners take
	ReasonRoom    = "room"    // makes room for another model
	ReasonVersion = "version" // the settings name another version
	ReasonPlace   = "place"   // the settings no longer allow it there
)

// replica is one model version on one runner, while planning.
type replica struct {
	runner *runner
	entry  ledger.Entry
}

type runner struct {
	*Runner
	free int64
	load float64 // expected share of its slots in use
	busy int     // loads and evictions under way or planned now
}

type model struct {
	*Model
	replicas []replica // any state, wherever they count
	ready    int
	coming   int // loading
}

// view is a State arranged for planning.
type view struct {
	*State
	runners []*runner
	byID    map[string]*runner
	models  map[string]*model
	names   []string // of models, biggest first
	loads   int      // under way or planned now
	moves   []Move
	lacking []string // why a model cannot be placed
}

func newView(s *State) *view {
	v := &view{State: s, byID: map[string]*runner{}, models: map[string]*model{}}
	for i := range s.Models {
		m := &s.Models[i]
		v.models[m.Name] = &model{Model: m}
		v.names = append(v.names, m.Name)
	}
	sort.SliceStable(v.names, func(i, j int) bool {
		a, b := v.models[v.names[i]], v.models[v.names[j]]
		if (a.Base == "") != (b.Base == "") {
			return a.Base == ""
		}
		if a.Bytes != b.Bytes {
			return a.Bytes > b.Bytes
		}
		return a.Name < b.Name
	})
	for i := range s.Runners {
		v.addRunner(&s.Runners[i])
	}
	v.spreadLoad()
	return v
}

func (v *view) addRunner(r *Runner) {
	one := &runner{Runner: r, free: r.Capacity}
	v.runners = append(v.runners, one)
	v.byID[r.ID] = one
	for _, e := range r.Entries {
		one.free -= e.Bytes
		if e.State == ledger.Loading {
			v.loads++
		}
		if e.State != ledger.Ready {
			one.busy++
		}
		m := v.models[e.Model]
		if m == nil || r.Gone || !m.Places[r.Place] {
			continue
		}
		m.replicas = append(m.replicas, replica{one, e})
		switch e.State {
		case ledger.Ready:
			m.ready++
		case ledger.Loading:
			m.coming++
		}
	}
}

// spreadLoad estimates each runner's load: a model's demand falls on its ready
// replicas in proportion to the room that their runners have left.
func (v *view) spreadLoad() {
	for range spreadRounds {
		next := map[*runner]float64{}
		for _, name := range v.names {
			m := v.models[name]
			for r, share := range m.shares() {
				next[r] += share * m.demand() * r.Cost.Seconds() / float64(max(1, r.Slots))
			}
		}
		for _, r := range v.runners {
			r.load = (r.load + next[r]) / 2
		}
	}
}

const spreadRounds = 4

func (m *model) demand() float64 { return max(m.Fast, m.Slow) }

// shares divides a model's demand among its ready replicas.
func (m *model) shares() map[*runner]float64 {
	out := map[*runner]float64{}
	var sum float64
	for _, rep := range m.replicas {
		if rep.entry.State == ledger.Ready {
			w := max(0.05, 1-rep.runner.load)
			out[rep.runner] = w
			sum += w
		}
	}
	for r := range out {
		out[r] /= sum
	}
	return out
}

// pressure is the load of the least loaded runner that serves the model.
func (m *model) pressure() float64 {
	best := -1.0
	for _, rep := range m.replicas {
		if rep.entry.State == ledger.Ready && (best < 0 || rep.runner.load < best) {
			best = rep.runner.load
		}
	}
	return max(0, best)
}

func (m *model) on(r *runner) bool {
	for _, rep := range m.replicas {
		if rep.runner == r {
			return true
		}
	}
	return false
}

// readyOn says whether the model is ready on a runner in any version.
func (m *model) readyOn(r *runner) bool {
	for _, rep := range m.replicas {
		if rep.runner == r && rep.entry.State == ledger.Ready {
			return true
		}
	}
	return false
}

// home is the place of the first ready replica.
func (m *model) home() string {
	for _, rep := range m.replicas {
		if rep.entry.State == ledger.Ready {
			return rep.runner.Place
		}
	}
	return ""
}
