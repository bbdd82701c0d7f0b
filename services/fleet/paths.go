package fleet

import (
	"slices"
	"time"

	"primroseward/coordination/peers"
	"primroseward/coordination/reach"
	"primroseward/platform"
)

// checkTargets returns the runners that may be checked to find out whether this daemon has a path
// to the runners: those that report their state, and those of services with a health check.
func (d *Daemon) checkTargets() []reach.Target {
	config := d.catalog.Config()
	if config == nil {
		return nil
	}
	var out []reach.Target
	for _, e := range d.catalog.All() {
		service := config.Services[e.Service]
		if service == nil || !d.available.State(e).AcceptsIfUp() {
			continue
		}
		path := service.HealthPath
		if service.Engine != nil {
			path = platform.Dialect{}.ReportPath()
		}
		if path != "" {
			out = append(out, reach.Target{Runner: e.Runner, Path: path})
		}
	}
	return out
}

// pathChanged sends the daemon's state to the others at once when its path to the runners is lost
// or regained.
func (d *Daemon) pathChanged(bool) { d.peers.SendState(true) }

// leasePathLossTime is how long the holder of the lease of orders keeps it without a path to the
// runners. The next holder has to wait before its first order.
const leasePathLossTime = time.Second

// anyPathLost reports whether another daemon has lost its path to the runners.
func (d *Daemon) anyPathLost() bool {
	return slices.ContainsFunc(d.peers.Alive()[1:], func(p peers.Peer) bool { return p.PathLost })
}

// peersWithPath returns the number of other daemons that serve and have a path to the runners.
func (d *Daemon) peersWithPath() int {
	n := 0
	for _, p := range d.peers.Alive()[1:] {
		if p.Ready && !p.Leaving && !p.PathLost {
			n++
		}
	}
	return n
}
