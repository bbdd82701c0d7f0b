package tree

import (
	"encoding/binary"
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"primroseward/core"
)

// VMPrefix is the prefix of the names of branches that say which VMs are leaving. They
// are distributed with the settings.
const VMPrefix = "vm:"

// VMLeaving is the state of a VM that gets no new work.
const VMLeaving = "leaving"

// ObjectName returns the name of a branch's object in the store, where names must not
// contain a slash.
func ObjectName(branch string) string {
	if branch == Root {
		return "root"
	}
	return strings.Replace(branch, "/", ".", 1)
}

// BranchName returns the name of the branch of a stored object. It is the inverse of
// ObjectName.
func BranchName(object string) string {
	if object == "root" {
		return Root
	}
	return strings.Replace(object, ".", "/", 1)
}

// Branch is one versioned branch as it is stored and sent between daemons.
type Branch struct {
	Name    string
	Version uint64
	Body    []byte
	Deleted bool
}

// BranchOf returns the branch of a change event of the store.
func BranchOf(e core.Event) Branch {
	return Branch{Name: BranchName(e.Object.Name), Version: e.Object.Version, Body: e.Object.Body, Deleted: e.Deleted}
}

// branchState is a branch with the node and the log of its last valid body.
type branchState struct {
	branch Branch
	node   *Node // nil for a deleted branch
	log    []Edit
}

// Replica is a daemon's copy of the branches and the tree built from them. The version of
// a branch never decreases, in whatever order messages arrive.
type Replica struct {
	mu       sync.Mutex
	branches map[string]branchState
	problems map[string]string // by branch, of stored bodies that are not in force
	sum      atomic.Uint64
	current  atomic.Pointer[Tree]
	overlay  bool
}

// ReplicaOption configures a Replica.
type ReplicaOption func(*Replica)

// WithOverlay is for a tree over a configuration that has the services, their models and
// their limits: the tree only narrows what the configuration allows. Such a tree is in
// force without a root, and sets no limits of its own where no node does.
func WithOverlay() ReplicaOption { return func(s *Replica) { s.overlay = true } }

// NewReplica returns an empty replica.
func NewReplica(opts ...ReplicaOption) *Replica {
	s := &Replica{branches: map[string]branchState{}, problems: map[string]string{}}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Tree returns the tree in force. It is nil until the root branch has arrived or, for a
// tree over a configuration, until any branch or list of branches has arrived.
func (s *Replica) Tree() *Tree { return s.current.Load() }

// InForce is like Tree, but also returns nil if the tree has no nodes.
func (s *Replica) InForce() *Tree {
	if t := s.Tree(); t != nil && !t.Empty() {
		return t
	}
	return nil
}

// Sum returns a hash of all branch names and versions. Equal sums mean equal settings.
func (s *Replica) Sum() uint64 { return s.sum.Load() }

// Apply stores the branches that are newer than the stored ones and returns them. If the
// body of a branch is invalid, the node that was in force stays in force: an error of
// another writer must not break settings that work.
func (s *Replica) Apply(branches []Branch) []Branch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var applied []Branch
	for _, b := range branches {
		if s.applyOne(b) {
			applied = append(applied, b)
		}
	}
	if len(applied) > 0 {
		s.rebuild()
	}
	return applied
}

// ApplyList applies the store's complete list of branches as of a version and returns the
// branches that changed. A branch that is not in the list has been deleted, unless it is
// newer than the list.
func (s *Replica) ApplyList(branches []Branch, version uint64) []Branch {
	s.mu.Lock()
	listed := make(map[string]bool, len(branches))
	for _, b := range branches {
		listed[b.Name] = true
	}
	for name, state := range s.branches {
		if !listed[name] && state.branch.Version < version && !strings.HasPrefix(name, VMPrefix) {
			branches = append(branches, Branch{Name: name, Version: version, Deleted: true})
		}
	}
	s.mu.Unlock()
	applied := s.Apply(branches)
	if s.overlay && s.Tree() == nil {
		s.mu.Lock()
		s.rebuild()
		s.mu.Unlock()
	}
	return applied
}

// applyOne stores a branch if it is newer and reports whether it did. The caller holds
// the lock.
func (s *Replica) applyOne(b Branch) bool {
	old, ok := s.branches[b.Name]
	if ok && b.Version <= old.branch.Version {
		return false
	}
	if !ok && b.Deleted && strings.HasPrefix(b.Name, VMPrefix) {
		return false // an event for one of the many VMs that have never been leaving; not stored
	}
	next := branchState{branch: b, node: old.node, log: old.log}
	delete(s.problems, b.Name)
	if b.Deleted || strings.HasPrefix(b.Name, VMPrefix) {
		next.node = nil
		s.branches[b.Name] = next
		return true
	}
	stored, err := ParseBranch(b.Body)
	if err != nil {
		s.problems[b.Name] = fmt.Sprintf("branch %s version %d is not in force: %v", b.Name, b.Version, err)
	} else {
		next.node = stored.Node
		next.log = stored.Log
	}
	s.branches[b.Name] = next
	return true
}

// rebuild replaces the tree in force and the sum. The caller holds the lock.
func (s *Replica) rebuild() {
	nodes := map[string]*Node{}
	for name, state := range s.branches {
		nodes[name] = state.node
	}
	s.sum.Store(sumOf(s.branches))
	switch {
	case s.overlay:
		s.current.Store(NewOverlay(nodes))
	case nodes[Root] != nil:
		s.current.Store(New(nodes))
	}
}

func sumOf(branches map[string]branchState) uint64 {
	var sum uint64
	var buf [8]byte
	for name, state := range branches {
		binary.LittleEndian.PutUint64(buf[:], state.branch.Version)
		d := xxhash.New()
		_, _ = d.WriteString(name)
		_, _ = d.Write(buf[:])
		sum ^= d.Sum64()
	}
	return sum
}

// Nodes returns the nodes in force by branch.
func (s *Replica) Nodes() map[string]*Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]*Node{}
	for name, state := range s.branches {
		if state.node != nil {
			out[name] = state.node
		}
	}
	return out
}

// Versions returns the stored version of each branch.
func (s *Replica) Versions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.branches))
	for name, state := range s.branches {
		out[name] = state.branch.Version
	}
	return out
}

// Leaving reports whether the platform lists a VM as leaving.
func (s *Replica) Leaving(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.branches[VMPrefix+vm]
	return ok && !state.branch.Deleted
}

// Newer returns the branches whose stored version is higher than in versions, sorted by
// name.
func (s *Replica) Newer(versions map[string]uint64) []Branch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Branch
	for name, state := range s.branches {
		if state.branch.Version > versions[name] {
			out = append(out, state.branch)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Log returns the edits kept with a branch, newest first.
func (s *Replica) Log(branch string) []Edit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.branches[branch].log
}

// Problems returns the errors of stored branches that are not in force, sorted by branch.
func (s *Replica) Problems() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, name := range sortedKeys(s.problems) {
		out = append(out, s.problems[name])
	}
	return out
}
