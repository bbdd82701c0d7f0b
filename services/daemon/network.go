package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/coordination/quarantine"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/protocol/peerv1"
	"primroseward/transport/peer"
)

const (
	// messageLimit bounds a message that has no answer.
	messageLimit = time.Second
	// maxMessages bounds the messages that are on their way; more are dropped.
	maxMessages = 256
)

// network brings messages to the other daemons, as calls; it implements
// quarantine.Network and rpc.Messages.
type network struct {
	members  core.Members
	dial     peer.Dial
	clock    core.Clock
	log      *zap.Logger
	handlers map[string]peers.Handler
	places   chan struct{} // one for each message on its way
	wg       sync.WaitGroup
}

var _ quarantine.Network = (*network)(nil)

func newNetwork(members core.Members, dial peer.Dial, clock core.Clock, log *zap.Logger) *network {
	return &network{members: members, dial: dial, clock: clock, log: log, handlers: map[string]peers.Handler{}, places: make(chan struct{}, maxMessages)}
}

func peerOf(m core.Member) peers.Peer {
	return peers.Peer{Name: m.Name, Place: m.Place, Caller: m.Caller, Peer: m.Peer, Boot: m.Boot, Leaving: m.State == core.MemberLeaving}
}

// Self implements quarantine.Network.
func (n *network) Self() peers.Peer { return peerOf(n.members.Self()) }

// Alive implements quarantine.Network: this daemon comes first.
func (n *network) Alive() []peers.Peer {
	self := n.Self()
	out := []peers.Peer{self}
	for _, m := range n.members.All() {
		if m.Name != self.Name {
			out = append(out, peerOf(m))
		}
	}
	return out
}

// Handle implements quarantine.Network.
func (n *network) Handle(kind string, h peers.Handler) { n.handlers[kind] = h }

// Take implements rpc.Messages.
func (n *network) Take(from, kind string, body []byte) ([]byte, error) {
	m, err := n.members.Get(from)
	if err != nil {
		return nil, err
	}
	h, ok := n.handlers[kind]
	if !ok {
		return nil, eris.Wrapf(core.ErrNotFound, "message of kind %q", kind)
	}
	var out []byte
	h(peerOf(m), body, func(v any) { out = n.encode(v) })
	return out, nil
}

// encode writes a message; nil if it can't be written, which is logged.
func (n *network) encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		n.log.Error(logs.MessageUnwritten, logs.Err(err))
		return nil
	}
	return data
}

// Tell implements quarantine.Network.
func (n *network) Tell(to peers.Peer, kind string, message any) {
	data := n.encode(message)
	if data == nil {
		return
	}
	select {
	case n.places <- struct{}{}:
	default:
		n.log.Debug(logs.DatagramUnsent, zap.String("other", to.Name), zap.String("kind", kind))
		return
	}
	n.wg.Add(1)
	go n.runTell(to, kind, data)
}

func (n *network) runTell(to peers.Peer, kind string, data []byte) {
	defer n.wg.Done()
	defer func() { <-n.places }()
	ctx, cancel := context.WithTimeout(context.Background(), messageLimit)
	defer cancel()
	if _, err := n.call(ctx, to, kind, data); err != nil {
		n.log.Debug(logs.DatagramUnsent, zap.String("other", to.Name), zap.String("kind", kind), logs.Err(err))
	}
}

// TellAll implements quarantine.Network.
func (n *network) TellAll(kind string, message any) {
	for _, to := range n.Alive()[1:] {
		n.Tell(to, kind, message)
	}
}

// Ask implements quarantine.Network. Calls are not lost; one that fails is made again.
func (n *network) Ask(ctx context.Context, to peers.Peer, kind string, question, out any, resend time.Duration) error {
	data, err := json.Marshal(question)
	if err != nil {
		return eris.Wrap(err, "question")
	}
	for {
		answer, err := n.call(ctx, to, kind, data)
		if err == nil {
			return json.Unmarshal(answer, out)
		}
		core.Sleep(ctx, n.clock, resend)
		if ctx.Err() != nil {
			return eris.Wrapf(peers.ErrNoAnswer, "%v", err)
		}
	}
}

func (n *network) call(ctx context.Context, to peers.Peer, kind string, data []byte) ([]byte, error) {
	resp, err := n.dial(to.Peer).Message(ctx, connect.NewRequest(&peerv1.MessageRequest{From: n.members.Self().Name, Kind: kind, Body: data}))
	if err != nil {
		return nil, peer.Unwrap(err)
	}
	return resp.Msg.Body, nil
}

// stop waits for the messages that are on their way.
func (n *network) stop() { n.wg.Wait() }
