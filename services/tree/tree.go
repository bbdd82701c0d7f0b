// Package tree implements the operators' calls on the settings tree and on the system's status.
package tree

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"github.com/rotisserie/eris"

	"primroseward/core"
	"primroseward/io/strict"
	"primroseward/state/tree"
)

// Service edits and reads the settings tree.
type Service struct {
	replica  *tree.Replica
	platform core.Platform
	taker    BranchApplier
	clock    core.Clock
	offered  func(kind, name string) bool
}

// BranchApplier applies the branches that an edit has written.
type BranchApplier interface {
	ApplyBranches([]tree.Branch)
}

// Option configures a Service.
type Option func(*Service)

// WithOffered sets the function that reports whether the configuration below the tree describes
// a service or a model.
func WithOffered(offered func(kind, name string) bool) Option {
	return func(s *Service) { s.offered = offered }
}

// New returns a Service.
func New(replica *tree.Replica, platform core.Platform, taker BranchApplier, clock core.Clock, opts ...Option) *Service {
	s := &Service{replica: replica, platform: platform, taker: taker, clock: clock, offered: func(string, string) bool { return false }}
	for _, o := range opts {
		o(s)
	}
	return s
}

// NodeState is a node of the tree as it was read or written.
type NodeState struct {
	Path    string      `json:"path"`
	Branch  string      `json:"branch"`
	Version uint64      `json:"version"`
	Node    *tree.Node  `json:"node"`
	Log     []tree.Edit `json:"log,omitempty"`
	// Stale is set if the platform is unavailable and the node is the one in force at the
	// daemon that answers.
	Stale bool `json:"stale,omitempty"`
}

// Versions returns the version of each branch at this daemon.
func (s *Service) Versions() map[string]uint64 { return s.replica.Versions() }

// Edit is a change that an operator requests. A nil node deletes the path.
type Edit struct {
	Path    string
	Version uint64 // of the branch that the operator has read; 0: the branch must not exist
	Node    *tree.Node
	By      string
	Note    string
}

// ConflictError is the error of an edit whose version was not the newest. It contains what the
// competing edit has written. It matches core.ErrConflict.
type ConflictError struct {
	Winner NodeState
}

func (l *ConflictError) Error() string {
	by := "someone"
	if len(l.Winner.Log) > 0 {
		by = l.Winner.Log[0].By + " at " + l.Winner.Log[0].Path
	}
	return fmt.Sprintf("branch %s is at version %d now, changed by %s", l.Winner.Branch, l.Winner.Version, by)
}

// Is makes errors.Is(l, core.ErrConflict) true.
func (l *ConflictError) Is(target error) bool { return target == core.ErrConflict }

func parsePath(path string) (tree.Path, error) {
	p, ok := tree.ParsePath(path)
	if !ok {
		return nil, strict.Problems{{Path: "path", Text: fmt.Sprintf("want /service/NAME, /model/NAME or /place/NAME and so on, got %q", path)}}
	}
	return p, nil
}

// Get reads a node from the platform or, while the platform is unavailable, from memory.
func (s *Service) Get(ctx context.Context, path string) (NodeState, error) {
	p, err := parsePath(path)
	if err != nil {
		return NodeState{}, err
	}
	got, stored, err := s.read(ctx, p)
	if errors.Is(err, core.ErrUnavailable) {
		return s.getLocal(p)
	}
	if err != nil {
		return NodeState{}, err
	}
	if got.Node = find(stored.Node, p); got.Node == nil {
		return got, core.ErrNotFound
	}
	return got, nil
}

// getLocal reads a node from this daemon's replica of the tree.
func (s *Service) getLocal(p tree.Path) (NodeState, error) {
	branch := p.Branch()
	got := NodeState{Path: p.String(), Branch: branch, Version: s.replica.Versions()[branch], Log: s.replica.Log(branch), Stale: true}
	if got.Node = find(s.replica.Nodes()[branch], p); got.Node == nil {
		return got, core.ErrNotFound
	}
	return got, nil
}

// find returns the node at a path in its branch.
func find(branch *tree.Node, p tree.Path) *tree.Node {
	if len(p) == 0 {
		return branch
	}
	return branch.Find(p[1:])
}

