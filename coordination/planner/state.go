// Package planner decides which models are loaded and evicted on which runners. Its decisions
// are pure functions of a State, so the same code runs in the daemon and against recorded or
// synthetic demand in virtual time.
package planner

import (
	"sort"
	"time"

	"primroseward/core"
	"primroseward/state/ledger"
)

// Model is the planner's view of a model or an adapter.
type Model struct {
	Name               string
	Version            string // version that the settings name
	Bytes              int64
	Base               string // for an adapter: its base model
	Load               time.Duration
	AllowedDataCentres map[string]bool // data centres where it may be served
	FastRate           float64         // requests per second, moving average over seconds
	SlowRate           float64         // requests per second, moving average over minutes
	MovePrice          float64         // price of a move, in requests that meet their target latency
	AttainmentWeight   float64         // weight of a request that meets its target latency
}

// Runner is the planner's view of a runner, as reported by its owner.
type Runner struct {
	ID           string
	DataCentre   string
	Capacity     int64
	Entries      []ledger.Entry
	Slots        int
	MeanSlotTime time.Duration // mean time that a request occupies a slot
	Unavailable  bool          // leaving, drained or lost: its replicas do not count
}

// State is the complete input of a plan.
type State struct {
	Now       time.Time
	Models    []Model
	Runners   []Runner
	LoadSlots int  // loads that the weight store serves at the same time
	Pause     bool // the settings allow only repairs
}

// Move is one load or eviction that the planner requests from a runner's owner.
type Move struct {
	Kind    core.OrderKind
	Runner  string
	Model   string
	Version string
	Reason  string
}

// Reasons of moves.
const (
	ReasonFloor         = "floor"   // the model had no replica
	ReasonSecondReplica = "second"  // a second replica, in another data centre
	ReasonDemand        = "demand"  // more requests than the model's runners can serve
	ReasonMemory        = "room"    // frees memory for another model
	ReasonVersion       = "version" // the settings name another version
	ReasonNotAllowed    = "place"   // the settings no longer allow it in this data centre
)

// replica is one version of a model on one runner, during planning.
type replica struct {
	runner *runner
	entry  ledger.Entry
}

type runner struct {
	*Runner
	freeBytes int64
	load      float64 // expected share of its slots in use
	changing  int     // loads and evictions in progress or planned now
}

type model struct {
	*Model
	replicas []replica // in any state, on runners and in data centres that count
	ready    int       // ready replicas
	loading  int       // replicas being loaded
}

// view is a State indexed for planning.
type view struct {
	*State
	runners     []*runner
	byID        map[string]*runner
	models      map[string]*model
	names       []string // of the models: base models before adapters, then largest first
	loads       int      // loads in progress or planned now
	moves       []Move
	unplaceable []string // models that cannot be placed, with the reason
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
	v.estimateLoad()
	return v
}

func (v *view) addRunner(r *Runner) {
	planned := &runner{Runner: r, freeBytes: r.Capacity}
	v.runners = append(v.runners, planned)
	v.byID[r.ID] = planned
	for _, e := range r.Entries {
		planned.freeBytes -= e.Bytes
		if e.State == ledger.Loading {
			v.loads++
		}
		if e.State != ledger.Ready {
			planned.changing++
		}
		m := v.models[e.Model]
		if m == nil || r.Unavailable || !m.AllowedDataCentres[r.DataCentre] {
			continue
		}
		m.replicas = append(m.replicas, replica{planned, e})
		switch e.State {
		case ledger.Ready:
			m.ready++
		case ledger.Loading:
			m.loading++
		}
	}
}

// estimateLoad estimates each runner's load. A model's demand is distributed over its ready
// replicas in proportion to the free capacity of their runners.
func (v *view) estimateLoad() {
	for range estimateRounds {
		next := map[*runner]float64{}
		for _, name := range v.names {
			m := v.models[name]
			for r, share := range m.shares() {
				next[r] += share * m.demand() * r.MeanSlotTime.Seconds() / float64(max(1, r.Slots))
			}
		}
		for _, r := range v.runners {
			r.load = (r.load + next[r]) / 2
		}
	}
}

const estimateRounds = 4

func (m *model) demand() float64 { return max(m.FastRate, m.SlowRate) }

// shares returns the share of a model's demand for each runner with a ready replica.
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

// lowestLoad returns the load of the least loaded runner that serves the model.
func (m *model) lowestLoad() float64 {
	best := -1.0
	for _, rep := range m.replicas {
		if rep.entry.State == ledger.Ready && (best < 0 || rep.runner.load < best) {
			best = rep.runner.load
		}
	}
	return max(0, best)
}

func (m *model) placedOn(r *runner) bool {
	for _, rep := range m.replicas {
		if rep.runner == r {
			return true
		}
	}
	return false
}

// readyOn reports whether the model is ready on a runner in any version.
func (m *model) readyOn(r *runner) bool {
	for _, rep := range m.replicas {
		if rep.runner == r && rep.entry.State == ledger.Ready {
			return true
		}
	}
	return false
}

// firstDataCentre returns the data centre of the model's first ready replica.
func (m *model) firstDataCentre() string {
	for _, rep := range m.replicas {
		if rep.entry.State == ledger.Ready {
			return rep.runner.DataCentre
		}
	}
	return ""
}
