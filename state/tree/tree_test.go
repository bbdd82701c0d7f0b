package tree

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"primroseward/core"
	"primroseward/standin/fuzz"
)

func TestMain(m *testing.M) { fuzz.Main(m, 500, 30) }

func dataCentres(p ...string) *[]string { return &p }

func load(t *testing.T, name string) *Node {
	t.Helper()
	data, err := os.ReadFile("../../docs/samples/" + name)
	assert.NilError(t, err)
	n, err := ParseNode(data)
	assert.NilError(t, err)
	return n
}

// The sample trees have no faults and the expected numbers of models and endpoints.
func TestSamplesAreValid(t *testing.T) {
	cases := []struct {
		file              string
		models, endpoints int
	}{
		{"registry.json", 90, 16},
		{"cooperative.json", 85, 15},
		{"demo.json", 3, 4},
	}
	for _, tt := range cases {
		branches := Split(load(t, tt.file))
		assert.Equal(t, len(Check(branches)), 0, "%s: %v", tt.file, Check(branches))
		tree := New(branches)
		assert.Equal(t, len(tree.Models()), tt.models, tt.file)
		assert.Equal(t, len(tree.Endpoints()), tt.endpoints, tt.file)
	}
}

// All faults of a tree are reported together, not only the first one.
func TestAllFaultsAreReported(t *testing.T) {
	_, err := ParseNode([]byte(`{"set":{"placs":["a"],"rate":"x","deadline":"soon"},"endpoints":{"e":{"slots":1.5}},"children":{"model/m":{"model":{"memory":"14XB"}}}}`))
	assert.Assert(t, errors.Is(err, core.ErrInvalid))
	golden.Assert(t, err.Error()+"\n", "shape.golden")
	root := &Node{
		Set:       Settings{DataCentres: dataCentres("a", "b"), Concurrency: 5, Repeatable: new(bool)},
		Endpoints: map[string]Endpoint{"e": {Addr: "host:1", DataCentre: "c", Kind: "gpu"}},
		Children: map[string]*Node{
			"service/s": {
				Service: &Service{Kind: "fast"},
				Set:     Settings{DataCentres: dataCentres("a", "c"), Concurrency: 6, Class: "soon"},
				Children: map[string]*Node{
					"model/m": {Set: Settings{DataCentres: dataCentres("b")}},
					"place/z": {},
				},
			},
			"model/n": {Model: &Model{Base: "gone"}},
		},
	}
	repeat := true
	root.Children["service/s"].Set.Repeatable = &repeat
	golden.Assert(t, Check(Split(root)).Error()+"\n", "check.golden")
}

// Guards against requests served in a data centre that a higher node forbids. All
// matching nodes must take effect, in whatever order they are nested, and no child may
// override its parent.
func TestEffectiveOnlyNarrows(t *testing.T) {
	all := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		root := drawNode(t, all, 0, []string{"service/s", "model/m", "place/a"})
		branches := Split(root)
		tree := New(branches)
		selector := Selector{Service: "s", Model: "m", DataCentre: rapid.SampledFrom(all).Draw(t, "place")}
		e := tree.Effective(selector)
		// The expected values come from a walk over all nodes on matching paths.
		allowed, limit := true, 0
		var walk func(n *Node)
		walk = func(n *Node) {
			if n.Set.DataCentres != nil && !slices.Contains(*n.Set.DataCentres, selector.DataCentre) {
				allowed = false
			}
			if c := n.Set.Concurrency; c > 0 && (limit == 0 || c < limit) {
				limit = c
			}
			for elem, child := range n.Children {
				if selector.match(Path{elem}) {
					walk(child)
				}
			}
		}
		walk(root)
		if limit == 0 {
			limit = defaultConcurrency
		}
		assert.Equal(t, e.Allows(selector.DataCentre), allowed)
		assert.Equal(t, e.Concurrency, limit)
	})
}

func drawNode(t *rapid.T, all []string, depth int, elems []string) *Node {
	n := &Node{}
	if rapid.Bool().Draw(t, "has places") {
		sub := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, 3, rapid.ID[string]).Draw(t, "places")
		n.Set.DataCentres = &sub
	}
	if rapid.Bool().Draw(t, "has limit") {
		n.Set.Concurrency = rapid.IntRange(1, 2000).Draw(t, "limit")
	}
	if depth == 3 {
		return n
	}
	n.Children = map[string]*Node{}
	for i, elem := range elems {
		if rapid.Bool().Draw(t, "child") {
			rest := slices.Delete(slices.Clone(elems), i, i+1)
			n.Children[elem] = drawNode(t, all, depth+1, rest)
		}
	}
	return n
}

