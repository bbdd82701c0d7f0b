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

// pointerTable records which daemon accepted which request.
type pointerTable struct {
	clock core.Clock
	ttl   time.Duration
	mu    sync.Mutex
	byKey map[string]pointer
}

type pointer struct {
	member   string
	storedAt time.Time
}

// maxPointers bounds the memory of pointers. When the table is full, new pointers
// are dropped.
const maxPointers = 200000

func newPointerTable(clock core.Clock, ttl time.Duration) *pointerTable {
	return &pointerTable{clock: clock, ttl: ttl, byKey: map[string]pointer{}}
}

func (p *pointerTable) put(key, member string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, stored := p.byKey[key]; stored || len(p.byKey) < maxPointers {
		p.byKey[key] = pointer{member: member, storedAt: p.clock.Now()}
	}
}

func (p *pointerTable) get(key string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byKey[key]
	return found.member, ok
}

func (p *pointerTable) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, stored := range p.byKey {
		if p.clock.Since(stored.storedAt) > p.ttl {
			delete(p.byKey, key)
		}
	}
}

// StorePointer stores a pointer: which daemon accepted a request.
func (e *Entry) StorePointer(key, member string) { e.pointers.put(key, member) }

// FindAnswer returns the daemon that stores a request's answer, from the answers and
// pointers of this daemon.
func (e *Entry) FindAnswer(key string) (string, error) {
	if _, err := e.answers.Get(key); err == nil {
		return e.members.Self().Name, nil
	}
	if member, ok := e.pointers.get(key); ok {
		return member, nil
	}
	return "", core.ErrNotFound
}

// sendPointers sends a pointer to this daemon to the daemons that the answer key
// hashes to. It runs in the background and does not delay the request.
func (e *Entry) sendPointers(a *Request) {
	key := a.answerKey()
	self := e.members.Self().Name
	for _, m := range e.members.Rank("req/"+key, "", pointerDaemons) {
		if m.Name == self {
			continue
		}
		e.wg.Add(1)
		go e.sendPointer(m, key, self)
	}
}

func (e *Entry) sendPointer(to core.Member, key, self string) {
	defer e.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), pointerTimeout)
	defer cancel()
	_, err := e.dial(to.Peer).Point(ctx, connect.NewRequest(&peerv1.Pointer{Request: key, Member: self}))
	if err != nil {
		e.log.Debug("cannot send the pointer to an answer", zap.String("member", to.Name), zap.Error(err))
	}
}

// locate returns the daemon that accepted a request, from this daemon's tables or
// from the daemons that the key hashes to.
func (e *Entry) locate(ctx context.Context, key string) (string, error) {
	if member, err := e.FindAnswer(key); err == nil && e.isMember(member) {
		return member, nil
	}
	self := e.members.Self().Name
	for _, m := range e.members.Rank("req/"+key, "", pointerDaemons) {
		if m.Name == self {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, pointerTimeout)
		resp, err := e.dial(m.Peer).Find(ctx, connect.NewRequest(&peerv1.FindRequest{Request: key}))
		cancel()
		if err == nil && e.isMember(resp.Msg.Member) {
			return resp.Msg.Member, nil
		}
	}
	return "", core.ErrNotFound
}

// isMember reports whether a pointer's daemon is still a member. The daemon that
// accepted a request may have handed its answer over and stopped; other daemons
// then have a newer pointer.
func (e *Entry) isMember(member string) bool {
	_, err := e.members.Get(member)
	return err == nil
}

