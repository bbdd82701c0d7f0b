package fleet

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"primroseward/coordination/load"
	"primroseward/core"
	"primroseward/services/holds"
	"primroseward/services/limits"
	service "primroseward/services/tree"
	"primroseward/services/workspaces"
	"primroseward/state/catalog"
	"primroseward/state/tree"
	"primroseward/transport/admin"
)

const (
	// ageResolution is the resolution of the ages that are shown.
	ageResolution = 100 * time.Millisecond
	// countAgeResolution is that of the ages of counts, which are about 100 ms old.
	countAgeResolution = time.Millisecond
)

// admin returns the operators' API. It is read-only if the settings file has no token:
// otherwise anybody who can reach the metrics could edit the settings. Operators then edit
// the settings in the store.
func (d *Daemon) admin() *admin.Admin {
	trees := service.New(d.settings, d.store, applier{d.settings}, d.clock, service.WithOffered(d.offers))
	return &admin.Admin{
		Trees: trees, Statuses: &statuses{d, trees}, Fleet: runners{d}, Holds: holds.NewTable(d.quarantine, d.clock), Workspaces: d.workspaces,
		Limits:  func() []limits.Status { return limits.List(d.limits.States()) },
		Metrics: d.metrics.Handler, Ready: d.Ready, Token: d.set.Token, ReadOnly: d.set.Token == "",
	}
}

// offers reports whether the configuration has the named service, or the named model in any
// service.
func (d *Daemon) offers(kind, name string) bool {
	config := d.catalog.Config()
	return config != nil && config.Offers(kind == tree.ElemService, name)
}

// workspaces returns the allowances of the workspaces of the configuration in force.
func (d *Daemon) workspaces() []workspaces.Status {
	config := d.catalog.Config()
	if config == nil {
		return []workspaces.Status{}
	}
	return workspaces.List(config.Workspaces, d.allowances.States())
}

// problems returns the problems of the settings tree and of the configuration in force.
func (d *Daemon) problems() []string {
	out := d.settings.Problems()
	if config := d.catalog.Config(); config != nil {
		out = append(out, config.Problems...)
	}
	return out
}

// applier applies the branches that an edit at this daemon has written. The other daemons
// read them from the store.
type applier struct{ settings *tree.Replica }

// ApplyBranches implements service.Taker.
func (a applier) ApplyBranches(branches []tree.Branch) { a.settings.Apply(branches) }

// statuses derives the status of the system from the state that the daemons send each other.
type statuses struct {
	d     *Daemon
	trees *service.Service
}

// Status compares the versions that the store has accepted with the versions that each
// daemon has.
func (s *statuses) Status(ctx context.Context) service.Status {
	accepted, ok := s.trees.Accepted(ctx)
	out := service.Status{Platform: ok, InForce: ok, Problems: s.d.problems()}
	behind := map[string]int{}
	alive := s.d.peers.Alive()
	for _, b := range accepted {
		for _, p := range alive {
			if p.LastChanges.Settings < b.Accepted {
				b.Lagging = append(b.Lagging, p.Name)
				behind[p.Name]++
			}
		}
		sort.Strings(b.Lagging)
		out.InForce = out.InForce && len(b.Lagging) == 0
		out.Branches = append(out.Branches, b)
	}
	for _, p := range alive {
		m := service.MemberStatus{Name: p.Name, DataCentre: p.DataCentre, State: "live", Reachable: true, Behind: behind[p.Name], SinceConfirmed: "never", Planner: p.Term > 0, Relay: !p.Failing}
		if p.Confirmed >= 0 {
			m.SinceConfirmed = p.Confirmed.Round(ageResolution).String()
		}
		if p.PathLost {
			m.State = "no path"
		}
		if p.Leaving {
			m.State = "leaving"
		}
		if p.Name == s.d.set.Name {
			m.Running, m.Versions = s.d.dispatcher.Running(), s.d.settings.Versions()
		}
		out.Members = append(out.Members, m)
	}
	sort.Slice(out.Members, func(i, j int) bool { return out.Members[i].Name < out.Members[j].Name })
	out.InForce = out.InForce && len(out.Problems) == 0
	return out
}

// runners returns the state of the runners in this daemon's catalog.
type runners struct{ d *Daemon }

// Runners implements admin.Fleet.
func (r runners) Runners(context.Context) []service.RunnerStatus {
	holder := ""
	if p, ok := r.d.peers.Holder(); ok {
		holder = p.Name
	}
	out := []service.RunnerStatus{}
	for _, e := range r.d.catalog.All() {
		out = append(out, r.status(e, holder))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Runner < out[j].Runner })
	return out
}

func (r runners) status(e *catalog.Entry, holder string) service.RunnerStatus {
	s := r.d.available.State(e)
	out := service.RunnerStatus{
		Runner: e.ID, DataCentre: e.DataCentre, Owner: holder, Version: e.Version, Slots: e.Slots, Running: s.Load.Requests, Leaving: s.Leaving, Detail: s.Describe(r.d.clock.Now()), Counts: countsOf(s.Load),
	}
	engine := r.d.catalog.Config().Engine(e.Service)
	if engine == nil {
		return out
	}
	out.Capacity = megabytes(engine.MemoryMB)
	for _, h := range e.Holdings {
		model := service.ModelStatus{Model: h.Model, Version: strconv.Itoa(h.Version), State: service.StateReady, Age: "-"}
		if spec := engine.Model(h.Model); spec != nil {
			model.Bytes = megabytes(spec.MemoryMB + float64(len(h.Adapters))*spec.AdapterMB)
		}
		out.Committed += model.Bytes
		out.Models = append(out.Models, model)
	}
	out.Free = out.Capacity - out.Committed
	return out
}

// countsOf returns the requests, age and pace that choices use of a runner.
func countsOf(v load.View) *service.RunnerCounts {
	out := &service.RunnerCounts{Believed: v.Requests, Pace: v.Pace}
	if v.Age > 0 {
		out.Age = max(countAgeResolution, v.Age.Round(countAgeResolution)).String()
	}
	return out
}

func megabytes(mb float64) int64 { return int64(mb * 1e6) }

// Moves implements admin.Fleet. Only the daemon that sends the orders has the moves.
func (r runners) Moves(ctx context.Context) ([]service.MoveStatus, error) {
	holder, ok := r.d.peers.Holder()
	if !ok {
		return nil, eris.Wrap(core.ErrUnavailable, "no daemon holds the lease of orders")
	}
	if holder.Name != r.d.set.Name {
		return nil, eris.Wrap(core.ErrUnavailable, fmt.Sprintf("only daemon %s, which sends the orders, can list the moves", holder.Name))
	}
	moves, err := r.d.holder.Moves(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]service.MoveStatus, 0, len(moves))
	for _, m := range moves {
		state := service.StateLoading
		if !m.Load {
			state = service.StateEvicting
		}
		out = append(out, service.MoveStatus{Runner: m.Runner, ModelStatus: service.ModelStatus{Model: m.Model, State: state, Age: "-"}})
	}
	return out, nil
}