// Guards against accepted trees whose children are wider than their parents: whenever
// Check reports no widening, the fold of a child must be within that of its parent.
func TestCheckedChildIsWithinParent(t *testing.T) {
	all := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		root := drawNode(t, all, 0, []string{"service/s", "model/m", "place/a"})
		branches := Split(root)
		for _, p := range Check(branches) {
			if strings.HasPrefix(p.Text, "widens") {
				t.Skip("the tree is refused")
			}
		}
		tree := New(branches)
		parent := tree.Effective(Selector{Service: "s"})
		for _, dataCentre := range all {
			child := tree.Effective(Selector{Service: "s", Model: "m", DataCentre: dataCentre})
			// A child may exceed a default, since no node has set it.
			assert.Assert(t, parent.Origin["concurrency"] == "" || child.Concurrency <= parent.Concurrency)
			assert.Assert(t, !child.Allows(dataCentre) || parent.Allows(dataCentre))
		}
	})
}

func stored(version int) []byte {
	data, _ := json.Marshal(BranchBody{Node: &Node{Set: Settings{Concurrency: version}}})
	return data
}

// Guards against settings that revert at one daemon. Branches arrive from several others
// in any order, twice, invalid or deleted. The stored version must be the highest received
// one, and the node in force that of the highest valid one.
func TestReplicaNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReplica()
		highest := map[string]uint64{}
		valid := map[string]int{}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				nodes := r.Nodes()
				for name, v := range r.Versions() {
					assert.Equal(t, v, highest[name])
					if valid[name] > 0 {
						assert.Equal(t, nodes[name].Set.Concurrency, valid[name])
					} else {
						assert.Assert(t, nodes[name] == nil)
					}
				}
			},
			"arrive": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{Root, "service/s"}).Draw(t, "branch")
				v := rapid.IntRange(1, 40).Draw(t, "version")
				b := Branch{Name: name, Version: uint64(v), Body: stored(v)}
				kind := rapid.SampledFrom([]string{"valid", "valid", "invalid", "deleted"}).Draw(t, "kind")
				switch kind {
				case "invalid":
					b.Body = []byte(`{"node":{"sett":{}}}`)
				case "deleted":
					b.Deleted = true
				}
				r.Apply([]Branch{b})
				if uint64(v) <= highest[name] {
					return
				}
				highest[name] = uint64(v)
				switch kind {
				case "valid":
					valid[name] = v
				case "deleted":
					valid[name] = 0
				}
			},
		})
	})
}

// Replicas with different branches or versions have different sums; with the same ones,
// equal sums.
func TestSumsDifferWithSettings(t *testing.T) {
	a, b := NewReplica(), NewReplica()
	one := Branch{Name: Root, Version: 1, Body: stored(1)}
	two := Branch{Name: "service/s", Version: 2, Body: stored(2)}
	a.Apply([]Branch{one, two})
	b.Apply([]Branch{two})
	assert.Assert(t, a.Sum() != b.Sum())
	b.Apply(a.Newer(b.Versions()))
	assert.Equal(t, a.Sum(), b.Sum())
	assert.Equal(t, len(a.Newer(b.Versions())), 0)
}

// A VM is leaving while its branch exists and is not deleted.
func TestLeavingVMs(t *testing.T) {
	r := NewReplica()
	assert.Equal(t, len(r.Apply([]Branch{{Name: VMPrefix + "x", Version: 1, Deleted: true}})), 0, "VMs that are not leaving must not be stored")
	r.Apply([]Branch{{Name: VMPrefix + "x", Version: 2}})
	assert.Assert(t, r.Leaving("x"))
	r.Apply([]Branch{{Name: VMPrefix + "x", Version: 3, Deleted: true}})
	assert.Assert(t, !r.Leaving("x"))
}

// BenchmarkEffective measures the effective settings for a routing decision. The cost must
// not grow with the number of models.
func BenchmarkEffective(b *testing.B) {
	for _, n := range []int{15, 150, 1800} {
		root := &Node{Set: Settings{DataCentres: dataCentres("a", "b")}, Children: map[string]*Node{}}
		for i := range n {
			root.Children[fmt.Sprintf("model/m%d", i)] = &Node{Model: &Model{Version: "1", Memory: 1}}
		}
		tree := New(Split(root))
		b.Run(fmt.Sprintf("models=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			c := Selector{Model: "m7", DataCentre: "a"}
			for b.Loop() {
				if _, ok := tree.Allowed(c); !ok {
					b.Fatal("not allowed")
				}
			}
		})
	}
}

