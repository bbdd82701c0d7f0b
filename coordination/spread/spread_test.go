package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/coordination/member"
	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/protocol/peerv1/peerv1connect"
	"primroseward/standin/fuzz"
	"primroseward/state/tree"
)

func TestMain(m *testing.M) { fuzz.Main(m, 400, 60) }

// store is an in-memory platform that can be down or list an outdated state.
type store struct {
	core.Platform
	version    uint64
	objects    map[string]core.Object
	oldObjects []core.Object // listed while stale is set
	oldVersion uint64
	down       bool
	stale      bool
}

func (p *store) listObjects() ([]core.Object, uint64) {
	var out []core.Object
	for _, o := range p.objects {
		out = append(out, o)
	}
	return out, p.version
}

func (p *store) List(_ context.Context, kind string) ([]core.Object, uint64, error) {
	if p.down {
		return nil, 0, core.ErrUnavailable
	}
	if kind != core.KindTree {
		return nil, p.version, nil
	}
	if p.stale {
		return p.oldObjects, p.oldVersion, nil
	}
	objects, version := p.listObjects()
	return objects, version, nil
}

// accept edits a branch if the platform is up and the branch still has the version
// that the edit is based on.
func (p *store) accept(branch string, from uint64) bool {
	if p.down || p.objects[branch].Version != from {
		return false
	}
	p.version++
	body, _ := json.Marshal(tree.BranchBody{Node: &tree.Node{Set: tree.Settings{Concurrency: int(p.version)}}})
	p.objects[branch] = core.Object{Kind: core.KindTree, Name: tree.ObjectName(branch), Version: p.version, Body: body}
	return true
}

// node is a daemon. Its settings are in memory only.
type node struct {
	peerv1connect.PeerClient
	name         string
	replica      *tree.Replica
	spread       *Spreader
	lastVersions map[string]uint64 // versions at the last check since its start
}

func (n *node) Push(_ context.Context, r *connect.Request[peerv1.Branches]) (*connect.Response[peerv1.Empty], error) {
	n.spread.ApplyBranches(FromWire(r.Msg))
	return connect.NewResponse(&peerv1.Empty{}), nil
}

func (n *node) Pull(_ context.Context, r *connect.Request[peerv1.Versions]) (*connect.Response[peerv1.Branches], error) {
	return connect.NewResponse(n.spread.Newer(r.Msg)), nil
}

// unreachableClient is the client of an unreachable daemon.
type unreachableClient struct{ peerv1connect.PeerClient }

func (unreachableClient) Push(context.Context, *connect.Request[peerv1.Branches]) (*connect.Response[peerv1.Empty], error) {
	return nil, core.ErrUnavailable
}

func (unreachableClient) Pull(context.Context, *connect.Request[peerv1.Versions]) (*connect.Response[peerv1.Branches], error) {
	return nil, core.ErrUnavailable
}

const nodeCount = 4

// fleet is a platform and several daemons, some of which cannot reach each other.
type fleet struct {
	platform     *store
	nodes        [nodeCount]*node
	disconnected map[[2]int]bool
}

func newFleet() *fleet {
	f := &fleet{platform: &store{objects: map[string]core.Object{}}, disconnected: map[[2]int]bool{}}
	f.platform.accept(tree.Root, 0)
	f.platform.oldObjects, f.platform.oldVersion = f.platform.listObjects()
	for i := range nodeCount {
		f.start(i)
	}
	return f
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
}

// start starts a daemon without any settings.
func (f *fleet) start(i int) {
	clock := clockwork.NewFakeClock()
	testMember := func(k int) core.Member {
		return core.Member{Name: fmt.Sprint("n", k), DataCentre: "a", Peer: addrOf(k), Caller: addrOf(k), Incarnation: 1}
	}
	table := member.NewTable(clock, testMember(i))
	for k := range nodeCount {
		table.Merge(testMember(k))
	}
	n := &node{name: fmt.Sprint("n", i), replica: tree.NewReplica(), lastVersions: map[string]uint64{}}
	dial := func(to netip.AddrPort) peerv1connect.PeerClient {
		k := int(to.Port()) - 1
		if f.disconnected[nodePair(i, k)] {
			return unreachableClient{}
		}
		return f.nodes[k]
	}
	n.spread = New(n.replica, table, f.platform, dial, clock, zap.NewNop())
	f.nodes[i] = n
}

func nodePair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (f *fleet) drainPushes(i int) {
	n := f.nodes[i]
	for {
		select {
		case branches := <-n.spread.push:
			for _, m := range n.spread.pushTargets() {
				n.spread.pushTo(context.Background(), m, ToWire(branches))
			}
		default:
			return
		}
	}
}

// checkVersions fails the test if the version of any branch at a daemon has
// decreased since the daemon's start.
func (f *fleet) checkVersions(t *rapid.T) {
	for _, n := range f.nodes {
		versions := n.replica.Versions()
		for branch, last := range n.lastVersions {
			if versions[branch] < last {
				t.Fatalf("%s: %s went from %d to %d", n.name, branch, last, versions[branch])
			}
		}
		n.lastVersions = versions
	}
}

