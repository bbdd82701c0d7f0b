package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/answer"
	"primroseward/transport/peer"
)

// points remembers which daemon took which request.
type points struct {
	clock core.Clock
	life  time.Duration
	mu    sync.Mutex
	byKey map[string]point
}

type point struct {
	member string
	at     time.Time
}

// maxPoints bounds the memory of pointers; beyond it the newest are refused.
const maxPoints = 200000

func newPoints(clock core.Clock, life time.Duration) *points {
	return &points{clock: clock, life: life, byKey: map[string]point{}}
}

func (p *points) put(key, member string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.byKey[key]; known || len(p.byKey) < maxPoints {
		p.byKey[key] = point{member: member, at: p.clock.Now()}
	}
}

func (p *points) get(key string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one, ok := p.byKey[key]
	return one.member, ok
}

func (p *points) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, one := range p.byKey {
		if p.clock.Since(one.at) > p.life {
			delete(p.byKey, key)
		}
	}
}

// Point remembers which daemon took a request.
func (e *Entry) Point(key, member string) { e.points.put(key, member) }

// Find returns the daemon that holds a request's answer, as far as known here.
func (e *Entry) Find(key string) (string, error) {
	if _, err := e.keep.Get(key); err == nil {
		return e.members.Self().Name, nil
	}
	if member, ok := e.points.get(key); ok {
		return member, nil
	}
	return "", core.ErrNotFound
}

// point tells the daemons that the request's id hashes to where it is. It does
// not hold up the request.
func (e *Entry) point(a *Ask) {
	key := a.holdKey()
	self := e.members.Self().Name
	for _, m := range e.members.Rank("req/"+key, "", pointers) {
		if m.Name == self {
			continue
		}
		e.wg.Add(1)
		go e.runPoint(m, key, self)
	}
}

func (e *Entry) runPoint(to core.Member, key, self string) {
	defer e.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), pointTime)
	defer cancel()
	_, err := e.dial(to.Peer).Point(ctx, connect.NewRequest(&peerv1.Pointer{Request: key, Member: self}))
	if err != nil {
		e.log.Debug("pointer is not kept", zap.String("member", to.Name), zap.Error(err))
	}
}

// locate asks the daemons that the id hashes to which one took a request.
func (e *Entry) locate(ctx context.Context, key string) (string, error) {
	if member, err := e.Find(key); err == nil && e.lives(member) {
		return member, nil
	}
	self := e.members.Self().Name
	for _, m := range e.members.Rank("req/"+key, "", pointers) {
		if m.Name == self {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, pointTime)
		resp, err := e.dial(m.Peer).Find(ctx, connect.NewRequest(&peerv1.FindRequest{Request: key}))
		cancel()
		if err == nil && e.lives(resp.Msg.Member) {
			return resp.Msg.Member, nil
		}
	}
	return "", core.ErrNotFound
}

// lives says whether a pointer's daemon is still there. The one that took a
// request may have handed its answer over and gone; others then know better.
func (e *Entry) lives(member string) bool {
	_, err := e.members.Get(member)
	return err == nil
}

// joinElsewhere reads the answer from the daemon that has taken the request
// already. found is false when there is none and the request must be run.
func (e *Entry) joinElsewhere(ctx context.Context, a *Ask, held *answer.Held) (found bool, err error) {
	member, err := e.locate(ctx, a.holdKey())
	if err != nil || member == e.members.Self().Name {
		return false, nil
	}
	err = e.fetchInto(ctx, member, a.holdKey(), held)
	var re *core.RequestError
	if err == nil || errors.As(err, &re) && re.Outcome == core.OutcomeMayHaveRun {
		return true, err
	}
	if held.Buffer.Len() > 0 {
		return true, core.MayHaveRun("holder_lost", "the daemon that held the answer was lost")
	}
	if errors.As(err, &re) || a.Repeat || a.Key != "" {
		// Not run there, or safe to run again, or decided by the claim.
		return false, nil
	}
	lost := core.MayHaveRun("holder_lost", "another daemon took this request and cannot be asked")
	return true, lost
}

