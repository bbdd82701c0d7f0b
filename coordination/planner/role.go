package planner

import (
	"context"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"primroseward/coordination/owner"
	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/ledger"
	"primroseward/state/tree"
	"primroseward/transport/peer"
)

const (
	planInterval = time.Second
	viewTimeout  = time.Second
	moveTimeout  = 5 * time.Second
	// ownerGrace is how long a runner that no daemon reports is not treated as lost. Its
	// owner may have exited a moment ago while the runner and all its models are fine.
	ownerGrace = 10 * time.Second
)

// Role runs the planner in the daemon that the members rank first for it. If two daemons both
// consider themselves the first, they request moves twice, and the runners' records let each
// move through once.
type Role struct {
	policy   Policy
	settings *tree.Replica
	members  core.Members
	dial     peer.Dial
	clock    core.Clock
	log      *zap.Logger

	lastReported map[string]time.Time // runner to its latest report
	wg           sync.WaitGroup
	stop         context.CancelFunc

	mu          sync.Mutex // guards the fields below
	active      bool
	unplaceable []string
}

// NewRole returns a Role.
func NewRole(policy Policy, settings *tree.Replica, members core.Members, dial peer.Dial, clock core.Clock, log *zap.Logger) *Role {
	return &Role{policy: policy, settings: settings, members: members, dial: dial, clock: clock, log: log, lastReported: map[string]time.Time{}}
}

// Start starts a loop that plans whenever this daemon ranks first.
func (r *Role) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.wg.Add(1)
	go r.loop(ctx)
}

// Stop stops the loop and waits for it.
func (r *Role) Stop() {
	r.stop()
	r.wg.Wait()
}

// Active reports whether this daemon is currently the planner.
func (r *Role) Active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// Unplaceable returns the models that this daemon could not place, with the reasons.
func (r *Role) Unplaceable() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unplaceable
}

func (r *Role) loop(ctx context.Context) {
	defer r.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(planInterval):
		}
		first := r.members.Rank("planner", "", 1)
		isPlanner := len(first) == 1 && first[0].Name == r.members.Self().Name
		r.mu.Lock()
		if isPlanner && !r.active {
			r.lastReported = map[string]time.Time{}
		}
		if !isPlanner {
			r.unplaceable = nil
		}
		r.active = isPlanner
		r.mu.Unlock()
		if isPlanner && r.settings.Tree() != nil {
			r.plan(ctx)
		}
	}
}

func (r *Role) plan(ctx context.Context) {
	views := r.collectViews(ctx)
	s, complete := r.buildState(views)
	if !complete {
		return
	}
	moves, unplaceable := r.policy.Plan(s)
	r.mu.Lock()
	r.unplaceable = unplaceable
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range moves {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.requestMove(ctx, m)
		}()
	}
	wg.Wait()
}

// collectViews requests the state of their runners from all daemons.
func (r *Role) collectViews(ctx context.Context) []*peerv1.Views {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []*peerv1.Views
	for _, m := range r.members.All() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, viewTimeout)
			defer cancel()
			resp, err := r.dial(m.Peer).View(ctx, connect.NewRequest(&peerv1.Empty{}))
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, resp.Msg)
		}()
	}
	wg.Wait()
	return out
}

// buildState merges the views. complete is false while the state of a runner in the settings
// is unknown, for example while it changes from one owner to another.
func (r *Role) buildState(views []*peerv1.Views) (s *State, complete bool) {
	t := r.settings.Tree()
	now := r.clock.Now()
	s = &State{Now: now, LoadSlots: t.Store().Slots, Pause: t.Store().Pause}
	rates := map[string]*peerv1.Demand{}
	found := map[string]*peerv1.View{}
	for _, v := range views {
		for _, d := range v.Demand {
			if rates[d.Model] == nil {
				rates[d.Model] = &peerv1.Demand{}
			}
			rates[d.Model].Fast += d.Fast
			rates[d.Model].Slow += d.Slow
		}
		for _, view := range v.Views {
			if known := found[view.Runner]; known == nil || known.Unreachable || !known.Known {
				found[view.Runner] = view
			}
		}
	}
	complete = r.addRunners(s, t, found)
	for _, name := range t.Models() {
		s.Models = append(s.Models, ModelOf(t, name, rates[name].GetFast(), rates[name].GetSlow()))
	}
	return s, complete
}