func TestUnits(t *testing.T) {
	cases := []struct{ text, want string }{{"1.5s", "1.5s"}, {"0s", "0s"}}
	for _, tt := range cases {
		var d core.Duration
		assert.NilError(t, d.UnmarshalText([]byte(tt.text)))
		assert.Equal(t, time.Duration(d).String(), tt.want)
	}
	var b core.Bytes
	assert.NilError(t, b.UnmarshalText([]byte("14GB")))
	text, _ := b.MarshalText()
	assert.Equal(t, string(text), "14GB")
	assert.Assert(t, b.UnmarshalText([]byte("-1GB")) != nil)
	var d core.Duration
	assert.Assert(t, d.UnmarshalText([]byte("-1s")) != nil)
}

// BenchmarkApply measures the cost of applying one edit at the expected future size: 1,800
// models and 10,000 endpoints in 19 data centres.
func BenchmarkApply(b *testing.B) {
	r := NewReplica()
	put := func(name string, version uint64, n *Node) {
		data, _ := json.Marshal(BranchBody{Node: n})
		r.Apply([]Branch{{Name: name, Version: version, Body: data}})
	}
	var all []string
	for i := range 19 {
		all = append(all, fmt.Sprint("place-", i))
	}
	put(Root, 1, &Node{Set: Settings{DataCentres: &all}})
	for i, dataCentre := range all {
		n := &Node{Endpoints: map[string]Endpoint{}}
		for k := range 526 {
			n.Endpoints[fmt.Sprintf("e-%d-%d", i, k)] = Endpoint{Addr: "127.0.0.1:1", DataCentre: dataCentre, Kind: KindModel, Memory: 640e9, Slots: 64}
		}
		put("place/"+dataCentre, 1, n)
	}
	for i := range 1800 {
		put(fmt.Sprint("model/m", i), 1, &Node{Model: &Model{Version: "1", Memory: 10e9}})
	}
	edit := &Node{Model: &Model{Version: "1", Memory: 10e9}}
	b.ReportAllocs()
	version := uint64(1)
	for b.Loop() {
		version++
		edit.Set.Concurrency = int(version)
		put("model/m7", version, edit)
	}
}

// Guards against two faults of a tree over a configuration: the defaults of an empty tree
// lower the limits of the configuration, or nothing is served until a root is written.
func TestOverlayOnlyNarrows(t *testing.T) {
	r := NewReplica(WithOverlay())
	assert.Assert(t, r.Tree() == nil, "no branch or list has arrived yet")
	r.ApplyList(nil, 3)
	assert.Assert(t, r.Tree() != nil && r.Tree().Empty())
	e := r.Tree().Effective(Selector{Service: "s"})
	assert.Equal(t, e.Concurrency, 0)
	assert.Equal(t, e.Body, int64(0))
	assert.Equal(t, e.Deadline, time.Duration(0))
	assert.Assert(t, e.Repeatable && e.Allows("anywhere"))
	r.Apply([]Branch{{Name: "service/s", Version: 4, Body: stored(9)}})
	assert.Equal(t, r.Tree().Effective(Selector{Service: "s"}).Concurrency, 9)
	assert.Equal(t, r.Tree().Effective(Selector{Service: "other"}).Concurrency, 0)
}

// Guards against a deleted branch that reappears, or a new branch that is lost, when a list
// of the store is applied over branches that are newer than it.
func TestListDeletesMissingBranches(t *testing.T) {
	r := NewReplica(WithOverlay())
	r.Apply([]Branch{{Name: "service/old", Version: 4, Body: stored(4)}, {Name: "service/new", Version: 9, Body: stored(9)}})
	r.ApplyList([]Branch{{Name: "service/kept", Version: 5, Body: stored(5)}}, 7)
	nodes := r.Nodes()
	assert.Assert(t, nodes["service/old"] == nil && nodes["service/new"] != nil && nodes["service/kept"] != nil, "%v", nodes)
	r.Apply([]Branch{{Name: "service/old", Version: 4, Body: stored(4)}})
	assert.Assert(t, r.Nodes()["service/old"] == nil, "an older event has restored a deleted branch")
}

// Guards against edits that are refused because the tree does not describe a service
// although the underlying configuration does.
func TestOfferedByConfiguration(t *testing.T) {
	branches := map[string]*Node{"service/s": {Children: map[string]*Node{"model/m": {}}}}
	assert.Equal(t, len(Check(branches)), 2)
	offered := WithOffered(func(kind, name string) bool { return kind+"/"+name == "service/s" || kind+"/"+name == "model/m" })
	assert.Equal(t, len(Check(branches, offered)), 0, "%v", Check(branches, offered))
}
