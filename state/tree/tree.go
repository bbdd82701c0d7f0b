package tree

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"primroseward/core"
)

// Default settings, in force where no node sets a value.
const (
	defaultConcurrency = 1000
	defaultBody        = 8 << 20
	defaultDeadline    = 5 * time.Minute
	defaultStall       = 30 * time.Second
	defaultTarget      = 10 * time.Second
)

// pathNode is one node with its path from the root.
type pathNode struct {
	path Path
	node *Node
}

// Tree is one immutable version of the settings. It is safe for concurrent use.
type Tree struct {
	nodes      []pathNode // parents before children
	models     map[string]Model
	services   map[string]Service
	endpoints  map[string]Endpoint
	servicesOf map[string][]string // model to the services that have a node for it below them
	store      Store
	overlay    bool     // see NewOverlay
	cache      sync.Map // Selector to *Effective
}

// New builds a tree from its branches. A nil branch counts as absent.
func New(branches map[string]*Node) *Tree {
	t := &Tree{
		models:     map[string]Model{},
		services:   map[string]Service{},
		endpoints:  map[string]Endpoint{},
		servicesOf: map[string][]string{},
		store:      Store{Rate: 2, Slots: 4},
	}
	if root := branches[Root]; root != nil {
		t.add(nil, &Node{Set: root.Set, Store: root.Store, Endpoints: root.Endpoints})
	}
	for _, name := range sortedKeys(branches) {
		if name != Root && branches[name] != nil {
			t.add(Path{name}, branches[name])
		}
	}
	for _, services := range t.servicesOf {
		slices.Sort(services)
	}
	return t
}

// NewOverlay builds a tree over a configuration, which has the limits where no node sets
// one. The defaults of this package do not apply.
func NewOverlay(branches map[string]*Node) *Tree {
	t := New(branches)
	t.overlay = true
	return t
}

// Empty reports whether the tree has no nodes.
func (t *Tree) Empty() bool { return len(t.nodes) == 0 }

func (t *Tree) add(p Path, n *Node) {
	if n == nil {
		return
	}
	t.nodes = append(t.nodes, pathNode{path: p, node: n})
	t.collect(p, n)
	for _, elem := range sortedKeys(n.Children) {
		t.add(append(slices.Clone(p), elem), n.Children[elem])
	}
}

// collect indexes what a node describes.
func (t *Tree) collect(p Path, n *Node) {
	kind, name := p.last()
	if n.Model != nil && kind == ElemModel {
		t.models[name] = *n.Model
	}
	if n.Service != nil && kind == ElemService {
		t.services[name] = *n.Service
	}
	if n.Store != nil && len(p) == 0 {
		t.store = *n.Store
	}
	for id, e := range n.Endpoints {
		t.endpoints[id] = e
	}
	if kind != ElemModel {
		return
	}
	for _, elem := range p {
		if s, ok := strings.CutPrefix(elem, ElemService+"/"); ok && !slices.Contains(t.servicesOf[name], s) {
			t.servicesOf[name] = append(t.servicesOf[name], s)
		}
	}
}

