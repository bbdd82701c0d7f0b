package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/coordination/reach"
	"primroseward/io/logs"
)

const (
	kindAnswered = "answered"
	// maxAskedPeers is how many daemons are asked whether a runner answers them, in a large fleet; in a
	// small one all are.
	maxAskedPeers = 3
	// answeredResend is the time after which a question is sent again, a round trip between data
	// centres.
	answeredResend = 100 * time.Millisecond
)

// answeredRequest asks whether a runner has begun to answer a request that was sent within a time.
type answeredRequest struct {
	Runner string        `json:"r"`
	Within time.Duration `json:"w"`
}

// answeredReply is the reply to an answeredRequest.
type answeredReply struct {
	Answered bool `json:"a"`
	Waits    bool `json:"w"` // an earlier request waits for an answer
}

func (d *Daemon) handleAnswered(from peers.Peer, body json.RawMessage, reply func(any)) {
	var req answeredRequest
	if err := json.Unmarshal(body, &req); err != nil {
		d.log.Warn(logs.MessageUnreadable, zap.String("other", from.Name), logs.Err(err))
		return
	}
	answered, waits := d.loads.AnsweredWithin(req.Runner, req.Within)
	reply(answeredReply{Answered: answered, Waits: waits})
}

// answeredPeers are the other daemons that runners answer. It implements reach.Peers.
type answeredPeers struct{ d *Daemon }

// AnsweredWithin implements reach.Peers.
func (a answeredPeers) AnsweredWithin(ctx context.Context, runner string, within time.Duration) reach.PeerView {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := a.choose()
	views := make(chan reach.PeerView, len(asked))
	for _, p := range asked {
		a.d.wg.Add(1)
		go a.runRequest(ctx, p, answeredRequest{Runner: runner, Within: within}, views)
	}
	var all reach.PeerView
	for range asked {
		one := <-views
		if one.Answers != "" {
			return one
		}
		all.Waits = all.Waits || one.Waits
	}
	return all
}

// runRequest asks one daemon. One that does not reply knows nothing.
func (a answeredPeers) runRequest(ctx context.Context, p peers.Peer, req answeredRequest, views chan<- reach.PeerView) {
	defer a.d.wg.Done()
	var reply answeredReply
	if err := a.d.peers.Request(ctx, p, kindAnswered, req, &reply, answeredResend); err != nil {
		views <- reach.PeerView{}
		return
	}
	one := reach.PeerView{Waits: reply.Waits}
	if reply.Answered {
		one.Answers = p.Name
	}
	views <- one
}

// choose returns the daemons to ask.
func (a answeredPeers) choose() []peers.Peer {
	var out []peers.Peer
	for _, p := range a.d.peers.Alive()[1:] {
		if p.Ready && !p.PathLost {
			out = append(out, p)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	if a.d.peers.Large() {
		out = out[:min(len(out), maxAskedPeers)]
	}
	return out
}
