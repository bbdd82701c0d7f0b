package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
	"primroseward/standin/fuzz"
	"primroseward/state/ledger"
)

func TestMain(m *testing.M) { fuzz.Main(m, 300, 30) }

func entry(model, version string, bytes int64, state ledger.State) ledger.Entry {
	return ledger.Entry{Model: model, Version: version, Bytes: bytes, State: state}
}

func allDataCentres() map[string]bool { return map[string]bool{"a": true, "b": true} }

func TestPlan(t *testing.T) {
	cases := []struct {
		name        string
		state       State
		moves       []Move
		unplaceable int
	}{
		{
			name: "a model without a replica is loaded where memory is free",
			state: State{
				Models:  []Model{{Name: "m", Version: "1", Bytes: 10, AllowedDataCentres: allDataCentres()}},
				Runners: []Runner{{ID: "r1", DataCentre: "a", Capacity: 5}, {ID: "r2", DataCentre: "b", Capacity: 20}},
			},
			moves: []Move{{core.OrderLoad, "r2", "m", "1", ReasonFloor}},
		},
		{
			name: "a model that fits on no runner is reported",
			state: State{
				Models:  []Model{{Name: "m", Version: "1", Bytes: 30, AllowedDataCentres: allDataCentres()}},
				Runners: []Runner{{ID: "r1", DataCentre: "a", Capacity: 5}},
			},
			unplaceable: 1,
		},
		{
			name: "the new version is loaded before the old one is evicted",
			state: State{
				Models:  []Model{{Name: "m", Version: "2", Bytes: 10, AllowedDataCentres: allDataCentres()}},
				Runners: []Runner{{ID: "r1", DataCentre: "a", Capacity: 25, Entries: []ledger.Entry{entry("m", "1", 10, ledger.Ready)}}},
			},
			moves: []Move{{core.OrderLoad, "r1", "m", "2", ReasonVersion}},
		},
		{
			name: "the old version is evicted once the new one is ready",
			state: State{
				Models: []Model{{Name: "m", Version: "2", Bytes: 10, AllowedDataCentres: allDataCentres()}},
				Runners: []Runner{{ID: "r1", DataCentre: "a", Capacity: 25, Entries: []ledger.Entry{
					entry("m", "1", 10, ledger.Ready), entry("m", "2", 10, ledger.Ready),
				}}},
			},
			moves: []Move{{core.OrderEvict, "r1", "m", "1", ReasonVersion}},
		},
		{
			name: "a replica in a data centre that is no longer allowed stays until another is ready",
			state: State{
				Models: []Model{{Name: "m", Version: "1", Bytes: 10, AllowedDataCentres: map[string]bool{"b": true}}},
				Runners: []Runner{
					{ID: "r1", DataCentre: "a", Capacity: 25, Entries: []ledger.Entry{entry("m", "1", 10, ledger.Ready)}},
					{ID: "r2", DataCentre: "b", Capacity: 25},
				},
			},
			moves: []Move{{core.OrderLoad, "r2", "m", "1", ReasonFloor}},
		},
		{
			name: "the models of a leaving runner are loaded elsewhere",
			state: State{
				Models: []Model{{Name: "m", Version: "1", Bytes: 10, AllowedDataCentres: allDataCentres()}},
				Runners: []Runner{
					{ID: "r1", DataCentre: "a", Capacity: 25, Unavailable: true, Entries: []ledger.Entry{entry("m", "1", 10, ledger.Ready)}},
					{ID: "r2", DataCentre: "b", Capacity: 25},
				},
			},
			moves: []Move{{core.OrderLoad, "r2", "m", "1", ReasonFloor}},
		},
		{
			name: "a spare replica is evicted for a model without a replica",
			state: State{
				Models: []Model{{Name: "m", Version: "1", Bytes: 10, AllowedDataCentres: allDataCentres()}, {Name: "n", Version: "1", Bytes: 10, AllowedDataCentres: allDataCentres()}},
				Runners: []Runner{
					{ID: "r1", DataCentre: "a", Capacity: 10, Entries: []ledger.Entry{entry("n", "1", 10, ledger.Ready)}},
					{ID: "r2", DataCentre: "b", Capacity: 10, Entries: []ledger.Entry{entry("n", "1", 10, ledger.Ready)}},
				},
			},
			moves: []Move{{core.OrderEvict, "r1", "n", "1", ReasonMemory}},
		},
		{
			name: "an adapter is loaded only where its base model is ready",
			state: State{
				Models: []Model{{Name: "m", Version: "1", Bytes: 10, AllowedDataCentres: allDataCentres()}, {Name: "x", Version: "1", Bytes: 1, Base: "m", AllowedDataCentres: allDataCentres()}},
				Runners: []Runner{
					{ID: "r1", DataCentre: "a", Capacity: 25},
					{ID: "r2", DataCentre: "b", Capacity: 25, Entries: []ledger.Entry{entry("m", "1", 10, ledger.Ready)}},
				},
			},
			moves: []Move{{core.OrderLoad, "r2", "x", "1", ReasonFloor}, {core.OrderLoad, "r1", "m", "1", ReasonSecondReplica}},
		},
	}
	for _, tt := range cases {
		tt.state.LoadSlots = 4
		moves, unplaceable := Default().Plan(&tt.state)
		assert.DeepEqual(t, moves, tt.moves)
		assert.Equal(t, len(unplaceable), tt.unplaceable, tt.name)
	}
}

