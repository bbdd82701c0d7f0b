// Package rpc handles the calls of other daemons. It converts messages and calls the
// coordination layer.
package rpc

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"primroseward/coordination/entry"
	"primroseward/coordination/member"
	"primroseward/coordination/owner"
	"primroseward/coordination/spread"
	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/protocol/peerv1/peerv1connect"
	"primroseward/state/directory"
	"primroseward/state/tree"
	"primroseward/transport/peer"
)

// Handler implements the Peer service.
type Handler struct {
	Table   *member.Table
	Spread  *spread.Spreader
	Replica *tree.Replica
	Owner   *owner.Manager
	Entry   *entry.Entry
	Dir     *directory.Directory
	Clock   core.Clock
	Planner Planner
	// Messages handles the messages for components that use a general message exchange
	// instead of calls of their own, such as the quarantine.
	Messages MessageHandler
}

// MessageHandler handles messages of other daemons.
type MessageHandler interface {
	// HandleMessage returns the reply, or nil if there is none. It fails with
	// core.ErrNotFound if the sender or the kind is not known.
	HandleMessage(from, kind string, body []byte) ([]byte, error)
}

// Planner provides the state of the planner role for the status.
type Planner interface {
	// Active reports whether this daemon plans now.
	Active() bool
	// Unplaceable returns the models that cannot be placed, each with the reason.
	Unplaceable() []string
}

var _ peerv1connect.PeerHandler = (*Handler)(nil)

type (
	frameStream = connect.ServerStream[peerv1.Frame]
	empty       = connect.Response[peerv1.Empty]
)

func emptyReply() (*empty, error) { return connect.NewResponse(&peerv1.Empty{}), nil }

// Dispatch runs an attempt and streams its answer.
func (h *Handler) Dispatch(ctx context.Context, req *connect.Request[peerv1.DispatchRequest], s *frameStream) error {
	a := h.Owner.Dispatch(ctx, entry.DispatchFromWire(req.Msg, h.Clock.Now()))
	return entry.SendFrames(ctx, a.Buffer, a.AttemptID, 0, s.Send)
}

// Resume streams the answer of an attempt again, from an offset.
func (h *Handler) Resume(ctx context.Context, req *connect.Request[peerv1.ResumeRequest], s *frameStream) error {
	a, err := h.Owner.Attempt(req.Msg.Attempt)
	if err != nil {
		return peer.ToConnectError(err)
	}
	return entry.SendFrames(ctx, a.Buffer, a.AttemptID, req.Msg.Offset, s.Send)
}

// Cancel stops an attempt, or prevents one that has not arrived yet.
func (h *Handler) Cancel(_ context.Context, req *connect.Request[peerv1.CancelRequest]) (*connect.Response[peerv1.CancelReply], error) {
	barred := h.Owner.Cancel(req.Msg.Attempt)
	return connect.NewResponse(&peerv1.CancelReply{Barred: barred, Boot: h.Table.Self().Boot}), nil
}

// Fetch streams a stored answer.
func (h *Handler) Fetch(ctx context.Context, req *connect.Request[peerv1.FetchRequest], s *frameStream) error {
	buf, err := h.Entry.StoredAnswer(req.Msg.Request)
	if err != nil {
		return peer.ToConnectError(err)
	}
	return entry.SendFrames(ctx, buf, "", req.Msg.Offset, s.Send)
}

// Point records which daemon accepted a request.
func (h *Handler) Point(_ context.Context, req *connect.Request[peerv1.Pointer]) (*empty, error) {
	h.Entry.StorePointer(req.Msg.Request, req.Msg.Member)
	return emptyReply()
}

// Find returns which daemon accepted a request.
func (h *Handler) Find(_ context.Context, req *connect.Request[peerv1.FindRequest]) (*connect.Response[peerv1.Pointer], error) {
	m, err := h.Entry.FindAnswer(req.Msg.Request)
	if err != nil {
		return nil, peer.ToConnectError(err)
	}
	return connect.NewResponse(&peerv1.Pointer{Request: req.Msg.Request, Member: m}), nil
}

// Report adds reports of runners to the directory.
func (h *Handler) Report(_ context.Context, req *connect.Request[peerv1.Reports]) (*empty, error) {
	h.Dir.Put(entry.ReportsFromWire(req.Msg, h.Clock.Now()))
	return emptyReply()
}

// Lookup returns the reports of the runners that serve a key.
func (h *Handler) Lookup(_ context.Context, req *connect.Request[peerv1.LookupRequest]) (*connect.Response[peerv1.Reports], error) {
	return connect.NewResponse(entry.ReportsToWire(h.Dir.Find(req.Msg.Key), h.Clock.Now())), nil
}

// Push applies branches of the settings tree.
func (h *Handler) Push(_ context.Context, req *connect.Request[peerv1.Branches]) (*empty, error) {
	h.Spread.ApplyBranches(spread.FromWire(req.Msg))
	return emptyReply()
}

