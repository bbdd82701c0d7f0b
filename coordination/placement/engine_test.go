package placement

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"primroseward/core"
)

// faults are the probabilities of faults of orders, and the age of reports.
type faults struct {
	lost        float64 // the order never arrives
	answerLost  float64 // the order is carried out but its answer is lost
	late        float64 // the order is not answered and is carried out seconds later
	reportDelay time.Duration
}

// engine is a runner that checks each order as a real one does, and fails the test when it
// is ordered to load more than its memory holds.
type engine struct {
	t      *testing.T
	spec   *core.Engine
	rnd    *rand.Rand
	faults faults

	mu              sync.Mutex
	sequence        uint64
	models          map[string]bool // present, loading and unloading
	order           string          // order for a model in progress, empty if none
	adapters        map[string]bool // present and loading
	loadingAdapters map[string]bool
	busyWith        map[string]bool // adapters that requests use
	history         []snapshot
	accepted        int
	terms           []uint64
}

type snapshot struct {
	at     time.Time
	report core.Report
}

func newEngine(t *testing.T, spec *core.Engine, rnd *rand.Rand, fs faults, models ...string) *engine {
	e := &engine{t: t, spec: spec, rnd: rnd, faults: fs, models: map[string]bool{}, adapters: map[string]bool{}, loadingAdapters: map[string]bool{}, busyWith: map[string]bool{}}
	for _, m := range models {
		e.models[m] = true
	}
	e.recordState()
	return e
}

// recordState appends the current state to the history from which delayed reports are taken.
func (e *engine) recordState() {
	r := core.Report{Busy: e.order != "", Sequence: e.sequence}
	for m := range e.models {
		if e.order == "load "+m {
			continue
		}
		h := core.Holding{Model: m}
		for a := range e.adapters {
			if model, name, _ := splitAdapterName(a); model == m && !e.loadingAdapters[a] {
				h.Adapters = append(h.Adapters, name)
			}
		}
		r.Holdings = append(r.Holdings, h)
	}
	for a := range e.loadingAdapters {
		r.LoadingAdapters = append(r.LoadingAdapters, a)
	}
	e.history = append(e.history, snapshot{time.Now(), r})
}

func (e *engine) Report(ctx context.Context, _ *core.Runner) (*core.Report, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	at := len(e.history) - 1
	for at > 0 && time.Since(e.history[at].at) < e.faults.reportDelay {
		at--
	}
	r := e.history[at].report
	r.Holdings = slices.Clone(r.Holdings)
	return &r, nil
}

// hasModel reports whether the engine has a model, in any phase.
func (e *engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[model]
}

// acceptedModelOrders returns the number of accepted orders for models.
func (e *engine) acceptedModelOrders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted
}

func (e *engine) Order(ctx context.Context, _ *core.Runner, o core.RunnerOrder) (core.OrderResult, error) {
	e.mu.Lock()
	x := e.rnd.Float64()
	fs := e.faults
	delay := 2*time.Second + time.Duration(e.rnd.Int64N(int64(10*time.Second)))
	e.mu.Unlock()
	time.Sleep(time.Millisecond)
	switch {
	case x < fs.lost:
		<-ctx.Done()
		return core.OrderUnknown, eris.Wrap(core.ErrAnswerLost, "lost")
	case x < fs.lost+fs.answerLost:
		e.accept(o)
		<-ctx.Done()
		return core.OrderUnknown, eris.Wrap(core.ErrAnswerLost, "answer lost")
	case x < fs.lost+fs.answerLost+fs.late:
		time.AfterFunc(delay, func() { e.accept(o) })
		<-ctx.Done()
		return core.OrderUnknown, eris.Wrap(core.ErrAnswerLost, "late")
	}
	return e.accept(o), nil
}

// accept checks an order and starts to carry it out.
func (e *engine) accept(o core.RunnerOrder) core.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.recordState()
	e.terms = append(e.terms, o.Fence)
	if o.Adapter != "" {
		return e.acceptAdapter(o)
	}
	name := "unload " + o.Model
	if o.Load {
		name = "load " + o.Model
	}
	switch {
	case e.order == name:
		return core.OrderAccepted
	case e.models[o.Model] == o.Load && e.order == "":
		return core.OrderDone
	case e.order != "" || o.Expected != e.sequence:
		return core.OrderConflict
	}
	e.sequence++
	e.accepted++
	e.order = name
	e.models[o.Model] = true
	e.checkMemory(o)
	time.AfterFunc(time.Duration(300+e.rnd.IntN(3000))*time.Millisecond, func() { e.finish(o) })
	return core.OrderAccepted
}

func (e *engine) finish(o core.RunnerOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.recordState()
	e.order = ""
	if o.Load {
		return
	}
	delete(e.models, o.Model)
	maps.DeleteFunc(e.adapters, func(a string, _ bool) bool {
		model, _, _ := splitAdapterName(a)
		return model == o.Model
	})
}

func (e *engine) acceptAdapter(o core.RunnerOrder) core.OrderResult {
	name := o.Model + "/" + o.Adapter
	switch {
	case o.Load && e.loadingAdapters[name]:
		return core.OrderAccepted
	case e.adapters[name] == o.Load:
		return core.OrderDone
	case o.Expected != e.sequence:
		return core.OrderConflict
	case o.Load && (!e.models[o.Model] || e.order == "load "+o.Model):
		return core.OrderRefused
	}
	e.sequence++
	if !o.Load {
		delete(e.adapters, name)
		delete(e.loadingAdapters, name)
		return core.OrderDone
	}
	e.adapters[name], e.loadingAdapters[name] = true, true
	e.checkMemory(o)
	time.AfterFunc(7*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.loadingAdapters, name)
		e.recordState()
	})
	return core.OrderAccepted
}

// checkMemory fails the test where a real runner would crash.
func (e *engine) checkMemory(o core.RunnerOrder) {
	sum := 0.0
	for m := range e.models {
		sum += e.spec.Model(m).MemoryMB
	}
	for a := range e.adapters {
		model, _, _ := splitAdapterName(a)
		sum += e.spec.Model(model).AdapterMB
	}
	if sum > e.spec.MemoryMB || len(e.adapters) > e.spec.AdapterSlots {
		e.t.Errorf("order %+v: %.0f of %.0f MB, %d of %d adapters", o, sum, e.spec.MemoryMB, len(e.adapters), e.spec.AdapterSlots)
	}
}

// fakeRunners sends each order to the engine of its runner.
type fakeRunners map[string]*engine

func (o fakeRunners) Order(ctx context.Context, r *core.Runner, order core.RunnerOrder) (core.OrderResult, error) {
	return o[r.ID].Order(ctx, r, order)
}

func (o fakeRunners) Report(ctx context.Context, r *core.Runner) (*core.Report, error) {
	return o[r.ID].Report(ctx, r)
}

func modelName(i int) string { return fmt.Sprintf("m%d", i) }
