package fleet

import (
	"time"

	"primroseward/coordination/occupancy"
	"primroseward/coordination/peers"
)

// occupancy returns what the exchange of counts of the fleet needs.
func (d *Daemon) occupancy() peers.Occupancy {
	return peers.Occupancy{
		Enabled: d.balanced,
		Report: func() occupancy.Report {
			return occupancy.Report{Requests: d.loads.LocalRequests(), Paces: d.loads.HeardPaces()}
		},
		OnTotals: func(t occupancy.Totals) { d.loads.SetFleetRequests(t.Requests, t.Paces, t.Measured) },
		OnTick: func(acting bool, age time.Duration) {
			hub := 0.0
			if acting {
				hub = 1
			}
			d.scope.Gauge("occupancy_hub").Update(hub)
			seconds := -1.0 // no counts
			if age >= 0 {
				seconds = age.Seconds()
			}
			d.scope.Gauge("occupancy_age_seconds").Update(seconds)
		},
		OnDrop: func(cause error) {
			d.scope.Tagged(map[string]string{"cause": cause.Error()}).Counter("occupancy_dropped").Inc(1)
		},
	}
}
