package tree

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"primroseward/core"
	"primroseward/io/strict"
)

// Edit is one accepted change, kept with its branch.
type Edit struct {
	At   time.Time `json:"at"`
	By   string    `json:"by"`
	Path string    `json:"path"`
	Note string    `json:"note,omitempty"`
}

// maxLog bounds the edits kept with a branch.
const maxLog = 10

// BranchBody is the body of a branch's object.
type BranchBody struct {
	Node *Node  `json:"node"`
	Log  []Edit `json:"log"` // newest first
}

// Add prepends an edit to the log and drops the oldest beyond maxLog.
func (s *BranchBody) Add(e Edit) {
	s.Log = append([]Edit{e}, s.Log...)
	s.Log = s.Log[:min(len(s.Log), maxLog)]
}

// ParseBranch decodes the body of a branch. Its error lists all faults of the JSON
// structure.
func ParseBranch(body []byte) (*BranchBody, error) {
	s := &BranchBody{}
	if err := strict.Decode(body, s); err != nil {
		return nil, err
	}
	if s.Node == nil {
		return nil, strict.Problems{{Path: "node", Text: "must be set"}}
	}
	return s, nil
}

// ParseNode decodes a node as an operator writes it.
func ParseNode(body []byte) (*Node, error) {
	n := &Node{}
	if err := strict.Decode(body, n); err != nil {
		return nil, err
	}
	return n, nil
}

// Split splits a whole tree, given as its root node, into branches.
func Split(root *Node) map[string]*Node {
	out := map[string]*Node{}
	top := *root
	top.Children = nil
	out[Root] = &top
	for elem, child := range root.Children {
		out[elem] = child
	}
	return out
}

// CheckOption configures what Check reports as a fault.
type CheckOption func(*checker)

// WithOffered is for a tree over a configuration: offered reports whether the
// configuration describes a service or a model.
func WithOffered(offered func(kind, name string) bool) CheckOption {
	return func(c *checker) { c.offered = offered }
}

// Check returns all faults of a tree: children that widen the settings of their parents,
// names that refer to nothing, duplicate descriptions and values out of range.
func Check(branches map[string]*Node, opts ...CheckOption) strict.Problems {
	c := checker{tree: New(branches), dataCentres: map[string]bool{}, offered: func(string, string) bool { return false }}
	for _, o := range opts {
		o(&c)
	}
	if root := branches[Root]; root != nil && root.Set.DataCentres != nil {
		for _, p := range *root.Set.DataCentres {
			c.dataCentres[p] = true
		}
	}
	for _, n := range c.tree.nodes {
		c.node(n.path, n.node)
	}
	c.unique()
	return c.found
}

type checker struct {
	tree        *Tree
	dataCentres map[string]bool // named at the root; empty: any
	offered     func(kind, name string) bool
	found       strict.Problems
}

