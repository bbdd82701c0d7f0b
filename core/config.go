package core

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// RequestKind says what may be repeated of a route's requests.
type RequestKind int

// Kinds of requests.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe RequestKind = iota
	// KindSafe requests may run any number of times.
	KindSafe
	// KindStream requests are answered by a series of events and run at most
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
	hosts    map[string][]*Route // by host, longest prefix first
}

// CallerLimits bounds what a caller may send and how long it may take.
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

// Route is where requests of a host and path prefix go.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        RequestKind
	Timeout     time.Duration // longest time to a whole answer
	Target      time.Duration // to the answer, or a stream's first event
	MaxGap      time.Duration // longest pause between a stream's events
	Priority    int           // 0 is the most urgent
	Shares      []Share
	MaxAttempts int
	Sticky      bool // requests carry parts of their prompts
	Resumable   bool // a stream may go on at another runner
}

// Repeatable says whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a set of runners that answer alike.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // a runner's, from all callers together
	Engine     *Engine // nil for a plain service
	// Ranked says whether the service's routes differ in urgency; Urgent is then the
	// priority of the most urgent ones.
	Ranked bool
	Urgent int
}

// Engine is what all runners of a model service have in common.
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
	Load      time.Duration // from the weight store
	WarmLoad  time.Duration // from the runner's memory
	DiskLoad  time.Duration // from the runner's disk
	Adapters  int
	AdapterMB float64

	adapterNames []string
}

// AdapterNames lists the names of a model's adapters: a1, a2 and so on.
func (m *Model) AdapterNames() []string { return m.adapterNames }

// Model returns a model by name, nil if the engine does not offer it.
func (e *Engine) Model(name string) *Model {
	return e.byName[name]
}

// Offers says whether the configuration has a service, or otherwise a model of
// any service.
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

// Index prepares the look-ups. It is called once, before the config is shared.
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
	c.rank()
}

// rank finds the most urgent routes of each service.
func (c *Config) rank() {
	seen := map[*Service]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, share := range r.Shares {
			s := c.Services[share.Service]
			if s == nil {
				continue
			}
			if seen[s] && s.Urgent != r.Priority {
				s.Ranked = true
			}
			if !seen[s] || r.Priority < s.Urgent {
				s.Urgent = r.Priority
			}
			seen[s] = true
		}
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
