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
	// askLimit is how long a request waits for an adapter. Adapters take 5 to
	// 10 ms to load; the rest is for a place to be made.
	askLimit = 250 * time.Millisecond
	// askResend repeats a question whose datagram was lost.
	askResend = 60 * time.Millisecond
	// tellEvery is how often a daemon tells the holder what was asked for.
	tellEvery = 400 * time.Millisecond

	kindPlace  = "place"
	kindDemand = "demand"
	kindNews   = "news"
)

// wanted is a part of the demand on the wire between daemons.
type wanted struct {
	Want  dispatch.Want `json:"want"`
	Count float64       `json:"count"`
}

// Client asks the daemon that holds the lease, which may be this one.
type Client struct {
	peers  *peers.Peers
	holder *Holder
	demand *dispatch.Demand
	clock  core.Clock
	log    *zap.Logger
	wg     sync.WaitGroup
	stop   context.CancelFunc
}

// NewClient makes a Client and lets holder answer the other daemons.
func NewClient(p *peers.Peers, holder *Holder, demand *dispatch.Demand, clock core.Clock, log *zap.Logger) *Client {
	c := &Client{peers: p, holder: holder, demand: demand, clock: clock, log: log}
	p.Handle(kindPlace, c.handlePlace)
	p.Handle(kindDemand, c.handleDemand)
	return c
}

// Start begins to tell the holder of the demand.
func (c *Client) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.wg.Add(1)
	go c.run(ctx)
}

// Stop ends that.
func (c *Client) Stop() {
	c.stop()
	c.wg.Wait()
}

func (c *Client) handlePlace(_ peers.Peer, body json.RawMessage, answer func(any)) {
	var w dispatch.Want
	if err := json.Unmarshal(body, &w); err != nil {
		c.log.Warn(logs.MessageUnreadable, logs.Err(err))
		return
	}
	c.holder.Place(w, func(p Placed) { answer(p) })
}

func (c *Client) handleDemand(from peers.Peer, body json.RawMessage, _ func(any)) {
	var list []wanted
	if err := json.Unmarshal(body, &list); err != nil {
		c.log.Warn(logs.MessageUnreadable, zap.String("other", from.Name), logs.Err(err))
		return
	}
	counts := make(map[dispatch.Want]float64, len(list))
	for _, w := range list {
		counts[w.Want] += w.Count
	}
	c.holder.Demand(counts)
}

// Place implements dispatch.Placer.
func (c *Client) Place(ctx context.Context, w dispatch.Want) (string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	to, ok := c.peers.Holder()
	if !ok {
		return "", 0, eris.Wrap(core.ErrUnavailable, "no daemon holds the lease of orders")
	}
	var got Placed
	if to.Name == c.peers.Self().Name {
		ch := make(chan Placed, 1)
		c.holder.Place(w, func(p Placed) { ch <- p })
		select {
		case got = <-ch:
		case <-ctx.Done():
			return "", 0, eris.Wrap(core.ErrUnavailable, "placement took too long")
		}
	} else if err := c.peers.Ask(ctx, to, kindPlace, w, &got, askResend); err != nil {
		return "", 0, eris.Wrapf(err, "holder %s", to.Name)
	}
	if got.Runner == "" {
		return "", got.Retry, eris.Wrap(core.ErrUnavailable, "no runner can take it now")
	}
	return got.Runner, 0, nil
}

func (c *Client) run(ctx context.Context) {
	defer c.wg.Done()
	for ctx.Err() == nil {
		if to, ok := c.peers.Holder(); ok {
			c.tell(to)
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(tellEvery):
		}
	}
}

func (c *Client) tell(to peers.Peer) {
	counts := c.demand.Take()
	if len(counts) == 0 {
		return
	}
	if to.Name == c.peers.Self().Name {
		c.holder.Demand(counts)
		return
	}
	list := make([]wanted, 0, len(counts))
	for w, n := range counts {
		list = append(list, wanted{w, n})
	}
	c.peers.Tell(to, kindDemand, list)
}