// last returns the kind and name of the last element of a path; both are "" for the root.
func (p Path) last() (kind, name string) {
	if len(p) == 0 {
		return "", ""
	}
	kind, name, _ = strings.Cut(p[len(p)-1], "/")
	return kind, name
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Model returns the description of a model.
func (t *Tree) Model(name string) (Model, bool) {
	m, ok := t.models[name]
	return m, ok
}

// Models returns the names of all models, sorted.
func (t *Tree) Models() []string { return sortedKeys(t.models) }

// Service returns the description of a service.
func (t *Tree) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ServiceOf returns the service of a request that names a model but no service: the only
// service with a node for the model below it, or "" if there is none or more than one.
func (t *Tree) ServiceOf(model string) string {
	if s := t.servicesOf[model]; len(s) == 1 {
		return s[0]
	}
	return ""
}

// Offers reports whether a service may use a model: the model must have a node below the
// service. Without a service, it must have no node below any service.
func (t *Tree) Offers(service, model string) bool {
	if service == "" {
		return len(t.servicesOf[model]) == 0
	}
	return slices.Contains(t.servicesOf[model], service)
}

// Endpoints returns all endpoints by name. The map must not be changed.
func (t *Tree) Endpoints() map[string]Endpoint { return t.endpoints }

// Store returns the limits of the weight store.
func (t *Tree) Store() Store { return t.store }

// Effective holds the settings in force for a Selector, with the path of the node that set
// each value. A limit of 0 means unlimited.
type Effective struct {
	AnyDataCentre  bool     // no node restricts the data centres
	DataCentres    []string // allowed data centres unless AnyDataCentre
	Concurrency    int
	Rate           float64
	Body           int64
	Deadline       time.Duration
	StallTimeout   time.Duration
	Targets        [3]time.Duration // by class rank
	Class          core.Class
	Repeatable     bool
	MaxUnconfirmed time.Duration // 0: no limit
	MoveCost       float64
	Attainment     float64
	Origin         map[string]string // name of the setting to path of the node
}

// Allows reports whether requests may be served in a data centre.
func (e *Effective) Allows(dataCentre string) bool {
	return e.AnyDataCentre || slices.Contains(e.DataCentres, dataCentre)
}

// Target returns the target of a class for the time to first byte.
func (e *Effective) Target(c core.Class) time.Duration { return e.Targets[c.Rank()] }

// Effective returns the settings in force for a Selector. It folds all nodes that match:
// the result has the intersection of the allowed data centres and the lowest limits, so
// the order of the nodes does not matter.
func (t *Tree) Effective(c Selector) *Effective {
	if e, ok := t.cache.Load(c); ok {
		return e.(*Effective)
	}
	e := defaults()
	if t.overlay {
		e = &Effective{AnyDataCentre: true, Repeatable: true, Origin: map[string]string{}}
	}
	for _, n := range t.nodes {
		if c.match(n.path) {
			e.fold(n.path.String(), &n.node.Set)
		}
	}
	t.cache.Store(c, e)
	return e
}

// Allowed returns the effective settings for serving in the data centre of c, and whether
// that data centre is allowed.
func (t *Tree) Allowed(c Selector) (*Effective, bool) {
	e := t.Effective(c)
	return e, e.Allows(c.DataCentre)
}

func defaults() *Effective {
	return &Effective{
		AnyDataCentre: true,
		Concurrency:   defaultConcurrency,
		Body:          defaultBody,
		Deadline:      defaultDeadline,
		StallTimeout:  defaultStall,
		Targets:       [3]time.Duration{defaultTarget, 3 * defaultTarget, 30 * defaultTarget},
		Class:         core.ClassNormal,
		Repeatable:    true,
		MoveCost:      1,
		Attainment:    1,
		Origin:        map[string]string{},
	}
}

// fold narrows e by the settings of the node at path.
func (e *Effective) fold(path string, s *Settings) {
	if s.DataCentres != nil {
		e.narrowDataCentres(path, *s.DataCentres)
	}
	lower(e, path, "concurrency", &e.Concurrency, s.Concurrency)
	lower(e, path, "rate", &e.Rate, s.Rate)
	lower(e, path, "body", &e.Body, int64(s.Body))
	lower(e, path, "deadline", &e.Deadline, time.Duration(s.Deadline))
	lower(e, path, "stall", &e.StallTimeout, time.Duration(s.StallTimeout))
	lower(e, path, "fresh", &e.MaxUnconfirmed, time.Duration(s.MaxUnconfirmed))
	for class, d := range s.Targets {
		lower(e, path, "targets."+class, &e.Targets[core.Class(class).Rank()], time.Duration(d))
	}
	if s.Class != "" && (e.Origin["class"] == "" || s.Class.Rank() > e.Class.Rank()) {
		e.Class, e.Origin["class"] = s.Class, path
	}
	if s.Repeatable != nil && e.Repeatable && !*s.Repeatable {
		e.Repeatable, e.Origin["repeat"] = false, path
	}
	if s.MoveCost > e.MoveCost {
		e.MoveCost, e.Origin["moves"] = s.MoveCost, path
	}
	if s.Attainment > 0 && (e.Origin["attainment"] == "" || s.Attainment < e.Attainment) {
		e.Attainment, e.Origin["attainment"] = s.Attainment, path
	}
}

func (e *Effective) narrowDataCentres(path string, dataCentres []string) {
	if e.AnyDataCentre {
		e.AnyDataCentre = false
		e.DataCentres = slices.Clone(dataCentres)
		e.Origin["places"] = path
		return
	}
	kept := slices.DeleteFunc(slices.Clone(e.DataCentres), func(p string) bool {
		return !slices.Contains(dataCentres, p)
	})
	if len(kept) < len(e.DataCentres) {
		e.DataCentres = kept
		e.Origin["places"] = path
	}
}

// lower sets *limit to v if v is lower or if *limit is not set by a node. A v of zero is
// inherited and changes nothing; a *limit of zero is unlimited.
func lower[N int | int64 | float64 | time.Duration](e *Effective, path, field string, limit *N, v N) {
	if v <= 0 || (*limit > 0 && e.Origin[field] != "" && *limit <= v) {
		return
	}
	*limit = v
	e.Origin[field] = path
}

// Repeatable reports whether a call to a plain service may run twice. Without a rule that
// matches, GET and HEAD are repeatable.
func (t *Tree) Repeatable(service, method, path string) bool {
	s := t.services[service]
	for _, rule := range s.Calls {
		if rule.Method == method && strings.HasPrefix(path, rule.Path) {
			return rule.Repeatable
		}
	}
	return method == "GET" || method == "HEAD"
}

// WriteOrder returns the names of branches in the order in which they must be written: the
// root first, since the others are checked against it, then all others by name.
func WriteOrder(branches map[string]*Node) []string {
	names := sortedKeys(branches)
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case a == Root && b != Root:
			return -1
		case b == Root && a != Root:
			return 1
		default:
			return 0
		}
	})
	return names
}
