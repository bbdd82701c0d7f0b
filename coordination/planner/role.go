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
	planEvery   = time.Second
	viewTimeout = time.Second
	moveTimeout = 5 * time.Second
	// graceFor is how long a runner that nobody reports is left alone. Its
	// owner may have died a moment ago, and the runner with all its models be
	// well.
	graceFor = 10 * time.Second
)

// Role runs the planner in the daemon that the members rank first for it. Two
// daemons that both believe so ask for moves twice; the runners' records let
// each through once.
type Role struct {
	policy  Policy
	replica *tree.Replica
	members core.Members
	dial    peer.Dial
	clock   core.Clock
	log     *zap.Logger

	seen map[string]time.Time // runner to its latest report
	wg   sync.WaitGroup
	stop context.CancelFunc

	mu      sync.Mutex // guards what follows
	active  bool
	lacking []string
}

// NewRole makes a Role.
func NewRole(policy Policy, replica *tree.Replica, members core.Members, dial peer.Dial, clock core.Clock, log *zap.Logger) *Role {
	return &Role{policy: policy, replica: replica, members: members, dial: dial, clock: clock, log: log, seen: map[string]time.Time{}}
}

// Start begins to plan when it is this daemon's turn.
func (r *Role) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.wg.Add(1)
	go r.loop(ctx)
}

// Stop ends it.
func (r *Role) Stop() {
	r.stop()
	r.wg.Wait()
}

// Active says whether this daemon plans now.
func (r *Role) Active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// Lacking returns which models cannot be placed and why, as this daemon found.
func (r *Role) Lacking() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lacking
}

func (r *Role) loop(ctx context.Context) {
	defer r.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(planEvery):
		}
		first := r.members.Rank("planner", "", 1)
		mine := len(first) == 1 && first[0].Name == r.members.Self().Name
		r.mu.Lock()
		if mine && !r.active {
			r.seen = map[string]time.Time{}
		}
		if !mine {
			r.lacking = nil
		}
		r.active = mine
		r.mu.Unlock()
		if mine && r.replica.Tree() != nil {
			r.plan(ctx)
		}
	}
}

func (r *Role) plan(ctx context.Context) {
	views := r.collect(ctx)
	s, whole := r.state(views)
	if !whole {
		return
	}
	moves, lacking := r.policy.Plan(s)
	r.mu.Lock()
	r.lacking = lacking
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range moves {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.ask(ctx, m)
		}()
	}
	wg.Wait()
}

// collect asks all daemons for the runners that they own.
func (r *Role) collect(ctx context.Context) []*peerv1.Views {
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

// state joins the views. whole is false while a runner of the settings is
// unknown and may only be between two owners.
func (r *Role) state(views []*peerv1.Views) (s *State, whole bool) {
	t := r.replica.Tree()
	now := r.clock.Now()
	s = &State{Now: now, Slots: t.Store().Slots, Pause: t.Store().Pause}
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
		for _, one := range v.Views {
			if have := found[one.Runner]; have == nil || have.Unreachable || !have.Known {
				found[one.Runner] = one
			}
		}
	}
	whole = r.runners(s, t, found)
	for _, name := range t.Models() {
		s.Models = append(s.Models, ModelOf(t, name, rates[name].GetFast(), rates[name].GetSlow()))
	}
	return s, whole
}

func (r *Role) runners(s *State, t *tree.Tree, found map[string]*peerv1.View) bool {
	whole := true
	for id, spec := range t.Endpoints() {
		if spec.Kind != tree.KindModel {
			continue
		}
		v := found[id]
		if v != nil && !v.Unreachable {
			r.seen[id] = s.Now
		}
		if r.seen[id].IsZero() {
			r.seen[id] = s.Now
		}
		lost := s.Now.Sub(r.seen[id]) > graceFor
		// An owner that has not read the record yet, as after an outage, says
		// nothing of what the runner holds; taking that for "nothing" would load
		// all its models elsewhere.
		if v == nil && !lost || v != nil && !v.Known && !v.Unreachable {
			whole = false
		}
		s.Runners = append(s.Runners, runnerOf(id, spec, v, lost || r.replica.Leaving(id)))
	}
	sort.Slice(s.Runners, func(i, j int) bool { return s.Runners[i].ID < s.Runners[j].ID })
	return whole
}

func runnerOf(id string, spec tree.Endpoint, v *peerv1.View, gone bool) Runner {
	out := Runner{ID: id, Place: spec.Place, Capacity: int64(spec.Memory - spec.Cache), Slots: spec.Slots, Gone: gone || spec.Drain || v == nil}
	if v == nil {
		return out
	}
	out.Gone = out.Gone || v.Leaving
	out.Cost = time.Duration(v.Cost) * time.Millisecond
	for _, h := range v.Held {
		out.Entries = append(out.Entries, ledger.Entry{Model: h.Model, Version: h.Version, Bytes: h.Bytes, State: ledger.State(h.State), Reason: h.Reason})
	}
	return out
}

// ModelOf describes a model of the settings for the planner.
func ModelOf(t *tree.Tree, name string, fast, slow float64) Model {
	spec, _ := t.Model(name)
	coord := tree.Coord{Service: t.ServiceOf(name), Model: name}
	eff := t.Effective(coord)
	m := Model{
		Name:       name,
		Version:    spec.Version,
		Bytes:      int64(spec.Memory),
		Base:       spec.Base,
		Load:       time.Duration(spec.Load),
		Places:     map[string]bool{},
		Fast:       fast,
		Slow:       slow,
		Moves:      eff.Moves,
		Attainment: eff.Attainment,
	}
	for _, e := range t.Endpoints() {
		if _, known := m.Places[e.Place]; !known {
			at := coord
			at.Place = e.Place
			_, m.Places[e.Place] = t.Allowed(at)
		}
	}
	return m
}

func (r *Role) ask(ctx context.Context, m Move) {
	spec, ok := r.replica.Tree().Endpoints()[m.Runner]
	if !ok {
		return
	}
	to, ok := owner.Of(r.members, m.Runner, spec.Place)
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
