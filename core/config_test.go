package core

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a wrong choice of a service's most urgent routes from the configuration:
// interactive requests would be kept from runners that could serve them at once, or batch
// requests would be admitted and then preempted.
func TestMostUrgentRoutesOfAService(t *testing.T) {
	route := func(priority int, services ...string) Route {
		r := Route{Priority: priority}
		for _, s := range services {
			r.Shares = append(r.Shares, Share{Service: s, Weight: 1})
		}
		return r
	}
	cases := []struct {
		name   string
		routes []Route
		ranked bool
		urgent int
	}{
		{"no routes", nil, false, 0},
		{"one route", []Route{route(3, "s")}, false, 3},
		{"same priority", []Route{route(3, "s"), route(3, "s")}, false, 3},
		{"different priorities", []Route{route(3, "s"), route(1, "s"), route(2, "s")}, true, 1},
		{"most urgent route first", []Route{route(0, "s"), route(1, "s")}, true, 0},
		{"more urgent route of another service", []Route{route(3, "s"), route(0, "other")}, false, 3},
		{"route shared with another service", []Route{route(3, "s"), route(0, "other", "s")}, true, 0},
		{"route of an unknown service", []Route{route(3, "s"), route(0, "unknown")}, false, 3},
	}
	for _, tt := range cases {
		c := &Config{Routes: tt.routes, Services: map[string]*Service{"s": {}, "other": {}}}
		c.Index()
		assert.Equal(t, c.Services["s"].Ranked, tt.ranked, tt.name)
		assert.Equal(t, c.Services["s"].TopRank, tt.urgent, tt.name)
	}
}