// Guards against plans that evict the last replica of a model or exceed a runner's memory. For
// any state, the loads of one plan fit beside all entries of their runner, and every model that
// had a ready replica keeps one.
func TestPlanKeepsModelsAndMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		ready := map[string]int{}
		used := map[string]int64{}
		for _, r := range s.Runners {
			for _, e := range r.Entries {
				used[r.ID] += e.Bytes
				if e.State == ledger.Ready && !r.Unavailable {
					ready[e.Model]++
				}
			}
		}
		before := map[string]int{}
		for m, n := range ready {
			before[m] = n
		}
		moves, _ := Default().Plan(s)
		sizes := map[string]int64{}
		for _, m := range s.Models {
			sizes[m.Name] = m.Bytes
		}
		for _, mv := range moves {
			if mv.Kind == core.OrderLoad {
				used[mv.Runner] += sizes[mv.Model]
				continue
			}
			ready[mv.Model]--
		}
		for _, r := range s.Runners {
			if used[r.ID] > r.Capacity {
				t.Fatalf("%s: %d of %d; moves %+v", r.ID, used[r.ID], r.Capacity, moves)
			}
		}
		for m, n := range before {
			if n > 0 && ready[m] <= 0 {
				t.Fatalf("%s has no replica left; moves %+v", m, moves)
			}
		}
	})
}

func drawState(t *rapid.T) *State {
	s := &State{LoadSlots: rapid.IntRange(1, 6).Draw(t, "slots")}
	for i := range rapid.IntRange(1, 6).Draw(t, "models") {
		s.Models = append(s.Models, Model{
			Name: fmt.Sprint("m", i), Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"), Bytes: int64(rapid.IntRange(5, 30).Draw(t, "bytes")),
			AllowedDataCentres: allDataCentres(), FastRate: rapid.Float64Range(0, 50).Draw(t, "fast"), SlowRate: rapid.Float64Range(0, 50).Draw(t, "slow"), MovePrice: 0.01, AttainmentWeight: 1,
		})
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "runners") {
		r := Runner{ID: fmt.Sprint("r", i), DataCentre: []string{"a", "b"}[i%2], Capacity: 64, Slots: 4, MeanSlotTime: time.Second, Unavailable: rapid.IntRange(0, 5).Draw(t, "gone") == 0}
		left := r.Capacity
		for _, m := range s.Models {
			if m.Bytes <= left && rapid.Bool().Draw(t, "held") {
				state := rapid.SampledFrom([]ledger.State{ledger.Ready, ledger.Ready, ledger.Loading, ledger.Evicting}).Draw(t, "state")
				r.Entries = append(r.Entries, entry(m.Name, "1", m.Bytes, state))
				left -= m.Bytes
			}
		}
		s.Runners = append(s.Runners, r)
	}
	return s
}

// syntheticState returns a State of the given size. Its largest sizes are those expected of
// future fleets.
func syntheticState(models, runners int) *State {
	s := &State{LoadSlots: 4}
	for i := range models {
		s.Models = append(s.Models, Model{Name: fmt.Sprint("m", i), Version: "1", Bytes: 10, AllowedDataCentres: allDataCentres(), FastRate: float64(i%7) / 3, SlowRate: 1, MovePrice: 1, AttainmentWeight: 1})
	}
	for i := range runners {
		r := Runner{ID: fmt.Sprint("r", i), DataCentre: []string{"a", "b"}[i%2], Capacity: 64, Slots: 16, MeanSlotTime: time.Second}
		for k := range 5 {
			r.Entries = append(r.Entries, entry(fmt.Sprint("m", (i*5+k)%models), "1", 10, ledger.Ready))
		}
		s.Runners = append(s.Runners, r)
	}
	return s
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ models, runners int }{{15, 16}, {150, 160}, {1800, 526}, {1800, 2000}, {1800, 10000}} {
		s := syntheticState(size.models, size.runners)
		b.Run(fmt.Sprintf("models=%d,runners=%d", size.models, size.runners), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Default().Plan(s)
			}
		})
	}
}
