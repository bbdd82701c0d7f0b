package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"primroseward/coordination/load"
	"primroseward/coordination/peers"
	"primroseward/coordination/reach"
)

const (
	kindAnswered = "answered"
	kindHeard    = "heard"
	// maxAskedPeers is how many daemons are asked whether a runner answers them, in a large fleet; in a
	// small one all are.
	maxAskedPeers = 3
	// answeredResend is the time after which a question is sent again, a round trip between data
	// centres.
	answeredResend = 100 * time.Millisecond
	// maxHeardPeers is how many daemons are asked what they have received from runners, in a large fleet: most
	// of those asked may have lost their path too.
	maxHeardPeers = 8
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
	if !peers.Decode(d.log, from, body, &req) {
		return
	}
	answered, waits := d.loads.AnsweredWithin(req.Runner, req.Within)
	reply(answeredReply{Answered: answered, Waits: waits})
}

// answeredPeers are the other daemons that runners answer. It implements reach.Peers.
type answeredPeers struct{ d *Daemon }

// AnsweredWithin implements reach.Peers. A daemon that does not reply knows nothing.
func (a answeredPeers) AnsweredWithin(ctx context.Context, runner string, within time.Duration) reach.PeerView {
	var all reach.PeerView
	peers.RequestAll(ctx, a.d.peers, a.choose(maxAskedPeers), kindAnswered, answeredRequest{Runner: runner, Within: within}, answeredResend, func(from string, r answeredReply) bool {
		all.Waits = all.Waits || r.Waits
		if r.Answered {
			all.Answers = from
		}
		return r.Answered
	})
	return all
}

// heardRequest asks what a daemon has received from runners within a time.
type heardRequest struct {
	Runners []string      `json:"r"`
	Within  time.Duration `json:"w"`
}

// heardReply is the reply to a heardRequest, see load.Heard.
type heardReply struct {
	Asked   bool `json:"a"`
	Any     bool `json:"y"`
	Waiting int  `json:"w"`
}

func (d *Daemon) handleHeard(from peers.Peer, body json.RawMessage, reply func(any)) {
	var req heardRequest
	if !peers.Decode(d.log, from, body, &req) {
		return
	}
	reply(heardReply(d.loads.HeardWithin(req.Runners, req.Within)))
}

// HeardWithin implements reach.Peers. It returns once a daemon has received something from one of
// the runners.
func (a answeredPeers) HeardWithin(ctx context.Context, runners []string, within time.Duration) []load.Heard {
	var out []load.Heard
	peers.RequestAll(ctx, a.d.peers, a.choose(maxHeardPeers), kindHeard, heardRequest{Runners: runners, Within: within}, answeredResend, func(_ string, r heardReply) bool {
		out = append(out, load.Heard(r))
		return r.Asked
	})
	return out
}

// choose returns the daemons to ask, in a large fleet at most as many as given.
func (a answeredPeers) choose(most int) []peers.Peer {
	var out []peers.Peer
	for _, p := range a.d.peers.Alive()[1:] {
		if p.Ready && !p.PathLost {
			out = append(out, p)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	if a.d.peers.Large() {
		out = out[:min(len(out), most)]
	}
	return out
}
