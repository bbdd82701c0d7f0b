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

// VMPrefix begins the names of entries that say which VMs are leaving. They
// travel with the settings.
const VMPrefix = "vm:"

// VMLeaving is the state of a VM that gets no new work.
const VMLeaving = "leaving"

// ObjectName is the store's name of a branch's object, which may hold no slash.
func ObjectName(branch string) string {
	if branch == Root {
		return "root"
	}
	return strings.Replace(branch, "/", ".", 1)
}

// BranchName is the reverse of ObjectName.
func BranchName(object string) string {
	if object == "root" {
		return Root
	}
	return strings.Replace(object, ".", "/", 1)
}

// Branch is one versioned branch as it is stored and spread.
type Branch struct {
	Name    string
	Version uint64
	Body    []byte
	Deleted bool
}

// BranchOf is the branch that a change of the store's objects tells of.
func BranchOf(e core.Event) Branch {
	return Branch{Name: BranchName(e.Object.Name), Version: e.Object.Version, Body: e.Object.Body, Deleted: e.Deleted}
}

// held is a branch with the last body that parsed.
type held struct {
	branch Branch
	node   *Node
	log    []Edit
}

// Replica keeps the branches that a daemon knows and the tree built from them.
// A branch's version never falls, whatever order messages arrive in.
type Replica struct {
	mu       sync.Mutex
	branches map[string]held
	problems map[string]string
	sum      atomic.Uint64
	current  atomic.Pointer[Tree]
	overlay  bool
}

// ReplicaOption changes a Replica.
type ReplicaOption func(*Replica)

// WithOverlay is for a tree over a configuration that names the services,
// their models and their limits: the tree only narrows what that one allows. It
// is in force without a root, and brings no limits of its own where no node
// says so.
func WithOverlay() ReplicaOption { return func(s *Replica) { s.overlay = true } }

// NewReplica returns an empty replica.
func NewReplica(opts ...ReplicaOption) *Replica {
	s := &Replica{branches: map[string]held{}, problems: map[string]string{}}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Tree returns the tree in force; nil until the root branch is known, or until
// anything is known of a tree over a configuration.
func (s *Replica) Tree() *Tree { return s.current.Load() }

// InForce is Tree, but nil as well where the tree says nothing.
func (s *Replica) InForce() *Tree {
	if t := s.Tree(); t != nil && !t.Empty() {
		return t
	}
	return nil
}

// Sum returns a digest of all versions; equal sums mean equal settings.
func (s *Replica) Sum() uint64 { return s.sum.Load() }

// Apply takes in those branches that are newer than what is held and returns
// them. A branch of wrong shape keeps the node that was in force: a fault of
// another writer must not take down what works.
func (s *Replica) Apply(branches []Branch) []Branch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []Branch
	for _, b := range branches {
		if s.applyOne(b) {
			taken = append(taken, b)
		}
	}
	if len(taken) > 0 {
		s.rebuild()
	}
	return taken
}

// Adopt takes in the store's whole list of branches as of a version. A branch
// that is missing there has been deleted, unless it is newer than the list.
func (s *Replica) Adopt(branches []Branch, version uint64) []Branch {
	s.mu.Lock()
	listed := make(map[string]bool, len(branches))
	for _, b := range branches {
		listed[b.Name] = true
	}
	for name, h := range s.branches {
		if !listed[name] && h.branch.Version < version && !strings.HasPrefix(name, VMPrefix) {
			branches = append(branches, Branch{Name: name, Version: version, Deleted: true})
		}
	}
	s.mu.Unlock()
	taken := s.Apply(branches)
	if s.overlay && s.Tree() == nil {
		s.mu.Lock()
		s.rebuild()
		s.mu.Unlock()
	}
	return taken
}

func (s *Replica) applyOne(b Branch) bool {
	have, ok := s.branches[b.Name]
	if ok && b.Version <= have.branch.Version {
		return false
	}
	if !ok && b.Deleted && strings.HasPrefix(b.Name, VMPrefix) {
		return false // one of the many VMs that never left
	}
	next := held{branch: b, node: have.node, log: have.log}
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

func (s *Replica) rebuild() {
	nodes := map[string]*Node{}
	for name, h := range s.branches {
		nodes[name] = h.node
	}
	s.sum.Store(sumOf(s.branches))
	switch {
	case s.overlay:
		s.current.Store(NewOverlay(nodes))
	case nodes[Root] != nil:
		s.current.Store(New(nodes))
	}
}

func sumOf(branches map[string]held) uint64 {
	var sum uint64
	var buf [8]byte
	for name, h := range branches {
		binary.LittleEndian.PutUint64(buf[:], h.branch.Version)
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
	for name, h := range s.branches {
		if h.node != nil {
			out[name] = h.node
		}
	}
	return out
}

// Versions returns the version held of each branch.
func (s *Replica) Versions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.branches))
	for name, h := range s.branches {
		out[name] = h.branch.Version
	}
	return out
}

// Leaving says whether the platform lists a VM as leaving.
func (s *Replica) Leaving(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.branches[VMPrefix+vm]
	return ok && !h.branch.Deleted
}

// Newer returns the branches that are newer here than in versions.
func (s *Replica) Newer(versions map[string]uint64) []Branch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Branch
	for name, h := range s.branches {
		if h.branch.Version > versions[name] {
			out = append(out, h.branch)
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

// Problems returns the faults of stored branches that are not in force.
func (s *Replica) Problems() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, name := range sortedKeys(s.problems) {
		out = append(out, s.problems[name])
	}
	return out
}
