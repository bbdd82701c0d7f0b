package allowance

import (
	"sync"
	"time"

	"primroseward/core"
)

const (
	// limitWindow is after how many requests of a route the longest limit of its callers is determined anew.
	limitWindow = 64
	// returnedShare is the part of the longest limit below which a caller has used up some of its time. Limits that
	// callers of one kind state differ by a tenth.
	returnedShare = 0.85
	// returnTime is how long after a refusal its caller may come back.
	returnTime = 10 * time.Second
	// maxVaried is the part of the requests that may have short limits while nobody comes back. Above it, the limits of
	// the route's callers differ and tell nothing.
	maxVaried = 0.1
	// maxCallerRoutes bounds the routes that are remembered, at 100 bytes each.
	maxCallerRoutes = 4096
)

// Callers tells callers that come back after a refusal from others by the time that they have left: a caller states
// its limit in each request, and the time for which it stayed away is missing. Where only one can be served in time,
// a request that can still meet its target goes before one that can't.
type Callers struct {
	clock  core.Clock
	mu     sync.Mutex
	routes map[string]*routeCallers
}

// routeCallers is what is known of the callers of a route.
type routeCallers struct {
	longest   time.Duration // limit among the last limitWindow requests, or twice as many
	next      time.Duration // the same, among those since the last window began
	count     int           // requests since then
	varied    float64       // part of the requests with short limits while nobody came back
	refusedAt time.Time     // latest refusal
}

// NewCallers returns Callers that know of no route.
func NewCallers(clock core.Clock) *Callers {
	return &Callers{clock: clock, routes: map[string]*routeCallers{}}
}

func (c *Callers) route(name string) *routeCallers {
	r := c.routes[name]
	if r == nil {
		if len(c.routes) >= maxCallerRoutes {
			clear(c.routes) // routes that no configuration has any more
		}
		r = &routeCallers{}
		c.routes[name] = r
	}
	return r
}

// Refused records that a request of a route was refused and that its caller may come back.
func (c *Callers) Refused(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.route(route).refusedAt = c.clock.Now()
}

// Returned records a request with its caller's limit, and reports whether its caller has most likely been refused
// before and has stayed away for longer than the target of the request.
func (c *Callers) Returned(route string, limit, target time.Duration) bool {
	if limit <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.route(route)
	if r.count++; r.count > limitWindow {
		r.longest, r.next, r.count = r.next, 0, 1
	}
	r.longest, r.next = max(r.longest, limit), max(r.next, limit)
	short := float64(limit) < returnedShare*float64(r.longest)
	if calm := r.refusedAt.IsZero() || c.clock.Since(r.refusedAt) > returnTime; calm {
		part := 0.0
		if short {
			part = 1
		}
		r.varied += (part - r.varied) / limitWindow
		return false
	}
	return short && r.longest-limit > target && r.varied <= maxVaried
}
