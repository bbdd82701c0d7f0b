package fleet

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/coordination/watch"
	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// pathSnapshot is the path under which a daemon serves its snapshot of a kind of the
	// store's objects.
	pathSnapshot = "/copies/"
	// queryAfter is the query parameter with the version up to which the requesting daemon
	// has all changes.
	queryAfter = "after"
	// The values that differ between requests for the same snapshot are sent as headers.
	headerHealthy = "Copy-Healthy" // time since a store call of the sending daemon last failed
	headerStale   = "Copy-Stale"   // whether its calls to the store fail now
	// snapshotTimeout allows for full snapshots of 70 KB to twenty daemons at the same time
	// over a link of 10 Mbit/s.
	snapshotTimeout = 1500 * time.Millisecond
	maxSnapshot     = 64 << 20
)

// snapshotHandler serves snapshots to daemons that do not read the store themselves.
func (d *Daemon) snapshotHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathDepartures, d.handleDepartures)
	mux.HandleFunc("GET "+pathSnapshot+"{kind}", func(w http.ResponseWriter, r *http.Request) {
		after := uint64(0)
		if text := r.URL.Query().Get(queryAfter); text != "" {
			var err error
			if after, err = strconv.ParseUint(text, 10, 64); err != nil {
				http.Error(w, queryAfter+": want a version", http.StatusBadRequest)
				return
			}
		}
		s, err := d.watcher.Snapshot(r.PathValue("kind"), after)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		data, err := d.snapshots.get(r.PathValue("kind"), s.After, s)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set(headerHealthy, s.HealthyFor.String())
		w.Header().Set(headerStale, strconv.FormatBool(s.Stale))
		if _, err := w.Write(data); err != nil {
			d.log.Info(logs.SnapshotNotSent, logs.Err(err))
		}
	})
	return mux
}

// fetchSnapshot returns the snapshot of the named daemon, or of any daemon if the name is
// empty. It implements watch.Fetch.
func (d *Daemon) fetchSnapshot(ctx context.Context, kind, name string, after uint64) (watch.Snapshot, error) {
	if name != "" {
		p, ok := d.peers.Get(name)
		if !ok {
			return watch.Snapshot{}, eris.Wrapf(core.ErrUnavailable, "daemon %s is unreachable", name)
		}
		return d.snapshotOf(ctx, p, kind, after)
	}
	p, ok := d.selectPeer()
	if !ok {
		return watch.Snapshot{}, eris.Wrap(core.ErrUnavailable, "no other daemon is ready")
	}
	return d.snapshotOf(ctx, p, kind, after)
}

// selectPeer returns a random one of the best ready daemons: daemons that reach the store
// are preferred, then daemons of the same data centre.
func (d *Daemon) selectPeer() (peers.Peer, bool) {
	var best []peers.Peer
	rank := func(p peers.Peer) int {
		r := 0
		if !p.Failing {
			r += 2
		}
		if p.DataCentre == d.set.DataCentre {
			r++
		}
		return r
	}
	for _, p := range d.peers.Alive()[1:] {
		switch {
		case !p.Ready:
		case len(best) == 0 || rank(p) > rank(best[0]):
			best = []peers.Peer{p}
		case rank(p) == rank(best[0]):
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return peers.Peer{}, false
	}
	return best[rand.IntN(len(best))], true
}

// snapshotOf requests the snapshot of a daemon.
func (d *Daemon) snapshotOf(ctx context.Context, p peers.Peer, kind string, after uint64) (watch.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var s watch.Snapshot
	err := d.get(ctx, p, pathSnapshot+kind, url.Values{queryAfter: {strconv.FormatUint(after, 10)}}, func(resp *http.Response) (err error) {
		s, err = readSnapshot(resp)
		return err
	})
	if err != nil {
		return watch.Snapshot{}, eris.Wrapf(core.ErrUnavailable, "snapshot of %s: %v", p.Name, err)
	}
	d.log.Info(logs.SnapshotUsed, zap.String("other", p.Name), zap.String("kind", kind), zap.Uint64("version", s.Version), zap.Uint64("after", s.After), zap.Int("objects", len(s.Objects)))
	return s, nil
}

// get requests a path of another daemon and has read read the answer.
func (d *Daemon) get(ctx context.Context, p peers.Peer, path string, query url.Values, read func(*http.Response) error) error {
	target := url.URL{Scheme: "http", Host: p.Peer.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", resp.StatusCode)
	}
	return read(resp)
}

func readSnapshot(resp *http.Response) (watch.Snapshot, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshot))
	if err != nil {
		return watch.Snapshot{}, err
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return watch.Snapshot{}, err
	}
	if s.HealthyFor, err = time.ParseDuration(resp.Header.Get(headerHealthy)); err != nil {
		return watch.Snapshot{}, err
	}
	s.Stale, err = strconv.ParseBool(resp.Header.Get(headerStale))
	return s, err
}
