package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/coordination/availability"
	"primroseward/coordination/peers"
	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// pathDepartures is the path under which a daemon serves what it knows of leaving runners.
	pathDepartures = "/departures"
	// departuresTimeout bounds one request for it, departuresWait how long a starting daemon tries to
	// get an answer before it serves without.
	departuresTimeout = 300 * time.Millisecond
	departuresWait    = 900 * time.Millisecond
	// departuresPoll is how often it looks for a daemon that can answer. Daemons that become ready
	// within departuresLate are asked too.
	departuresPoll = 20 * time.Millisecond
	departuresLate = 3 * time.Second
)

// handleDepartures serves what this daemon knows of leaving runners.
func (d *Daemon) handleDepartures(w http.ResponseWriter, _ *http.Request) {
	if err := json.NewEncoder(w).Encode(d.available.Updates()); err != nil {
		d.log.Info(logs.SnapshotNotSent, zap.String("kind", pathDepartures), logs.Err(err))
	}
}

// runDepartures learns from another daemon which runners have announced that they are leaving. That is
// broadcast only once, and the store may list them as ready. Until then this daemon is not ready, if
// another one is.
func (d *Daemon) runDepartures(ctx context.Context) {
	defer d.wg.Done()
	began := d.clock.Now()
	for d.clock.Since(began) < departuresLate {
		p, ok := d.selectPeer()
		if ok {
			n, err := d.fetchDepartures(ctx, p)
			if err == nil {
				d.log.Info(logs.DeparturesLearnt, zap.String("other", p.Name), zap.Int("departures", n), zap.Duration("after", d.clock.Since(began)))
				d.departuresKnown.Store(true)
				return
			}
			d.log.Info(logs.DeparturesUnknown, zap.String("other", p.Name), logs.Err(err))
		}
		if !ok && d.storeKnown() || d.clock.Since(began) >= departuresWait {
			d.departuresKnown.Store(true)
		}
		if core.Sleep(ctx, d.clock, departuresPoll); ctx.Err() != nil {
			return
		}
	}
}

// fetchDepartures applies what another daemon knows of leaving runners and returns their number.
func (d *Daemon) fetchDepartures(ctx context.Context, p peers.Peer) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, departuresTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Peer.String()+pathDepartures, nil)
	if err != nil {
		return 0, eris.Wrap(err, "departures")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "departures")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, eris.Errorf("departures: status %d", resp.StatusCode)
	}
	var list []availability.Update
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxSnapshot)).Decode(&list); err != nil {
		return 0, eris.Wrap(err, "departures")
	}
	for _, u := range list {
		d.available.ApplyUpdate(p.Name, u)
	}
	return len(list), nil
}
