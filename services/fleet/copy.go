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
	// pathCopy is where a daemon hands out its copy of a kind of the store's
	// objects.
	pathCopy = "/copies/"
	// queryAfter is the version up to which the asking daemon knows all.
	queryAfter = "after"
	// What differs each time that the same copy is asked for.
	headerHealthy = "Copy-Healthy" // since the store last failed for the daemon that answers
	headerStale   = "Copy-Stale"   // whether it fails for it now
	// copyLimit is for whole copies of 70 KB to twenty daemons at the same time over
	// a link of 10 Mbit/s.
	copyLimit = 1500 * time.Millisecond
	maxCopy   = 64 << 20
)

// copyHandler answers daemons that do not reach the store.
func (d *Daemon) copyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathCopy+"{kind}", func(w http.ResponseWriter, r *http.Request) {
		after := uint64(0)
		if text := r.URL.Query().Get(queryAfter); text != "" {
			var err error
			if after, err = strconv.ParseUint(text, 10, 64); err != nil {
				http.Error(w, queryAfter+": want a version", http.StatusBadRequest)
				return
			}
		}
		c, err := d.watcher.Copy(r.PathValue("kind"), after)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		data, err := d.packed.get(r.PathValue("kind"), c.After, c)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set(headerHealthy, c.Healthy.String())
		w.Header().Set(headerStale, strconv.FormatBool(c.Stale))
		if _, err := w.Write(data); err != nil {
			d.log.Info(logs.CopyNotSent, logs.Err(err))
		}
	})
	return mux
}

// neighbour gets the copy of a named daemon, or of any; it implements
// watch.Neighbour.
func (d *Daemon) neighbour(ctx context.Context, kind, name string, after uint64) (watch.Copy, error) {
	if name != "" {
		p, ok := d.peers.Get(name)
		if !ok {
			return watch.Copy{}, eris.Wrapf(core.ErrUnavailable, "daemon %s is not heard", name)
		}
		return d.copyOf(ctx, p, kind, after)
	}
	p, ok := d.nearest()
	if !ok {
		return watch.Copy{}, eris.Wrap(core.ErrUnavailable, "no other daemon is ready")
	}
	return d.copyOf(ctx, p, kind, after)
}

// nearest draws a ready daemon: one that reaches the store goes before one that
// does not, then one of the own place before others.
func (d *Daemon) nearest() (peers.Peer, bool) {
	var best []peers.Peer
	rank := func(p peers.Peer) int {
		r := 0
		if !p.Failing {
			r += 2
		}
		if p.Place == d.set.Place {
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

// copyOf asks a daemon for its copy.
func (d *Daemon) copyOf(ctx context.Context, best peers.Peer, kind string, after uint64) (watch.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	query := url.Values{queryAfter: {strconv.FormatUint(after, 10)}}
	target := url.URL{Scheme: "http", Host: best.Peer.String(), Path: pathCopy + kind, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return watch.Copy{}, eris.Wrap(err, "copy")
	}
	resp, err := d.calls.Do(req)
	if err != nil {
		return watch.Copy{}, eris.Wrapf(core.ErrUnavailable, "copy of %s: %v", best.Name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return watch.Copy{}, eris.Wrapf(core.ErrUnavailable, "copy of %s: status %d", best.Name, resp.StatusCode)
	}
	c, err := readCopy(resp)
	if err != nil {
		return watch.Copy{}, eris.Wrapf(core.ErrUnavailable, "copy of %s: %v", best.Name, err)
	}
	d.log.Info(logs.CopyTaken, zap.String("other", best.Name), zap.String("kind", kind), zap.Uint64("version", c.Version), zap.Uint64("after", c.After), zap.Int("objects", len(c.Objects)))
	return c, nil
}

func readCopy(resp *http.Response) (watch.Copy, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxCopy))
	if err != nil {
		return watch.Copy{}, err
	}
	c, err := unpack(data)
	if err != nil {
		return watch.Copy{}, err
	}
	if c.Healthy, err = time.ParseDuration(resp.Header.Get(headerHealthy)); err != nil {
		return watch.Copy{}, err
	}
	c.Stale, err = strconv.ParseBool(resp.Header.Get(headerStale))
	return c, err
}
