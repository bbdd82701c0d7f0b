// Package tree implements the settings tree: its nodes, the rule that a child may only
// narrow the settings of its parent, the effective settings for a request or decision, and
// the versioned branches in which the tree is stored.
package tree

import (
	"strings"

	"primroseward/core"
)

// Root is the name of the branch that holds only the root node.
const Root = "/"

// Kinds of path elements.
const (
	ElemService    = "service"
	ElemModel      = "model"
	ElemDataCentre = "place"
)

// Settings are the settings that a node sets. A nil or zero field is inherited.
type Settings struct {
	DataCentres    *[]string                `json:"places,omitempty"`      // data centres where requests may be served
	Concurrency    int                      `json:"concurrency,omitempty"` // requests in progress per entry
	Rate           float64                  `json:"rate,omitempty"`        // requests per second per entry
	Body           core.Bytes               `json:"body,omitempty"`        // size limit of a request body
	Deadline       core.Duration            `json:"deadline,omitempty"`    // total time for a request
	StallTimeout   core.Duration            `json:"stall,omitempty"`       // longest time for which an endpoint may send nothing
	Targets        map[string]core.Duration `json:"targets,omitempty"`     // time to first byte, per class
	Class          core.Class               `json:"class,omitempty"`       // class of requests that name none
	Repeatable     *bool                    `json:"repeat,omitempty"`      // whether a request may run twice
	MaxUnconfirmed core.Duration            `json:"fresh,omitempty"`       // requests are refused if the settings have been unconfirmed for longer
	MoveCost       float64                  `json:"moves,omitempty"`       // cost of a move, in requests that meet their target
	Attainment     float64                  `json:"attainment,omitempty"`  // weight of a request that meets its target
}

// Model describes a model or adapter to the planner.
type Model struct {
	Version string        `json:"version"`
	Memory  core.Bytes    `json:"memory"`
	Base    string        `json:"base,omitempty"` // base model of an adapter, else empty
	Load    core.Duration `json:"load,omitempty"` // usual duration of a load
}

// CallRule says whether calls to a plain service are repeatable. The first rule whose
// method and path prefix match applies.
type CallRule struct {
	Method     string `json:"method"`
	Path       string `json:"path"` // prefix
	Repeatable bool   `json:"repeat"`
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
	Addr       string     `json:"addr"`              // IP:port
	DataCentre string     `json:"place"`             // data centre
	Kind       string     `json:"kind"`              // "model" or "plain"
	Service    string     `json:"service,omitempty"` // of a plain endpoint
	Memory     core.Bytes `json:"memory,omitempty"`  // of its accelerators
	Cache      core.Bytes `json:"cache,omitempty"`   // part of Memory reserved for the KV cache
	Slots      int        `json:"slots"`             // requests that it runs concurrently
	Fenced     bool       `json:"fenced,omitempty"`  // the endpoint refuses orders with old fencing numbers
	Drain      bool       `json:"drain,omitempty"`   // the endpoint gets no new work
}

// Store holds the limits of the weight store and the switch that pauses the planner.
type Store struct {
	Rate  float64 `json:"rate"`            // loads per second
	Slots int     `json:"slots"`           // concurrent loads
	Pause bool    `json:"pause,omitempty"` // pauses the planner
}

// Node is one node of the tree. The keys of Children are "kind/name".
type Node struct {
	Note      string              `json:"note,omitempty"` // comment for operators
	Set       Settings            `json:"set"`
	Model     *Model              `json:"model,omitempty"`
	Service   *Service            `json:"service,omitempty"`
	Store     *Store              `json:"store,omitempty"`
	Endpoints map[string]Endpoint `json:"endpoints,omitempty"`
	Children  map[string]*Node    `json:"children,omitempty"`
}

// Path is a list of "kind/name" elements, starting below the root.
type Path []string

// ParsePath parses a path such as "/service/a/model/b". "/" is the root.
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
	valid := kind == ElemService || kind == ElemModel || kind == ElemDataCentre
	return valid && name != ""
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

// Selector is what a request or a decision is for. An empty field matches only nodes whose
// path has no element of that kind.
type Selector struct {
	Service    string
	Model      string
	DataCentre string // data centre
}

// match reports whether a node at path p applies to c.
func (c Selector) match(p Path) bool {
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
		case ElemDataCentre:
			if c.DataCentre != name {
				return false
			}
		}
	}
	return true
}
