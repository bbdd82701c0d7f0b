package core

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RequestKind determines how often a route's requests may run.
type RequestKind int

// Kinds of requests.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe RequestKind = iota
	// KindSafe requests may run any number of times.
	KindSafe
	// KindStream requests are answered with a series of events and run at most
	// once, unless their route allows resumption.
	KindStream
)

// Config is one version of the operators' configuration. It is never changed
// once published.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   CallerLimits
	// Workspaces are the groups of callers with keys and allowances; nil: callers need
	// no key.
	Workspaces []*Workspace
	// Problems describes the faulty entries, which were left out of the configuration or
	// disabled, each with its path.
	Problems []string

	hosts map[string][]*Route // by host, longest prefix first
	keys  map[KeyID]*Workspace
	ranks map[rankKey]int
	// lowest is the priority of requests without a workspace.
	lowest int
	// smallBatches is set if an engine has small batches.
	smallBatches bool
}

// rankKey holds the priorities from which a request's rank is derived.
type rankKey struct{ workspace, route int }

// CallerLimits bounds what a caller may send and how long sending may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // for a request's headers to arrive
	IdleTimeout   time.Duration // of a connection between two requests
}

// Share is one service's part of a route's traffic.
type Share struct {
	Service string
	Weight  float64
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        RequestKind
	Timeout     time.Duration // time limit of the complete answer
	Target      time.Duration // target time to the answer, or to a stream's first event
	MaxGap      time.Duration // longest pause between a stream's events
	Priority    int           // 0 is the most urgent
	Shares      []Share
	MaxAttempts int
	Sticky      bool // requests identify prefixes of their prompts
	Resumable   bool // a stream may be resumed at another runner
	Public      bool // callers need no key
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a set of interchangeable runners.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections to one runner, from all callers together
	Engine     *Engine // nil for a plain service
	// Ranked reports whether the service's requests differ in rank. TopRank is the rank of
	// the most urgent ones.
	Ranked  bool
	TopRank int
	// NearestTarget is the shortest target latency of the service's routes, 0 if none states one.
	NearestTarget time.Duration
}

// Engine holds the properties that all runners of a model service share.
type Engine struct {
	Slots        int
	CacheTokens  int
	MemoryMB     float64 // for weights and adapters
	AdapterSlots int
	LoadsPerSec  float64 // from the weight store, over all runners
	Models       []Model
	byName       map[string]*Model
}

// Model is one model that a service offers.
type Model struct {
	Name      string
	MemoryMB  float64
	Load      time.Duration // load time from the weight store
	WarmLoad  time.Duration // load time from the runner's memory
	DiskLoad  time.Duration // load time from the runner's disk
	Adapters  int
	AdapterMB float64

	adapterNames []string
}

// AdapterNames lists the names of a model's adapters: a1, a2 and so on.
func (m *Model) AdapterNames() []string { return m.adapterNames }

// Model returns a model by name, nil if the engine does not offer it or is nil.
func (e *Engine) Model(name string) *Model {
	if e == nil {
		return nil
	}
	return e.byName[name]
}

// Engine returns the engine of a service. It is nil if the configuration does not list the service, or lists it as a plain
// one: a new version may do so at any time, also while requests for the service are in progress.
func (c *Config) Engine(service string) *Engine {
	if c == nil || c.Services[service] == nil {
		return nil
	}
	return c.Services[service].Engine
}

// Offers reports whether the configuration has a service of the name or, if service is
// false, whether any service has a model of the name.
func (c *Config) Offers(service bool, name string) bool {
	if service {
		return c.Services[name] != nil
	}
	for _, s := range c.Services {
		if s.Engine != nil && s.Engine.Model(name) != nil {
			return true
		}
	}
	return false
}

// Index builds the lookup tables. It must be called once, before the config
// is shared.
func (c *Config) Index() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		if s.Engine != nil {
			s.Engine.index()
		}
	}
	c.setNearestTargets()
	c.smallBatches = c.hasSmallBatches()
	c.indexKeys()
	c.assignRanks()
}

