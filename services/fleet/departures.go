package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
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
	// departuresTimeout bounds one request for it.
	departuresTimeout = 300 * time.Millisecond
	// departuresPoll is how often a starting daemon looks for another one that can answer. After
	// departuresWait such looks it serves without, after departuresLooks it looks no more. Looks are
	// counted, as a process may be paused while it starts.
	departuresPoll  = 20 * time.Millisecond
	departuresWait  = 45
	departuresLooks = 150
)

// handleDepartures serves what this daemon knows of leaving runners.
func (d *Daemon) handleDepartures(w http.ResponseWriter, _ *http.Request) {
	if err := json.NewEncoder(w).Encode(d.available.Updates()); err != nil {
		d.log.Info(logs.SnapshotNotSent, zap.String("kind", pathDepartures), logs.Err(err))
	}
}

// departureReader learns from another daemon, when this one starts, which runners have announced that
// they are leaving. That is broadcast only once, and the store may list them as ready.
type departureReader struct {
	clock      core.Clock
	log        *zap.Logger
	choose     func() (peers.Peer, bool) // returns a daemon to ask
	fetch      func(ctx context.Context, p peers.Peer) (int, error)
	storeKnown func() bool
	known      atomic.Bool // another daemon has sent what it knows, or none can
}

// run asks other daemons until one answers. Until then this daemon is not ready, if another one is.
func (r *departureReader) run(ctx context.Context) {
	defer r.known.Store(true)
	began := r.clock.Now()
	for look := range departuresLooks {
		p, ok := r.choose()
		if ok {
			n, err := r.fetch(ctx, p)
			if err == nil {
				r.log.Info(logs.DeparturesLearnt, zap.String("other", p.Name), zap.Int("departures", n), zap.Duration("after", r.clock.Since(began)))
				return
			}
			r.log.Info(logs.DeparturesUnknown, zap.String("other", p.Name), logs.Err(err))
		}
		if !ok && r.storeKnown() || look >= departuresWait {
			r.known.Store(true)
		}
		if core.Sleep(ctx, r.clock, departuresPoll); ctx.Err() != nil {
			return
		}
	}
}

func (d *Daemon) runDepartures(ctx context.Context) {
	defer d.wg.Done()
	d.departures.run(ctx)
}

// fetchDepartures applies what another daemon knows of leaving runners and returns their number.
func (d *Daemon) fetchDepartures(ctx context.Context, p peers.Peer) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, departuresTimeout)
	defer cancel()
	var list []availability.Update
	err := d.get(ctx, p, pathDepartures, nil, func(resp *http.Response) error {
		return json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxSnapshot)).Decode(&list)
	})
	if err != nil {
		return 0, eris.Wrap(err, "departures")
	}
	for _, u := range list {
		d.available.ApplyUpdate(p.Name, u)
	}
	return len(list), nil
}
