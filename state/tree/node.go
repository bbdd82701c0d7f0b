// Package tree is the settings tree: its nodes, the rule that a child only
// narrows its parent, the effective values at a place in the tree, and the
// versions of its branches.
package tree

import (
	"strings"

	"primroseward/core"
)

// Root is the name of the branch that holds the root node alone.
const Root = "/"

// Kinds of path elements.
const (
	ElemService = "service"
	ElemModel   = "model"
	ElemPlace   = "place"
)

// Settings are the inherited values. A nil or zero field is inherited.
type Settings struct {
	Places      *[]string                `json:"places,omitempty"`      // where requests may be served
	Concurrency int                      `json:"concurrency,omitempty"` // requests in progress at one entry
	Rate        float64                  `json:"rate,omitempty"`        // requests per second at one entry
	Body        core.Bytes               `json:"body,omitempty"`        // largest request body
	Deadline    core.Duration            `json:"deadline,omitempty"`    // whole time for a request
	Stall       core.Duration            `json:"stall,omitempty"`       // longest silence of an endpoint
	Targets     map[string]core.Duration `json:"targets,omitempty"`     // first byte, per class
	Class       core.Class               `json:"class,omitempty"`       // of requests that name none
	Repeat      *bool                    `json:"repeat,omitempty"`      // whether a request may run twice
	Fresh       core.Duration            `json:"fresh,omitempty"`       // refuse when settings are unconfirmed for longer
	Moves       float64                  `json:"moves,omitempty"`       // price of a move in targets met
	Attainment  float64                  `json:"attainment,omitempty"`  // weight of a target met
}

// Model is what the planner needs to know of a model or adapter.
type Model struct {
	Version string        `json:"version"`
	Memory  core.Bytes    `json:"memory"`
	Base    string        `json:"base,omitempty"` // set for adapters
	Load    core.Duration `json:"load,omitempty"` // usual time of a load
}

// CallRule says whether calls of a plain service may be repeated. The first
// rule whose method and path prefix match holds.
type CallRule struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Repeat bool   `json:"repeat"`
}

// Service describes a service node.
type Service struct {
	Kind  string     `json:"kind"` // "model" or "plain"
	Calls []CallRule `json:"calls,omitempty"`
}

// Kinds of services and endpoints.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Endpoint describes one endpoint.
type Endpoint struct {
	Addr    string     `json:"addr"` // IP:port
	Place   string     `json:"place"`
	Kind    string     `json:"kind"` // "model" or "plain"
	Service string     `json:"service,omitempty"`
	Memory  core.Bytes `json:"memory,omitempty"` // of its accelerators
	Cache   core.Bytes `json:"cache,omitempty"`  // part of Memory kept for KV cache
	Slots   int        `json:"slots"`            // requests that it runs at once
	Fenced  bool       `json:"fenced,omitempty"` // refuses old fencing numbers
	Drain   bool       `json:"drain,omitempty"`  // gets no new work
}

// Store is the weight store's limits and the planner's switch.
type Store struct {
	Rate  float64 `json:"rate"`  // loads per second
	Slots int     `json:"slots"` // loads at once
	Pause bool    `json:"pause,omitempty"`
}

// Node is one node of the tree. Children are keyed "kind/name".
type Node struct {
	Note      string              `json:"note,omitempty"` // for people
	Set       Settings            `json:"set"`
	Model     *Model              `json:"model,omitempty"`
	Service   *Service            `json:"service,omitempty"`
	Store     *Store              `json:"store,omitempty"`
	Endpoints map[string]Endpoint `json:"endpoints,omitempty"`
	Children  map[string]*Node    `json:"children,omitempty"`
}

// Path is the list of "kind/name" elements from the root.
type Path []string

// ParsePath reads "/service/a/model/b"; "/" is the root.
func ParsePath(s string) (Path, bool) {
	trimmed := strings.Trim(s, "/")
	if trimmed == "" {
		return nil, true
	}
	parts := strings.Split(trimmed, "/")
	if len(parts)%2 != 0 {
		return nil, false
	}
	var p Path
	for i := 0; i < len(parts); i += 2 {
		if !validElem(parts[i], parts[i+1]) {
			return nil, false
		}
		p = append(p, parts[i]+"/"+parts[i+1])
	}
	return p, true
}

func validElem(kind, name string) bool {
	known := kind == ElemService || kind == ElemModel || kind == ElemPlace
	return known && name != ""
}

func (p Path) String() string { return "/" + strings.Join(p, "/") }

// Branch returns the name of the branch that holds the path.
func (p Path) Branch() string {
	if len(p) == 0 {
		return Root
	}
	return p[0]
}

// Find returns the node at a path below n, or nil.
func (n *Node) Find(p Path) *Node {
	for _, elem := range p {
		if n == nil {
			return nil
		}
		n = n.Children[elem]
	}
	return n
}

// Coord names what a request or a decision is about; empty parts match only
// nodes that do not name that part.
type Coord struct {
	Service string
	Model   string
	Place   string
}

func (c Coord) match(p Path) bool {
	for _, elem := range p {
		kind, name, _ := strings.Cut(elem, "/")
		switch kind {
		case ElemService:
			if c.Service != name {
				return false
			}
		case ElemModel:
			if c.Model != name {
				return false
			}
		case ElemPlace:
			if c.Place != name {
				return false
			}
		}
	}
	return true
}