// Pull returns the branches of the settings tree that are newer than the caller's versions.
func (h *Handler) Pull(_ context.Context, req *connect.Request[peerv1.Versions]) (*connect.Response[peerv1.Branches], error) {
	return connect.NewResponse(h.Spread.Newer(req.Msg)), nil
}

// Sync merges a full member list and returns the local one.
func (h *Handler) Sync(_ context.Context, req *connect.Request[peerv1.MemberList]) (*connect.Response[peerv1.MemberList], error) {
	for _, w := range req.Msg.Members {
		if m, err := member.FromWire(w); err == nil {
			h.Table.Merge(m)
		}
	}
	return connect.NewResponse(MembersToWire(h.Table.AllWithDead())), nil
}

// MembersToWire converts a member list to its message.
func MembersToWire(members []core.Member) *peerv1.MemberList {
	out := &peerv1.MemberList{}
	for _, m := range members {
		out.Members = append(out.Members, member.ToWire(m))
	}
	return out
}

// Hold stores an answer that a leaving daemon hands over.
func (h *Handler) Hold(_ context.Context, req *connect.Request[peerv1.HoldRequest]) (*empty, error) {
	h.Entry.StoreAnswer(req.Msg)
	return emptyReply()
}

// Order proposes a load or an eviction to a runner that this daemon owns.
func (h *Handler) Order(ctx context.Context, req *connect.Request[peerv1.OrderRequest]) (*connect.Response[peerv1.OrderReply], error) {
	kind := core.OrderLoad
	if req.Msg.Kind == peerv1.OrderKind_ORDER_EVICT {
		kind = core.OrderEvict
	}
	err := h.Owner.Propose(ctx, req.Msg.Runner, owner.Proposal{Kind: kind, Model: req.Msg.Model, Version: req.Msg.Version, Reason: req.Msg.Reason})
	reply := &peerv1.OrderReply{Accepted: err == nil}
	if err != nil {
		reply.Reason = err.Error()
	}
	return connect.NewResponse(reply), nil
}

// View returns the runners that this daemon owns and the demand that it has measured.
func (h *Handler) View(context.Context, *connect.Request[peerv1.Empty]) (*connect.Response[peerv1.Views], error) {
	out := &peerv1.Views{Member: h.Table.Self().Name}
	now := h.Clock.Now()
	for _, v := range h.Owner.Views() {
		out.Views = append(out.Views, viewToWire(v, now))
	}
	for model, r := range h.Entry.Demand().All() {
		out.Demand = append(out.Demand, &peerv1.Demand{Model: model, Fast: r.Fast, Slow: r.Slow})
	}
	return connect.NewResponse(out), nil
}

func viewToWire(v owner.View, now time.Time) *peerv1.View {
	w := &peerv1.View{
		Runner:      v.Runner,
		Place:       v.Report.DataCentre,
		Capacity:    v.Capacity,
		Running:     int32(v.Report.Running),
		Queued:      int32(v.Report.Queued),
		Slots:       int32(v.Report.Slots),
		Leaving:     v.Report.Leaving,
		Unreachable: v.Unreachable,
		Known:       v.RecordRead,
		Cost:        v.Cost.Milliseconds(),
	}
	for _, e := range v.Record.Entries {
		w.Held = append(w.Held, &peerv1.Held{
			Model:   e.Model,
			Version: e.Version,
			Bytes:   e.Bytes,
			State:   string(e.State),
			Reason:  e.Reason,
			Age:     now.Sub(e.Since).Milliseconds(),
		})
	}
	return w
}

// Message passes a message of another daemon to the message handler.
func (h *Handler) Message(_ context.Context, req *connect.Request[peerv1.MessageRequest]) (*connect.Response[peerv1.MessageReply], error) {
	body, err := h.Messages.HandleMessage(req.Msg.From, req.Msg.Kind, req.Msg.Body)
	if err != nil {
		return nil, peer.ToConnectError(err)
	}
	return connect.NewResponse(&peerv1.MessageReply{Body: body}), nil
}

// Status returns the state of this daemon, including the versions of the settings in force.
func (h *Handler) Status(context.Context, *connect.Request[peerv1.Empty]) (*connect.Response[peerv1.MemberStatus], error) {
	out := &peerv1.MemberStatus{
		Member:   member.ToWire(h.Table.Self()),
		Running:  int32(h.Entry.Running()),
		Queued:   int32(h.Owner.Queued()),
		Held:     h.Entry.StoredBytes(),
		Problems: h.Replica.Problems(),
		Relay:    h.Spread.Relaying(),
		Planner:  h.Planner.Active(),
		Lacking:  h.Planner.Unplaceable(),
		Fresh:    h.Spread.SinceConfirmed().Milliseconds(),
	}
	for name, v := range h.Replica.Versions() {
		out.Versions = append(out.Versions, &peerv1.Version{Branch: name, Version: v})
	}
	for _, v := range h.Owner.Views() {
		out.Runners = append(out.Runners, v.Runner)
	}
	return connect.NewResponse(out), nil
}
