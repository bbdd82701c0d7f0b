package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// fleet is an engine service for tests: moves are carried out at once.
type fleet struct {
	engine *core.Engine
	hosts  []*HostState
}

// newFleet makes n empty runners of a memory and models of the given sizes.
func newFleet(n int, memoryMB float64, sizes []float64) *fleet {
	f := &fleet{engine: &core.Engine{Slots: 64, MemoryMB: memoryMB}}
	for i, mb := range sizes {
		f.engine.Models = append(f.engine.Models, core.Model{Name: fmt.Sprintf("m%02d", i), MemoryMB: mb})
	}
	c := core.Config{Services: map[string]*core.Service{"s": {Engine: f.engine}}}
	c.Index()
	for i := range n {
		f.hosts = append(f.hosts, &HostState{
			ID: fmt.Sprintf("r%02d", i), Place: fmt.Sprint("p", i%3), FreeMB: memoryMB,
			Models: map[string]bool{}, Near: map[string]bool{},
		})
	}
	return f
}

func (f *fleet) host(id string) *HostState {
	for _, h := range f.hosts {
		if h.ID == id {
			return h
		}
	}
	return nil
}

// settle plans and carries out until nothing is wanted; it returns the moves.
func (f *fleet) settle(t *testing.T, heat map[string]float64, rounds int) int {
	t.Helper()
	n := 0
	for range rounds {
		moves := Place(f.engine, f.hosts, heat)
		if len(moves) == 0 {
			return n
		}
		for _, m := range moves {
			f.apply(t, m)
			n++
		}
	}
	return n
}

func (f *fleet) apply(t *testing.T, m Move) {
	t.Helper()
	h, size := f.host(m.Runner), f.engine.Model(m.Model).MemoryMB
	if m.Load {
		assert.Assert(t, h.FreeMB >= size, "%v does not fit", m)
		h.FreeMB -= size
		h.Models[m.Model] = true
		return
	}
	assert.Assert(t, h.Models[m.Model], "%v is not there", m)
	delete(h.Models, m.Model)
	h.FreeMB += size
}

func (f *fleet) copies(model string) int {
	n := 0
	for _, h := range f.hosts {
		if h.Models[model] {
			n++
		}
	}
	return n
}

// busiest is the largest share of the demand that one runner serves when each
// model's demand spreads evenly over its copies.
func (f *fleet) busiest(heat map[string]float64) float64 {
	top, sum := 0.0, 0.0
	for _, v := range heat {
		sum += v
	}
	for _, h := range f.hosts {
		load := 0.0
		for m := range h.Models {
			load += heat[m] / float64(f.copies(m))
		}
		top = max(top, load)
	}
	return top / sum
}

// cooperativeSizes are the models of a workshop service in megabytes.
var cooperativeSizes = []float64{
	34300, 16100, 24300, 34300, 24300, 16100, 34300, 24300, 16100, 16100,
	24300, 34300, 24300, 16100, 24300, 34300, 16100, 24300, 34300, 24300,
}

// Mechanics wait while most runners stand idle. Demand moves to a model with
// one copy; the other runners are filled with models that nobody asks for, each
// with its only copy, and none may be dropped. Those must move together until
// the busy model has its copies.
func TestBusyModelSpreadsOverFullRunners(t *testing.T) {
	f := newFleet(10, 83000, cooperativeSizes)
	f.settle(t, nil, 100)
	for step := range 4 {
		heat := map[string]float64{}
		for i, share := range []float64{55, 20, 12, 10} {
			heat[f.engine.Models[2*step+i].Name] = share
		}
		moves := f.settle(t, heat, 400)
		for i := range f.engine.Models {
			assert.Assert(t, f.copies(f.engine.Models[i].Name) >= 1, "%s is gone", f.engine.Models[i].Name)
		}
		t.Logf("step %d: %d moves, copies %d %d %d %d, busiest %.2f", step, moves, f.copies(f.engine.Models[2*step].Name),
			f.copies(f.engine.Models[2*step+1].Name), f.copies(f.engine.Models[2*step+2].Name), f.copies(f.engine.Models[2*step+3].Name), f.busiest(heat))
		assert.Assert(t, f.busiest(heat) < 0.2, "one runner has %.2f of the demand", f.busiest(heat))
		assert.Assert(t, moves < 60, "%d moves", moves)
	}
	_ = rand.N[int]
}
