package core

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Live requests are kept out of runners that would take them in at once, or batch ones
// let in that are put off again: which routes of a service are its most urgent ones was
// read wrongly from the configuration.
func TestUrgencyOfAServicesRoutes(t *testing.T) {
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
		{"one", []Route{route(3, "s")}, false, 3},
		{"alike", []Route{route(3, "s"), route(3, "s")}, false, 3},
		{"different", []Route{route(3, "s"), route(1, "s"), route(2, "s")}, true, 1},
		{"the most urgent first", []Route{route(0, "s"), route(1, "s")}, true, 0},
		{"another service's", []Route{route(3, "s"), route(0, "other")}, false, 3},
		{"shared", []Route{route(3, "s"), route(0, "other", "s")}, true, 0},
		{"an unknown service", []Route{route(3, "s"), route(0, "unknown")}, false, 3},
	}
	for _, one := range cases {
		c := &Config{Routes: one.routes, Services: map[string]*Service{"s": {}, "other": {}}}
		c.Index()
		assert.Equal(t, c.Services["s"].Ranked, one.ranked, one.name)
		assert.Equal(t, c.Services["s"].Urgent, one.urgent, one.name)
	}
}