// Guards against narrowed settings that become valid again or never arrive. Edits
// race, daemons cannot reach each other and restart without settings, relays read
// outdated listings, the platform is down, and pushes and answers to edits are lost.
// During these faults no daemon returns to an older version. After they have ended,
// every daemon has exactly the settings that were accepted last.
func TestSettingsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		randomNode := func(t *rapid.T) int { return rapid.IntRange(0, nodeCount-1).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"": f.checkVersions,
			"edit": func(t *rapid.T) {
				i := randomNode(t)
				branch := rapid.SampledFrom([]string{tree.Root, "service/s", "model/m"}).Draw(t, "branch")
				from := f.platform.objects[branch].Version
				if rapid.IntRange(0, 3).Draw(t, "old") == 0 {
					from = f.nodes[i].replica.Versions()[branch]
				}
				if f.platform.accept(branch, from) && rapid.Bool().Draw(t, "answered") {
					o := f.platform.objects[branch]
					f.nodes[i].spread.ApplyBranches([]tree.Branch{{Name: branch, Version: o.Version, Body: o.Body}})
				}
			},
			"relay lists platform": func(t *rapid.T) { _, _ = f.nodes[randomNode(t)].spread.listPlatform(context.Background()) },
			"outdated event": func(t *rapid.T) {
				for _, o := range f.platform.oldObjects {
					f.nodes[randomNode(t)].spread.ApplyBranches(branchesOf(core.KindTree, core.Event{Object: o}))
				}
			},
			"delete": func(t *rapid.T) {
				if o, ok := f.platform.objects["model/m"]; ok && !f.platform.down {
					f.platform.version++
					delete(f.platform.objects, "model/m")
					o.Version = f.platform.version
					f.nodes[randomNode(t)].spread.ApplyBranches(branchesOf(core.KindTree, core.Event{Object: o, Deleted: true}))
				}
			},
			"push": func(t *rapid.T) { f.drainPushes(randomNode(t)) },
			"lose push": func(t *rapid.T) {
				select {
				case <-f.nodes[randomNode(t)].spread.push:
				default:
				}
			},
			"pull": func(t *rapid.T) {
				i, k := randomNode(t), randomNode(t)
				m, err := f.nodes[i].spread.members.Get(fmt.Sprint("n", k))
				assert.NilError(t, err)
				_ = f.nodes[i].spread.pullFrom(context.Background(), m)
			},
			"cut":     func(t *rapid.T) { f.disconnected[nodePair(randomNode(t), randomNode(t))] = rapid.Bool().Draw(t, "cut") },
			"restart": func(t *rapid.T) { f.start(randomNode(t)) },
			"platform": func(t *rapid.T) {
				f.platform.down = rapid.Bool().Draw(t, "down")
				f.platform.stale = rapid.Bool().Draw(t, "stale")
				if !f.platform.stale {
					f.platform.oldObjects, f.platform.oldVersion = f.platform.listObjects()
				}
			},
		})
		f.heal(t)
	})
}

// heal ends all faults, lets one relay read from the platform, and runs a few rounds
// of pushes and pulls. Then all daemons must have the accepted settings.
func (f *fleet) heal(t *rapid.T) {
	f.platform.down, f.platform.stale = false, false
	clear(f.disconnected)
	_, err := f.nodes[0].spread.listPlatform(context.Background())
	assert.NilError(t, err)
	for range 2 * nodeCount { // an update may have to go round the ring of daemons twice
		for i := range nodeCount {
			f.drainPushes(i)
			m, err := f.nodes[i].spread.members.Get(fmt.Sprint("n", (i+1)%nodeCount))
			assert.NilError(t, err)
			assert.NilError(t, f.nodes[i].spread.pullFrom(context.Background(), m))
		}
	}
	f.checkVersions(t)
	for _, n := range f.nodes {
		assert.DeepEqual(t, n.replica.Versions(), f.nodes[0].replica.Versions())
		inForce := n.replica.Nodes()
		assert.Equal(t, len(inForce), len(f.platform.objects), "%v", slices.Sorted(maps.Keys(inForce)))
		for branch, o := range f.platform.objects {
			assert.Equal(t, inForce[branch].Set.Concurrency, int(o.Version), branch)
		}
	}
}

// A member with equal settings adopts another's confirmation by the platform; one
// with different settings does not.
func TestEqualSettingsShareConfirmation(t *testing.T) {
	f := newFleet()
	_, err := f.nodes[0].spread.listPlatform(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, f.nodes[0].spread.SinceConfirmed(), time.Duration(0))
	assert.Assert(t, f.nodes[1].spread.SinceConfirmed() < 0)
	from := core.Member{Name: "n0"}
	f.nodes[1].spread.ReceiveState(from, f.nodes[0].replica.Sum(), time.Second)
	assert.Assert(t, f.nodes[1].spread.SinceConfirmed() < 0, "its settings differ")
	m, err := f.nodes[1].spread.members.Get("n0")
	assert.NilError(t, err)
	assert.NilError(t, f.nodes[1].spread.pullFrom(context.Background(), m))
	f.nodes[1].spread.ReceiveState(from, f.nodes[0].replica.Sum(), time.Second)
	assert.Equal(t, f.nodes[1].spread.SinceConfirmed(), time.Second)
}