// fetchInto copies a held answer of another daemon into a buffer here.
func (e *Entry) fetchInto(ctx context.Context, member, key string, held *answer.Held) error {
	m, err := e.members.Get(member)
	if err != nil {
		return err
	}
	for try := 0; ; try++ {
		stream, err := e.dial(m.Peer).Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Request: key, Offset: held.Buffer.Len()}))
		if err == nil {
			err = copyFrames(ctx, stream, held.Buffer, "", held.Buffer.Len())
			_ = stream.Close()
		} else {
			err = peer.Unwrap(err)
		}
		if !errors.Is(err, core.ErrUnavailable) || try == fetchTries {
			return err
		}
	}
}

const fetchTries = 2

// Held returns the answer of a request that this daemon took.
func (e *Entry) Held(key string) (*answer.Buffer, error) {
	h, err := e.keep.Get(key)
	if err != nil {
		return nil, err
	}
	return h.Buffer, nil
}

// Return finds the answer of a request for a caller that comes back.
func (e *Entry) Return(ctx context.Context, scope, id string) (*answer.Buffer, error) {
	key := HoldKey(scope, id)
	h, err := e.keep.Get(key)
	if err == nil {
		return h.Buffer, nil
	}
	if errors.Is(err, core.ErrGone) {
		return nil, err
	}
	member, err := e.locate(ctx, key)
	if err != nil {
		return nil, err
	}
	if member == e.members.Self().Name {
		return nil, core.ErrGone
	}
	held := &answer.Held{Key: key, Buffer: answer.NewBuffer()}
	e.wg.Add(1)
	go e.runReturn(ctx, member, held)
	if _, err := held.Buffer.Head(ctx); err != nil {
		return nil, err
	}
	return held.Buffer, nil
}

func (e *Entry) runReturn(ctx context.Context, member string, held *answer.Held) {
	defer e.wg.Done()
	err := e.fetchInto(ctx, member, held.Key, held)
	switch {
	case err == nil:
		held.Buffer.Finish()
	case errors.Is(err, core.ErrGone) || errors.Is(err, core.ErrNotFound):
		held.Buffer.Fail(core.MayHaveRun("answer_gone", "the answer is no longer held"))
	default:
		held.Buffer.Fail(core.AsRequestError(err))
	}
}

// HandOver gives the finished answers held here to daemons that stay, before
// this one ends, and tells the others that an id hashes to.
func (e *Entry) HandOver(ctx context.Context) {
	for _, h := range e.keep.All() {
		msg := holdMessage(ctx, h)
		to := e.members.Rank("req/"+h.Key, "", pointers)
		if msg == nil || len(to) == 0 {
			continue
		}
		if _, err := e.dial(to[0].Peer).Hold(ctx, connect.NewRequest(msg)); err != nil {
			e.log.Info("a held answer is lost with this daemon", zap.Error(err))
			continue
		}
		for _, m := range to[1:] {
			_, _ = e.dial(m.Peer).Point(ctx, connect.NewRequest(&peerv1.Pointer{Request: h.Key, Member: to[0].Name}))
		}
	}
}

func holdMessage(ctx context.Context, h *answer.Held) *peerv1.HoldRequest {
	msg := &peerv1.HoldRequest{Request: h.Key, Print: h.Print}
	if head, err := h.Buffer.Head(ctx); err == nil {
		msg.Head = headToWire(head)
	}
	body, _, err := h.Buffer.Next(ctx, 0)
	if errors.Is(err, core.ErrGone) {
		return nil
	}
	msg.Body = body
	if _, fail := h.Buffer.Done(); fail != nil {
		msg.Fail = FailToWire(fail)
	}
	return msg
}

// Take keeps a finished answer that a leaving daemon hands over.
func (e *Entry) Take(msg *peerv1.HoldRequest) {
	held, fresh := e.keep.Begin(msg.Request, msg.Print)
	if !fresh {
		return
	}
	if msg.Head != nil {
		held.Buffer.SetHead(headFromWire(msg.Head))
	}
	if len(msg.Body) > 0 {
		_ = held.Buffer.Append(context.Background(), msg.Body)
	}
	if msg.Fail != nil {
		held.Buffer.Fail(FailFromWire(msg.Fail))
	} else {
		held.Buffer.Finish()
	}
	e.keep.Finished(held)
}