func (c *checker) add(p Path, field, format string, args ...any) {
	c.found = append(c.found, strict.Problem{Path: p.String() + " " + field, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) node(p Path, n *Node) {
	kind, name := p.last()
	if len(p) > 0 && !validElem(kind, name) {
		c.add(p, "(name)", "want service/NAME, model/NAME or place/NAME")
	}
	if kind == ElemDataCentre && !c.knownDataCentre(name) {
		c.add(p, "(name)", "place %q is not among the root's places", name)
	}
	c.values(p, &n.Set)
	c.narrows(p, &n.Set)
	c.model(p, n)
	c.service(p, n)
	for _, id := range sortedKeys(n.Endpoints) {
		c.endpoint(p, id, n.Endpoints[id])
	}
	if n.Store != nil && len(p) > 0 {
		c.add(p, "store", "belongs to the root")
	}
	if n.Store != nil && (n.Store.Rate <= 0 || n.Store.Slots <= 0) {
		c.add(p, "store", "rate and slots must be above zero")
	}
}

func (c *checker) knownDataCentre(name string) bool {
	return len(c.dataCentres) == 0 || c.dataCentres[name]
}

func (c *checker) values(p Path, s *Settings) {
	if s.Concurrency < 0 || s.Rate < 0 || s.MoveCost < 0 || s.Attainment < 0 {
		c.add(p, "set", "limits and weights must not be negative")
	}
	if s.Class != "" && !s.Class.Valid() {
		c.add(p, "set.class", "unknown class %q; want urgent, normal or batch", s.Class)
	}
	for _, class := range sortedKeys(s.Targets) {
		if !core.Class(class).Valid() {
			c.add(p, "set.targets", "unknown class %q; want urgent, normal or batch", class)
		}
	}
	if s.DataCentres == nil {
		return
	}
	for _, dataCentre := range *s.DataCentres {
		if len(p) > 0 && !c.knownDataCentre(dataCentre) {
			c.add(p, "set.places", "place %q is not among the root's places", dataCentre)
		}
	}
}

// narrows checks that a node only narrows the fold of its ancestors. When an ancestor is
// narrowed later, the nodes below it need no edit, since the fold intersects in any case.
func (c *checker) narrows(p Path, s *Settings) {
	if len(p) == 0 {
		return
	}
	parent := defaults()
	for _, n := range c.tree.nodes {
		if len(n.path) < len(p) && slices.Equal(n.path, p[:len(n.path)]) {
			parent.fold(n.path.String(), &n.node.Set)
		}
	}
	if s.DataCentres != nil && !parent.AnyDataCentre {
		for _, dataCentre := range *s.DataCentres {
			if !parent.Allows(dataCentre) {
				c.add(p, "set.places", "widens: has %q, %s allows %v", dataCentre, parent.Origin["places"], parent.DataCentres)
			}
		}
	}
	widens(c, p, parent, "concurrency", s.Concurrency, parent.Concurrency)
	widens(c, p, parent, "rate", s.Rate, parent.Rate)
	widens(c, p, parent, "body", int64(s.Body), parent.Body)
	widens(c, p, parent, "deadline", time.Duration(s.Deadline), parent.Deadline)
	widens(c, p, parent, "stall", time.Duration(s.StallTimeout), parent.StallTimeout)
	widens(c, p, parent, "fresh", time.Duration(s.MaxUnconfirmed), parent.MaxUnconfirmed)
	widens(c, p, parent, "attainment", s.Attainment, parent.Attainment)
	for _, class := range sortedKeys(s.Targets) {
		widens(c, p, parent, "targets."+class, time.Duration(s.Targets[class]), parent.Target(core.Class(class)))
	}
	if s.Repeatable != nil && *s.Repeatable && !parent.Repeatable {
		c.add(p, "set.repeat", "widens: true, %s has false", parent.Origin["repeat"])
	}
	if s.MoveCost > 0 && parent.Origin["moves"] != "" && s.MoveCost < parent.MoveCost {
		c.add(p, "set.moves", "widens: %v, %s has %v", s.MoveCost, parent.Origin["moves"], parent.MoveCost)
	}
	if s.Class != "" && parent.Origin["class"] != "" && s.Class.Rank() < parent.Class.Rank() {
		c.add(p, "set.class", "widens: %s, %s has %s", s.Class, parent.Origin["class"], parent.Class)
	}
}

// widens adds a fault if a node sets a limit v above that of its parent.
func widens[N int | int64 | float64 | time.Duration](c *checker, p Path, parent *Effective, field string, v, limit N) {
	if v > 0 && parent.Origin[field] != "" && v > limit {
		c.add(p, "set."+field, "widens: %v, %s has %v", v, parent.Origin[field], limit)
	}
}

func (c *checker) model(p Path, n *Node) {
	kind, name := p.last()
	if n.Model == nil {
		if _, known := c.tree.models[name]; kind == ElemModel && !known && !c.offered(kind, name) {
			c.add(p, "model", "model %q is described nowhere", name)
		}
		return
	}
	if kind != ElemModel {
		c.add(p, "model", "only model nodes describe a model")
	}
	if n.Model.Version == "" {
		c.add(p, "model.version", "must be set")
	}
	if n.Model.Memory <= 0 {
		c.add(p, "model.memory", "must be above zero")
	}
	if n.Model.Base == "" {
		return
	}
	base, ok := c.tree.models[n.Model.Base]
	if !ok {
		c.add(p, "model.base", "model %q is described nowhere", n.Model.Base)
	}
	if base.Base != "" {
		c.add(p, "model.base", "%q is itself an adapter", n.Model.Base)
	}
}

func (c *checker) service(p Path, n *Node) {
	kind, name := p.last()
	if n.Service == nil {
		if _, known := c.tree.services[name]; kind == ElemService && !known && !c.offered(kind, name) {
			c.add(p, "service", "service %q is described nowhere", name)
		}
		return
	}
	if kind != ElemService {
		c.add(p, "service", "only service nodes describe a service")
	}
	if n.Service.Kind != KindModel && n.Service.Kind != KindPlain {
		c.add(p, "service.kind", "want model or plain, got %q", n.Service.Kind)
	}
	for i, rule := range n.Service.Calls {
		if rule.Method == "" || !strings.HasPrefix(rule.Path, "/") {
			c.add(p, fmt.Sprintf("service.calls[%d]", i), "want a method and a path that begins with /")
		}
	}
}

func (c *checker) endpoint(p Path, id string, e Endpoint) {
	field := "endpoints." + id
	if _, err := netip.ParseAddrPort(e.Addr); err != nil {
		c.add(p, field+".addr", "want IP:port, got %q", e.Addr)
	}
	if e.DataCentre == "" || !c.knownDataCentre(e.DataCentre) {
		c.add(p, field+".place", "place %q is not among the root's places", e.DataCentre)
	}
	if e.Slots <= 0 {
		c.add(p, field+".slots", "must be above zero")
	}
	switch e.Kind {
	case KindModel:
		if e.Memory <= 0 || e.Cache < 0 || e.Cache >= e.Memory {
			c.add(p, field+".memory", "must be above zero and above cache")
		}
	case KindPlain:
		if _, ok := c.tree.services[e.Service]; !ok {
			c.add(p, field+".service", "service %q is described nowhere", e.Service)
		}
	default:
		c.add(p, field+".kind", "want model or plain, got %q", e.Kind)
	}
}

// unique checks that no endpoint, model or service is described twice. Otherwise the order
// of the branches would decide which description is in force.
func (c *checker) unique() {
	seen := map[string]Path{}
	record := func(p Path, key string) {
		if first, found := seen[key]; found {
			c.add(p, key, "described already at %s", first)
			return
		}
		seen[key] = p
	}
	for _, n := range c.tree.nodes {
		kind, name := n.path.last()
		if n.node.Model != nil {
			record(n.path, kind+" "+name)
		}
		if n.node.Service != nil {
			record(n.path, kind+" "+name)
		}
		for _, id := range sortedKeys(n.node.Endpoints) {
			record(n.path, "endpoints."+id)
		}
	}
}
