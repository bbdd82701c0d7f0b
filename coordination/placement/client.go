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
	// demandInterval is how often a daemon sends its demand counts to the holder.
	demandInterval = 400 * time.Millisecond

	kindPlace  = "place"
	kindDemand = "demand"
	kindUpdate = "news"
)

// demandEntry is one demand count as sent between daemons.
type demandEntry struct {
	Want  dispatch.PlacementKey `json:"want"`
	Count float64               `json:"count"`
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
	for _, w := range list {
		counts[w.Want] += w.Count
	}
	c.holder.AddDemand(counts)
}

// Place implements dispatch.Placer.
func (c *Client) Place(ctx context.Context, w dispatch.PlacementKey) (string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
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
	} else if err := c.peers.Request(ctx, to, kindPlace, w, &got, placeResendInterval); err != nil {
		return "", 0, eris.Wrapf(err, "holder %s", to.Name)
	}
	if got.Runner == "" {
		return "", got.Retry, eris.Wrap(core.ErrUnavailable, "no runner can serve the model or adapter now")
	}
	return got.Runner, 0, nil
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
	counts := c.demand.Take()
	if len(counts) == 0 {
		return
	}
	if to.Name == c.peers.Self().Name {
		c.holder.AddDemand(counts)
		return
	}
	list := make([]demandEntry, 0, len(counts))
	for w, n := range counts {
		list = append(list, demandEntry{w, n})
	}
	c.peers.Send(to, kindDemand, list)
}
