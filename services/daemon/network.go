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
	// messageTimeout bounds the sending of a message that has no reply.
	messageTimeout = time.Second
	// maxMessages bounds the number of such messages in transit. Further ones are dropped.
	maxMessages = 256
)

// network sends messages to other daemons as RPC calls. It implements quarantine.Network and
// rpc.MessageHandler.
type network struct {
	members  core.Members
	dial     peer.Dial
	clock    core.Clock
	log      *zap.Logger
	handlers map[string]peers.Handler
	inFlight chan struct{} // holds one element for each message in transit
	wg       sync.WaitGroup
}

var _ quarantine.Network = (*network)(nil)

func newNetwork(members core.Members, dial peer.Dial, clock core.Clock, log *zap.Logger) *network {
	return &network{members: members, dial: dial, clock: clock, log: log, handlers: map[string]peers.Handler{}, inFlight: make(chan struct{}, maxMessages)}
}

func memberToPeer(m core.Member) peers.Peer {
	return peers.Peer{Name: m.Name, DataCentre: m.DataCentre, Caller: m.Caller, Peer: m.Peer, Boot: m.Boot, Leaving: m.State == core.MemberLeaving}
}

// Self implements quarantine.Network.
func (n *network) Self() peers.Peer { return memberToPeer(n.members.Self()) }

// Alive implements quarantine.Network. This daemon is the first in the list.
func (n *network) Alive() []peers.Peer {
	self := n.Self()
	out := []peers.Peer{self}
	for _, m := range n.members.All() {
		if m.Name != self.Name {
			out = append(out, memberToPeer(m))
		}
	}
	return out
}

// Handle implements quarantine.Network.
func (n *network) Handle(kind string, h peers.Handler) { n.handlers[kind] = h }

// HandleMessage implements rpc.MessageHandler.
func (n *network) HandleMessage(from, kind string, body []byte) ([]byte, error) {
	m, err := n.members.Get(from)
	if err != nil {
		return nil, err
	}
	h, ok := n.handlers[kind]
	if !ok {
		return nil, eris.Wrapf(core.ErrNotFound, "message of kind %q", kind)
	}
	var out []byte
	h(memberToPeer(m), body, func(v any) { out = n.encode(v) })
	return out, nil
}

// encode encodes a message. It logs an error and returns nil if the message cannot be encoded.
func (n *network) encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		n.log.Error(logs.MessageUnwritten, logs.Err(err))
		return nil
	}
	return data
}

// Send implements quarantine.Network.
func (n *network) Send(to peers.Peer, kind string, message any) {
	data := n.encode(message)
	if data == nil {
		return
	}
	select {
	case n.inFlight <- struct{}{}:
	default:
		n.log.Debug(logs.DatagramUnsent, zap.String("other", to.Name), zap.String("kind", kind))
		return
	}
	n.wg.Add(1)
	go n.sendMessage(to, kind, data)
}

// sendMessage sends an encoded message and releases its slot.
func (n *network) sendMessage(to peers.Peer, kind string, data []byte) {
	defer n.wg.Done()
	defer func() { <-n.inFlight }()
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	if _, err := n.call(ctx, to, kind, data); err != nil {
		n.log.Debug(logs.DatagramUnsent, zap.String("other", to.Name), zap.String("kind", kind), logs.Err(err))
	}
}

// Broadcast implements quarantine.Network.
func (n *network) Broadcast(kind string, message any) {
	for _, to := range n.Alive()[1:] {
		n.Send(to, kind, message)
	}
}

// Request implements quarantine.Network. A call fails rather than getting lost, and a failed call
// is made again after the resend interval until ctx is done.
func (n *network) Request(ctx context.Context, to peers.Peer, kind string, request, out any, resend time.Duration) error {
	data, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "question")
	}
	for {
		reply, err := n.call(ctx, to, kind, data)
		if err == nil {
			return json.Unmarshal(reply, out)
		}
		core.Sleep(ctx, n.clock, resend)
		if ctx.Err() != nil {
			return eris.Wrapf(peers.ErrNoReply, "%v", err)
		}
	}
}

func (n *network) call(ctx context.Context, to peers.Peer, kind string, data []byte) ([]byte, error) {
	resp, err := n.dial(to.Peer).Message(ctx, connect.NewRequest(&peerv1.MessageRequest{From: n.members.Self().Name, Kind: kind, Body: data}))
	if err != nil {
		return nil, peer.FromConnectError(err)
	}
	return resp.Msg.Body, nil
}

// wait waits until no message is in transit.
func (n *network) wait() { n.wg.Wait() }