// joinRemote fetches the answer from the daemon that has accepted the request
// already. found is false if there is none and the request has to run here.
func (e *Entry) joinRemote(ctx context.Context, a *Request, held *answer.Held) (found bool, err error) {
	member, err := e.locate(ctx, a.answerKey())
	if err != nil || member == e.members.Self().Name {
		return false, nil
	}
	err = e.fetchAnswer(ctx, member, a.answerKey(), held)
	var re *core.RequestError
	if err == nil || errors.As(err, &re) && re.Outcome == core.OutcomeMayHaveRun {
		return true, err
	}
	if held.Buffer.Len() > 0 {
		return true, core.MayHaveRun("holder_lost", "cannot read the rest of the answer from the daemon that stores it")
	}
	if errors.As(err, &re) || a.Repeatable || a.Key != "" {
		// The request did not run there, or is repeatable, or the claim decides.
		return false, nil
	}
	unreadable := core.MayHaveRun("holder_lost", "another daemon accepted this request and its answer cannot be read")
	return true, unreadable
}

// fetchAnswer copies an answer that another daemon stores into a local buffer. A
// broken connection is replaced up to maxFetchRetries times.
func (e *Entry) fetchAnswer(ctx context.Context, member, key string, held *answer.Held) error {
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
			err = peer.FromConnectError(err)
		}
		if !errors.Is(err, core.ErrUnavailable) || try == maxFetchRetries {
			return err
		}
	}
}

const maxFetchRetries = 2

// StoredAnswer returns the answer of a request that this daemon accepted or received by
// handover.
func (e *Entry) StoredAnswer(key string) (*answer.Buffer, error) {
	h, err := e.answers.Get(key)
	if err != nil {
		return nil, err
	}
	return h.Buffer, nil
}

// Reconnect returns the answer of an earlier request to a caller that reconnects. It
// fetches the answer from another daemon if that one stores it. The error is
// ErrGone if the answer is no longer stored.
func (e *Entry) Reconnect(ctx context.Context, scope, id string) (*answer.Buffer, error) {
	key := AnswerKey(scope, id)
	h, err := e.answers.Get(key)
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
	go e.fetchInBackground(ctx, member, held)
	if _, err := held.Buffer.Head(ctx); err != nil {
		return nil, err
	}
	return held.Buffer, nil
}

func (e *Entry) fetchInBackground(ctx context.Context, member string, held *answer.Held) {
	defer e.wg.Done()
	err := e.fetchAnswer(ctx, member, held.Key, held)
	switch {
	case err == nil:
		held.Buffer.Finish()
	case errors.Is(err, core.ErrGone) || errors.Is(err, core.ErrNotFound):
		held.Buffer.Fail(core.MayHaveRun("answer_gone", "the answer is no longer held"))
	default:
		held.Buffer.Fail(core.AsRequestError(err))
	}
}

// HandOver sends the finished answers stored here to daemons that keep running,
// before this daemon stops. The other daemons that an answer's key hashes to
// receive a pointer.
func (e *Entry) HandOver(ctx context.Context) {
	for _, h := range e.answers.All() {
		msg := holdMessage(ctx, h)
		targets := e.members.Rank("req/"+h.Key, "", pointerDaemons)
		if msg == nil || len(targets) == 0 {
			continue
		}
		if _, err := e.dial(targets[0].Peer).Hold(ctx, connect.NewRequest(msg)); err != nil {
			e.log.Info("cannot hand over a stored answer; it is lost with this daemon", zap.Error(err))
			continue
		}
		for _, m := range targets[1:] {
			_, _ = e.dial(m.Peer).Point(ctx, connect.NewRequest(&peerv1.Pointer{Request: h.Key, Member: targets[0].Name}))
		}
	}
}

// holdMessage encodes a finished answer. It returns nil if the start of the
// answer's data has been dropped.
func holdMessage(ctx context.Context, h *answer.Held) *peerv1.HoldRequest {
	msg := &peerv1.HoldRequest{Request: h.Key, Print: h.Fingerprint}
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

// StoreAnswer stores a finished answer that a leaving daemon hands over.
func (e *Entry) StoreAnswer(msg *peerv1.HoldRequest) {
	held, created := e.answers.Begin(msg.Request, msg.Print)
	if !created {
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
	e.answers.MarkFinished(held)
}