// addRunners adds the runners of the settings to the state, and reports whether the state of
// each is known.
func (r *Role) addRunners(s *State, t *tree.Tree, found map[string]*peerv1.View) bool {
	complete := true
	for id, spec := range t.Endpoints() {
		if spec.Kind != tree.KindModel {
			continue
		}
		v := found[id]
		if v != nil && !v.Unreachable {
			r.lastReported[id] = s.Now
		}
		if r.lastReported[id].IsZero() {
			r.lastReported[id] = s.Now
		}
		lost := s.Now.Sub(r.lastReported[id]) > ownerGrace
		// An owner that has not read the runner's record yet, for example after an outage,
		// does not report the runner's models. Treating these as absent would load them all
		// on other runners.
		if v == nil && !lost || v != nil && !v.Known && !v.Unreachable {
			complete = false
		}
		s.Runners = append(s.Runners, runnerOf(id, spec, v, lost || r.settings.Leaving(id)))
	}
	sort.Slice(s.Runners, func(i, j int) bool { return s.Runners[i].ID < s.Runners[j].ID })
	return complete
}

func runnerOf(id string, spec tree.Endpoint, v *peerv1.View, gone bool) Runner {
	out := Runner{ID: id, DataCentre: spec.DataCentre, Capacity: int64(spec.Memory - spec.Cache), Slots: spec.Slots, Unavailable: gone || spec.Drain || v == nil}
	if v == nil {
		return out
	}
	out.Unavailable = out.Unavailable || v.Leaving
	out.MeanSlotTime = time.Duration(v.Cost) * time.Millisecond
	for _, h := range v.Held {
		out.Entries = append(out.Entries, ledger.Entry{Model: h.Model, Version: h.Version, Bytes: h.Bytes, State: ledger.State(h.State), Reason: h.Reason})
	}
	return out
}

// ModelOf returns the planner's view of a model in the settings.
func ModelOf(t *tree.Tree, name string, fast, slow float64) Model {
	spec, _ := t.Model(name)
	selector := tree.Selector{Service: t.ServiceOf(name), Model: name}
	eff := t.Effective(selector)
	m := Model{
		Name:               name,
		Version:            spec.Version,
		Bytes:              int64(spec.Memory),
		Base:               spec.Base,
		Load:               time.Duration(spec.Load),
		AllowedDataCentres: map[string]bool{},
		FastRate:           fast,
		SlowRate:           slow,
		MovePrice:          eff.MoveCost,
		AttainmentWeight:   eff.Attainment,
	}
	for _, e := range t.Endpoints() {
		if _, known := m.AllowedDataCentres[e.DataCentre]; !known {
			at := selector
			at.DataCentre = e.DataCentre
			_, m.AllowedDataCentres[e.DataCentre] = t.Allowed(at)
		}
	}
	return m
}

// requestMove requests a move from the owner of its runner.
func (r *Role) requestMove(ctx context.Context, m Move) {
	spec, ok := r.settings.Tree().Endpoints()[m.Runner]
	if !ok {
		return
	}
	to, ok := owner.Of(r.members, m.Runner, spec.DataCentre)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	kind := peerv1.OrderKind_ORDER_LOAD
	if m.Kind == core.OrderEvict {
		kind = peerv1.OrderKind_ORDER_EVICT
	}
	resp, err := r.dial(to.Peer).Order(ctx, connect.NewRequest(&peerv1.OrderRequest{
		Runner: m.Runner, Kind: kind, Model: m.Model, Version: m.Version, Reason: m.Reason,
	}))
	accepted, answer := false, ""
	if err != nil {
		answer = err.Error()
	} else {
		accepted, answer = resp.Msg.Accepted, resp.Msg.Reason
	}
	r.log.Info("move", zap.String("kind", string(m.Kind)), zap.String("runner", m.Runner), zap.String("model", m.Model),
		zap.String("reason", m.Reason), zap.Bool("accepted", accepted), zap.String("answer", answer))
}
