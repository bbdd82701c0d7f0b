package placement

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/coordination/dispatch"
	"primroseward/coordination/peers"
	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// placeTimeout is how long a request waits for an adapter. Adapters take 5 to
	// 10 ms to load; the rest is for unloading another adapter first.
	placeTimeout = 250 * time.Millisecond
	// placeResendInterval is when a request to the holder is sent again, in case its
	// datagram was lost.
	placeResendInterval = 60 * time.Millisecond
	// placeResends is how often the request of a caller who waits for a model is sent.
	placeResends = 4
	// demandInterval is how often a daemon sends its demand counts to the holder.
	demandInterval = 400 * time.Millisecond

	// maxEntryRequests and maxRequestTime bound what an entry may state, and the latter an answer of the holder. Ten
	// thousand daemons that each state so much leave sums of milliseconds far below what an integer of 64 bits holds.
	maxEntryRequests = 1 << 20
	maxRequestTime   = time.Hour

	kindPlace  = "place"
	kindDemand = "demand"
	kindUpdate = "news"
)

// demandEntry is one demand count as sent between daemons.
type demandEntry struct {
	Want  dispatch.PlacementKey `json:"want"`
	Count float64               `json:"count"`
	// The next four are a dispatch.Use, Busy in seconds and Target in milliseconds.
	Requests int     `json:"n,omitempty"`
	Ended    int     `json:"e,omitempty"`
	Busy     float64 `json:"b,omitempty"`
	Target   int64   `json:"t,omitempty"`
}

func newDemandEntry(w dispatch.PlacementKey, count float64, u dispatch.Use) demandEntry {
	busy := u.Busy.Round(time.Millisecond).Seconds()
	return demandEntry{Want: w, Count: count, Requests: u.Requests, Ended: u.Ended, Busy: busy, Target: u.Target.Milliseconds()}
}

// use returns the use that an entry states, and false if it states none or one that cannot be true.
func (e *demandEntry) use() (dispatch.Use, bool) {
	if e.Requests == 0 && e.Ended == 0 {
		return dispatch.Use{}, false
	}
	const maxMs = int64(maxRequestTime / time.Millisecond)
	if e.Requests < 0 || e.Requests > maxEntryRequests || e.Ended < 0 || e.Ended > maxEntryRequests || e.Target < 0 || e.Target > maxMs ||
		e.Busy < 0 || e.Busy > float64(e.Ended)*maxRequestTime.Seconds() {
		return dispatch.Use{}, false
	}
	return dispatch.Use{Requests: e.Requests, Ended: e.Ended, Busy: time.Duration(e.Busy * float64(time.Second)), Target: time.Duration(e.Target) * time.Millisecond}, true
}

// Client sends requests for models and adapters, and the demand, to the daemon that holds
// the lease, which may be this one.
type Client struct {
	peers  *peers.Peers
	holder *Holder
	demand *dispatch.Demand
	clock  core.Clock
	log    *zap.Logger
	wg     sync.WaitGroup
	stop   context.CancelFunc
}

// NewClient returns a Client and makes holder answer requests from other daemons.
func NewClient(p *peers.Peers, holder *Holder, demand *dispatch.Demand, clock core.Clock, log *zap.Logger) *Client {
	c := &Client{peers: p, holder: holder, demand: demand, clock: clock, log: log}
	p.Handle(kindPlace, c.handlePlace)
	p.Handle(kindDemand, c.handleDemand)
	return c
}

// Start starts to send the demand to the holder periodically.
func (c *Client) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.wg.Add(1)
	go c.run(ctx)
}

// Stop stops sending the demand.
func (c *Client) Stop() {
	c.stop()
	c.wg.Wait()
}

func (c *Client) handlePlace(_ peers.Peer, body json.RawMessage, answer func(any)) {
	var w dispatch.PlacementKey
	if err := json.Unmarshal(body, &w); err != nil {
		c.log.Warn(logs.MessageUnreadable, logs.Err(err))
		return
	}
	c.holder.Place(w, func(p PlaceResult) { answer(p) })
}

func (c *Client) handleDemand(from peers.Peer, body json.RawMessage, _ func(any)) {
	var list []demandEntry
	if !peers.Decode(c.log, from, body, &list) {
		return
	}
	counts := make(map[dispatch.PlacementKey]float64, len(list))
	uses := map[dispatch.PlacementKey]dispatch.Use{}
	for _, w := range list {
		counts[w.Want] += w.Count
		if u, ok := w.use(); ok {
			uses[w.Want] = uses[w.Want].Add(u)
		}
	}
	c.holder.AddDemand(counts)
	c.holder.AddUses(counts, uses)
}

// Place implements dispatch.Placer.
func (c *Client) Place(ctx context.Context, w dispatch.PlacementKey) (string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout+w.Wait)
	defer cancel()
	to, ok := c.peers.Holder()
	if !ok {
		return "", 0, eris.Wrap(core.ErrUnavailable, "no daemon holds the lease of orders")
	}
	var got PlaceResult
	if to.Name == c.peers.Self().Name {
		ch := make(chan PlaceResult, 1)
		c.holder.Place(w, func(p PlaceResult) { ch <- p })
		select {
		case got = <-ch:
		case <-ctx.Done():
			return "", 0, eris.Wrap(core.ErrUnavailable, "the holder of the lease of orders did not answer in time")
		}
	} else if err := c.peers.Request(ctx, to, kindPlace, w, &got, max(placeResendInterval, w.Wait/placeResends)); err != nil {
		return "", 0, eris.Wrapf(err, "holder %s", to.Name)
	}
	return got.forPlacer()
}

// forPlacer returns a result as dispatch.Placer does.
func (p PlaceResult) forPlacer() (runner string, retry time.Duration, err error) {
	switch {
	case p.Runner != "":
		return p.Runner, 0, nil
	case p.Expected:
		return "", max(0, min(p.Retry, maxRequestTime)), eris.Wrap(dispatch.ErrExpected, "no runner has the model")
	}
	return "", p.Retry, eris.Wrap(core.ErrUnavailable, "no runner can serve the model or adapter now")
}

func (c *Client) run(ctx context.Context) {
	defer c.wg.Done()
	for ctx.Err() == nil {
		if to, ok := c.peers.Holder(); ok {
			c.sendDemand(to)
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(demandInterval):
		}
	}
}

func (c *Client) sendDemand(to peers.Peer) {
	counts, uses := c.demand.Take(), c.demand.TakeUses()
	if len(counts) == 0 && len(uses) == 0 {
		return
	}
	if to.Name == c.peers.Self().Name {
		c.holder.AddDemand(counts)
		c.holder.AddUses(counts, uses)
		return
	}
	list := make([]demandEntry, 0, len(counts)+len(uses))
	for w, n := range counts {
		list = append(list, newDemandEntry(w, n, uses[w]))
	}
	for w, u := range uses {
		if _, ok := counts[w]; !ok {
			list = append(list, newDemandEntry(w, 0, u))
		}
	}
	c.peers.Send(to, kindDemand, list)
}