func (s *Service) read(ctx context.Context, p tree.Path) (NodeState, *tree.BranchBody, error) {
	got := NodeState{Path: p.String(), Branch: p.Branch()}
	o, err := s.platform.Get(ctx, core.KindTree, tree.ObjectName(got.Branch))
	if err != nil {
		return got, nil, err
	}
	stored, err := tree.ParseBranch(o.Body)
	if err != nil {
		return got, nil, eris.Wrapf(core.ErrInvalid, "branch %s as stored: %v", got.Branch, err)
	}
	got.Version = o.Version
	got.Log = stored.Log
	return got, stored, nil
}

// Set makes an edit and returns the branch's new version.
func (s *Service) Set(ctx context.Context, e Edit) (NodeState, error) {
	p, err := parsePath(e.Path)
	if err != nil {
		return NodeState{}, err
	}
	o, stored, err := s.readForEdit(ctx, p)
	if err != nil {
		return NodeState{}, err
	}
	if o.Version != e.Version {
		return NodeState{}, s.conflict(p, o, stored)
	}
	next, err := s.apply(p, stored, e)
	if err != nil {
		return NodeState{}, err
	}
	return s.write(ctx, p, o, next)
}

// readForEdit reads a branch as it is stored. It returns an empty branch if the stored one is
// missing or cannot be read by this version of the daemon.
func (s *Service) readForEdit(ctx context.Context, p tree.Path) (core.Object, *tree.BranchBody, error) {
	name := tree.ObjectName(p.Branch())
	o, err := s.platform.Get(ctx, core.KindTree, name)
	if errors.Is(err, core.ErrNotFound) {
		return core.Object{Kind: core.KindTree, Name: name}, &tree.BranchBody{}, nil
	}
	if err != nil {
		return o, nil, err
	}
	stored, err := tree.ParseBranch(o.Body)
	if err != nil {
		return o, &tree.BranchBody{}, nil
	}
	return o, stored, nil
}

// apply applies an edit to a branch, and refuses it if it introduces problems into the tree.
// Problems that existed before do not prevent an edit elsewhere.
func (s *Service) apply(p tree.Path, stored *tree.BranchBody, e Edit) (*tree.BranchBody, error) {
	node, err := replace(stored.Node, p, e.Node)
	if err != nil {
		return nil, err
	}
	if node == nil {
		return nil, eris.Wrap(core.ErrInvalid, "a top-level branch cannot be deleted; set it to {} to empty it")
	}
	nodes := s.replica.Nodes()
	before := tree.Check(nodes, tree.WithOffered(s.offered))
	nodes = maps.Clone(nodes)
	nodes[p.Branch()] = node
	if added := newProblems(before, tree.Check(nodes, tree.WithOffered(s.offered))); len(added) > 0 {
		return nil, added
	}
	next := &tree.BranchBody{Node: node, Log: stored.Log}
	next.Add(tree.Edit{At: s.clock.Now().UTC(), By: e.By, Path: p.String(), Note: e.Note})
	return next, nil
}

func newProblems(before, after strict.Problems) strict.Problems {
	known := map[strict.Problem]bool{}
	for _, p := range before {
		known[p] = true
	}
	var out strict.Problems
	for _, p := range after {
		if !known[p] {
			out = append(out, p)
		}
	}
	return out
}

// replace returns a copy of the branch with the node at p replaced.
func replace(branch *tree.Node, p tree.Path, node *tree.Node) (*tree.Node, error) {
	if len(p) <= 1 {
		return node, nil
	}
	if branch == nil {
		branch = &tree.Node{}
	}
	top := *branch
	top.Children = maps.Clone(branch.Children)
	if top.Children == nil {
		top.Children = map[string]*tree.Node{}
	}
	elem := p[1]
	child, err := replace(top.Children[elem], p[1:], node)
	if err != nil {
		return nil, err
	}
	if child == nil {
		delete(top.Children, elem)
		return &top, nil
	}
	top.Children[elem] = child
	return &top, nil
}

func (s *Service) write(ctx context.Context, p tree.Path, o core.Object, next *tree.BranchBody) (NodeState, error) {
	body, err := json.Marshal(next)
	if err != nil {
		return NodeState{}, eris.Wrap(core.ErrInvalid, err.Error())
	}
	o.Body = body
	var written core.Object
	if o.Version == 0 {
		written, err = s.platform.Create(ctx, o)
	} else {
		written, err = s.platform.Update(ctx, o)
	}
	switch {
	case errors.Is(err, core.ErrOverwritten):
		// The edit was written and then overwritten by a later edit, which is the one that counts.
	case errors.Is(err, core.ErrConflict), errors.Is(err, core.ErrExists):
		newest, stored, readErr := s.readForEdit(ctx, p)
		if readErr != nil {
			return NodeState{}, err
		}
		return NodeState{}, s.conflict(p, newest, stored)
	case err != nil:
		return NodeState{}, err
	}
	s.taker.ApplyBranches([]tree.Branch{{Name: p.Branch(), Version: written.Version, Body: written.Body}})
	return NodeState{Path: p.String(), Branch: p.Branch(), Version: written.Version, Node: find(next.Node, p), Log: next.Log}, nil
}