// setNearestTargets finds the shortest target latency of each service's routes.
func (c *Config) setNearestTargets() {
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, share := range r.Shares {
			if s := c.Services[share.Service]; s != nil && r.Target > 0 && (s.NearestTarget == 0 || r.Target < s.NearestTarget) {
				s.NearestTarget = r.Target
			}
		}
	}
}

// indexKeys maps each key to its workspace. A key that two workspaces hold belongs to
// neither.
func (c *Config) indexKeys() {
	c.keys = map[KeyID]*Workspace{}
	for _, w := range c.Workspaces {
		w.Code = CodeOf(w.Name)
		c.lowest = max(c.lowest, w.Priority+1)
		for _, k := range w.Keys {
			if was, taken := c.keys[k]; taken && was != w {
				c.keys[k] = nil
				continue
			}
			c.keys[k] = w
		}
	}
}

// Workspace returns the workspace that holds a key, nil if none does.
func (c *Config) Workspace(k KeyID) *Workspace { return c.keys[k] }

// NeedsKey reports whether a route's callers need a key.
func (c *Config) NeedsKey(r *Route) bool { return c.Workspaces != nil && !r.Public }

// MaxRank is the rank of the least urgent requests. Runners distinguish no more ranks, so
// several combinations of workspace and route priority share one if there are too many.
const MaxRank = 9

// assignRanks assigns a rank to each combination of workspace and route priority, and finds
// the most urgent rank of each service.
func (c *Config) assignRanks() {
	c.ranks = map[rankKey]int{}
	for i := range c.Routes {
		for _, k := range c.rankKeys(&c.Routes[i]) {
			c.ranks[k] = k.route
		}
	}
	if c.Workspaces != nil {
		keys := slices.SortedFunc(maps.Keys(c.ranks), func(a, b rankKey) int {
			return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
		})
		for i, k := range keys {
			c.ranks[k] = i * (MaxRank + 1) / max(MaxRank+1, len(keys))
		}
	}
	seen := map[*Service]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, share := range r.Shares {
			s := c.Services[share.Service]
			if s == nil {
				continue
			}
			for _, k := range c.rankKeys(r) {
				s.addRank(c.ranks[k], seen[s])
				seen[s] = true
			}
		}
	}
}

// rankKeys returns the rank keys that a route's requests can have.
func (c *Config) rankKeys(r *Route) []rankKey {
	if !c.NeedsKey(r) {
		return []rankKey{c.rankKey(nil, r)}
	}
	out := make([]rankKey, 0, len(c.Workspaces))
	for _, w := range c.Workspaces {
		out = append(out, c.rankKey(w, r))
	}
	return out
}

// rankKey returns the rank key of a request by workspace w on route r. Requests without
// a workspace (nil) rank after those of all workspaces.
func (c *Config) rankKey(w *Workspace, r *Route) rankKey {
	if w == nil {
		return rankKey{c.lowest, r.Priority}
	}
	return rankKey{w.Priority, r.Priority}
}

// addRank updates Ranked and TopRank with the rank of some of the service's requests.
func (s *Service) addRank(rank int, seen bool) {
	if seen && s.TopRank != rank {
		s.Ranked = true
	}
	if !seen || rank < s.TopRank {
		s.TopRank = rank
	}
}

// Rank returns the urgency of a request by workspace w, nil if it has none, on route r.
// The workspace's priority takes precedence over the route's. 0 is the most urgent. Without
// workspaces the rank is the route's priority. Combinations that this configuration does
// not have rank last.
func (c *Config) Rank(w *Workspace, r *Route) int {
	rank, ok := c.ranks[c.rankKey(w, r)]
	switch {
	case ok:
		return rank
	case c.Workspaces == nil:
		return r.Priority
	default:
		return MaxRank
	}
}

func (e *Engine) index() {
	e.byName = make(map[string]*Model, len(e.Models))
	for i := range e.Models {
		m := &e.Models[i]
		e.byName[m.Name] = m
		m.adapterNames = make([]string, m.Adapters)
		for k := range m.adapterNames {
			m.adapterNames[k] = "a" + strconv.Itoa(k+1)
		}
	}
}

// Route returns the route of a host with the longest prefix of path, nil if
// there is none.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