func (s *Service) conflict(p tree.Path, o core.Object, stored *tree.BranchBody) error {
	return &ConflictError{Winner: NodeState{Path: p.String(), Branch: p.Branch(), Version: o.Version, Node: find(stored.Node, p), Log: stored.Log}}
}

// Apply writes a whole tree, branch by branch, starting with the root. Branches that equal the
// stored ones are not written.
func (s *Service) Apply(ctx context.Context, root *tree.Node, by string) ([]NodeState, error) {
	branches := tree.Split(root)
	if problems := tree.Check(branches, tree.WithOffered(s.offered)); len(problems) > 0 {
		return nil, problems
	}
	var out []NodeState
	for _, name := range tree.WriteOrder(branches) {
		got, err := s.applyBranch(ctx, name, branches[name], by)
		if err != nil {
			return out, eris.Wrapf(err, "branch %s (%d branches were written before)", name, len(out))
		}
		if got.Version > 0 {
			out = append(out, got)
		}
	}
	return out, nil
}

func (s *Service) applyBranch(ctx context.Context, name string, node *tree.Node, by string) (NodeState, error) {
	p, err := parsePath(name)
	if err != nil {
		return NodeState{}, err
	}
	o, stored, err := s.readForEdit(ctx, p)
	if err != nil {
		return NodeState{}, err
	}
	old, _ := json.Marshal(stored.Node)
	wanted, _ := json.Marshal(node)
	if o.Version > 0 && string(old) == string(wanted) {
		return NodeState{}, nil
	}
	next := &tree.BranchBody{Node: node, Log: stored.Log}
	next.Add(tree.Edit{At: s.clock.Now().UTC(), By: by, Path: p.String(), Note: "whole tree"})
	return s.write(ctx, p, o, next)
}

// Explanation holds the settings in force for a selector, at one daemon.
type Explanation struct {
	Service    string            `json:"service,omitempty"`
	Model      string            `json:"model,omitempty"`
	DataCentre string            `json:"place,omitempty"`
	Allowed    bool              `json:"allowed"`
	Values     map[string]any    `json:"values"`
	Origin     map[string]string `json:"origin"` // field to path of the node that sets it; missing: default
}

// Explain returns the settings in force for a selector, and for each the node that sets it.
func (s *Service) Explain(c tree.Selector) (Explanation, error) {
	t := s.replica.Tree()
	if t == nil {
		return Explanation{}, core.ErrUnavailable
	}
	if c.Model != "" {
		if _, ok := t.Model(c.Model); !ok && !s.offered(tree.ElemModel, c.Model) {
			return Explanation{}, eris.Wrapf(core.ErrNotFound, "model %q", c.Model)
		}
		if c.Service == "" {
			c.Service = t.ServiceOf(c.Model)
		}
	}
	if _, ok := t.Service(c.Service); !ok && c.Service != "" && !s.offered(tree.ElemService, c.Service) {
		return Explanation{}, eris.Wrapf(core.ErrNotFound, "service %q", c.Service)
	}
	e := t.Effective(c)
	out := Explanation{Service: c.Service, Model: c.Model, DataCentre: c.DataCentre, Allowed: c.DataCentre == "" || e.Allows(c.DataCentre), Origin: e.Origin}
	out.Values = map[string]any{
		"places":      dataCentresOf(e),
		"concurrency": e.Concurrency,
		"rate":        e.Rate,
		"body":        core.Bytes(e.Body),
		"deadline":    e.Deadline.String(),
		"stall":       e.StallTimeout.String(),
		"class":       e.Class,
		"repeat":      e.Repeatable,
		"fresh":       e.MaxUnconfirmed.String(),
		"moves":       e.MoveCost,
		"attainment":  e.Attainment,
	}
	for _, class := range core.Classes {
		out.Values["targets."+string(class)] = e.Target(class).String()
	}
	return out, nil
}

func dataCentresOf(e *tree.Effective) any {
	if e.AnyDataCentre {
		return "any"
	}
	return e.DataCentres
}
