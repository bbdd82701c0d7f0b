package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"primroseward/coordination/owner"
	"primroseward/coordination/route"
	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/answer"
	"primroseward/state/directory"
	"primroseward/transport/peer"
)

const (
	// maxTries bounds how many runners one request is offered to.
	maxTries = 8
	// findFor is how long a request waits for a runner to be known again after
	// a daemon's death; findEvery how often it looks.
	findFor   = 4 * time.Second
	findEvery = 100 * time.Millisecond
	// resumeTries bounds how often a broken connection to an owner is replaced.
	resumeTries = 3
	resumePause = 200 * time.Millisecond
	barTimeout  = 2 * time.Second
)

// work is one request on its way to a whole answer.
type work struct {
	e       *Entry
	ask     *Ask
	held    *answer.Held
	relay   *relay
	refused map[string]bool // runners that refused it
	last    *core.RequestError
	runs    int // attempts that may have run
	retries int
	tries   int
}

// attempts offers the request to runners until one answers whole. A refusal
// before anything was sent costs nothing and goes on to the next runner. What
// may have run is tried again only if it may be repeated, and within the
// retry budget.
func (e *Entry) attempts(ctx context.Context, a *Ask, held *answer.Held) error {
	w := &work{e: e, ask: a, held: held, relay: newRelay(a, held.Buffer), refused: map[string]bool{}}
	e.budget.First()
	for ; w.tries < maxTries; w.tries++ {
		runner, err := w.choose(ctx)
		if err != nil {
			return err
		}
		if retry, ok := e.guard.Admit(ctx, a.Digest); !ok {
			return core.HeldBack(w.runs, retry)
		}
		err = w.once(ctx, runner)
		if err == nil {
			return nil
		}
		if stop := w.judge(ctx, runner, err); stop == errWhole {
			return nil
		} else if stop != nil {
			return stop
		}
	}
	return w.last
}

// errWhole says that an attempt failed after the answer was whole in effect.
var errWhole = errors.New("the answer is whole")

// judge decides what follows a failed attempt; nil means another attempt.
func (w *work) judge(ctx context.Context, runner directory.Report, err error) error {
	re := core.AsRequestError(err)
	w.e.log.Info("attempt failed", zap.String("request", w.ask.ID), zap.String("runner", runner.Runner),
		zap.String("outcome", string(re.Outcome)), zap.String("code", re.Code), zap.String("cause", re.Message))
	if ctx.Err() != nil {
		return w.final(re)
	}
	if re.Outcome == core.OutcomeNotRun {
		w.refused[runner.Runner] = true
		w.keepLast(re)
		return nil
	}
	w.runs++
	w.e.health.Failed(runner.Runner)
	w.last = re
	if !w.ask.Repeat {
		return re
	}
	if w.relay.complete(ctx) {
		return errWhole
	}
	if !w.relay.canContinue() {
		return re
	}
	if !w.e.budget.Retry() {
		re.Retry = time.Second
		return re
	}
	w.e.count("retries")
	w.retries++
	w.refused[runner.Runner] = true
	return nil
}

// final answers a request whose time is over or whose caller has gone.
func (w *work) final(re *core.RequestError) error {
	if w.last != nil && w.last.Outcome == core.OutcomeMayHaveRun {
		return w.last
	}
	return re
}

// keepLast remembers the refusal that tells most: one that a later try would
// get past soonest.
func (w *work) keepLast(re *core.RequestError) {
	switch {
	case w.last != nil && w.last.Outcome == core.OutcomeMayHaveRun:
	case w.last == nil || re.Retry > 0 && (w.last.Retry == 0 || re.Retry < w.last.Retry):
		w.last = re
	}
}

// choose finds a runner. When none is known, it looks again for a while: after
// a daemon's death its runners are unknown until another one owns them.
func (w *work) choose(ctx context.Context) (directory.Report, error) {
	until := w.e.clock.Now().Add(findFor)
	for {
		candidates, known := w.candidates(ctx)
		ask := route.Ask{Place: w.e.members.Self().Place, Prefix: w.ask.Prefix}
		if i := ask.Choose(candidates); i >= 0 {
			return candidates[i].Report, nil
		}
		if known && w.last != nil {
			return directory.Report{}, w.last
		}
		if !w.e.clock.Now().Before(until) {
			return directory.Report{}, w.none()
		}
		select {
		case <-ctx.Done():
			return directory.Report{}, w.none()
		case <-w.e.clock.After(findEvery):
		}
	}
}

// none explains that no runner serves the request now.
func (w *work) none() error {
	if w.last != nil {
		return w.last
	}
	return core.NotRun(http.StatusServiceUnavailable, "no_runner", "no runner in the allowed places serves this now", 2*time.Second)
}

// candidates returns the runners that may be asked, and whether any is known
// in the allowed places, asked or not. A runner that refused is asked again
// only where its refusal is likely to be out of date.
func (w *work) candidates(ctx context.Context) ([]route.Candidate, bool) {
	t := w.e.replica.Tree()
	reports, sent := w.e.locator.find(ctx, w.ask.dirKey())
	var out []route.Candidate
	known := false
	for _, r := range reports {
		if _, ok := t.Allowed(w.ask.coord(r.Place)); !ok || r.Leaving {
			continue
		}
		owned, ok := owner.Of(w.e.members, r.Runner, r.Place)
		if !ok {
			continue
		}
		r.Owner = owned.Name
		if w.refused[r.Runner] {
			known = known || w.last != nil && (w.last.Code == core.CodeOverloaded || w.last.Code == core.CodeLimited)
			continue
		}
		known = true
		out = append(out, route.Candidate{Report: r, Sent: sent[r.Runner], Penalty: w.e.health.Penalty(r.Runner)})
	}
	if len(out) == 0 && !known {
		clear(w.refused)
	}
	return out, known
}

// once makes one attempt at a runner and copies its answer.
func (w *work) once(ctx context.Context, runner directory.Report) error {
	id := uuid.NewString()
	ctx, span := otel.Tracer("primroseward").Start(ctx, "attempt")
	span.SetAttributes(attribute.String("runner", runner.Runner), attribute.String("owner", runner.Owner), attribute.String("attempt", id))
	defer span.End()
	w.e.locator.dispatched(w.ask.dirKey(), runner.Runner)
	w.relay.begin(runner)
	req := w.request(id, runner.Runner)
	var err error
	if runner.Owner == w.e.members.Self().Name {
		err = w.local(ctx, req)
	} else {
		err = w.remote(ctx, runner.Owner, req)
	}
	if err == nil {
		err = w.relay.end(ctx)
	}
	if err == nil {
		w.e.health.Worked(runner.Runner)
	}
	return err
}

func (w *work) request(id, runner string) owner.Request {
	a := w.ask
	return owner.Request{
		Request:  a.ID,
		Attempt:  id,
		Service:  a.Service,
		Model:    a.Model,
		Runner:   runner,
		Class:    a.Class,
		Deadline: a.Deadline,
		Method:   a.Method,
		Path:     a.Path,
		Header:   a.Header,
		Body:     w.relay.body(),
		Repeat:   a.Repeat,
		Retry:    w.retries > 0,
		Digest:   a.Digest,
	}
}

// local runs an attempt at a runner that this daemon owns.
func (w *work) local(ctx context.Context, req owner.Request) error {
	at := w.e.owner.Dispatch(ctx, req)
	detach := at.Buffer.Attach()
	defer detach()
	head, err := at.Buffer.Head(ctx)
	if err != nil {
		return w.leave(ctx, at.Attempt, err)
	}
	w.relay.SetHead(*head)
	for offset := int64(0); ; {
		data, whole, err := at.Buffer.Next(ctx, offset)
		if err != nil {
			return w.leave(ctx, at.Attempt, err)
		}
		if whole {
			return nil
		}
		if err := w.relay.Append(ctx, data); err != nil {
			return w.leave(ctx, at.Attempt, err)
		}
		offset += int64(len(data))
	}
}

func (w *work) leave(ctx context.Context, attempt string, err error) error {
	if ctx.Err() == nil {
		return err
	}
	if w.e.owner.Cancel(attempt) {
		return core.NotRun(http.StatusServiceUnavailable, "cancelled", "the request ended before it was sent", 0)
	}
	return w.ranOut(err)
}

// ranOut is the error of an attempt that this entry stopped reading.
func (w *work) ranOut(err error) error {
	var re *core.RequestError
	if errors.As(err, &re) {
		return re
	}
	out := core.MayHaveRun("deadline", "the answer was not whole by the deadline")
	out.Status = http.StatusGatewayTimeout
	return out
}

// remote runs an attempt at another daemon. When the connection breaks or goes
// silent, the answer is read on over a new one; when the owner has never had
// the attempt, it is barred there, and only then is it certain not to run.
func (w *work) remote(ctx context.Context, ownerName string, req owner.Request) error {
	m, err := w.e.members.Get(ownerName)
	if err != nil {
		return core.NotRun(http.StatusServiceUnavailable, "owner_unknown", "the runner's owner is not known", time.Second)
	}
	began := w.e.clock.Now()
	from := w.relay.received()
	stream, err := w.e.dial(m.Peer).Dispatch(ctx, connect.NewRequest(DispatchToWire(req, began)))
	if err == nil {
		err = w.read(ctx, stream, req.Attempt, 0)
		_ = stream.Close()
	} else {
		err = peer.Unwrap(err)
	}
	if peer.NeverSent(err) && w.relay.received() == from {
		return core.NotRun(http.StatusServiceUnavailable, "owner_unreachable", "the runner's owner takes no connections", time.Second)
	}
	for try := 0; errors.Is(err, core.ErrUnavailable) && try < resumeTries && w.worthResuming(ctx, m); try++ {
		w.e.count("resumes")
		err = w.resume(ctx, m, req.Attempt, from)
	}
	if errors.Is(err, core.ErrNotFound) || ctx.Err() != nil {
		return w.bar(m, req.Attempt, began, err)
	}
	if errors.Is(err, core.ErrUnavailable) || errors.Is(err, core.ErrGone) {
		return core.MayHaveRun("owner_lost", "the runner's owner was lost: "+err.Error())
	}
	return err
}

// worthResuming says whether to ask the same owner again. Where the request
// may be repeated, another runner answers sooner than one that others miss too.
func (w *work) worthResuming(ctx context.Context, m core.Member) bool {
	if ctx.Err() != nil {
		return false
	}
	now, err := w.e.members.Get(m.Name)
	return !w.ask.Repeat || err == nil && now.State < core.MemberSuspect
}

// read copies an attempt's frames from an offset.
func (w *work) read(ctx context.Context, s *connect.ServerStreamForClient[peerv1.Frame], attempt string, offset int64) error {
	return copyFrames(ctx, s, w.relay, attempt, offset)
}

func (w *work) resume(ctx context.Context, m core.Member, attempt string, from int64) error {
	select {
	case <-ctx.Done():
		return core.ErrUnavailable
	case <-w.e.clock.After(resumePause):
	}
	offset := w.relay.received() - from
	stream, err := w.e.dial(m.Peer).Resume(ctx, connect.NewRequest(&peerv1.ResumeRequest{Attempt: attempt, Offset: offset}))
	if err != nil {
		return peer.Unwrap(err)
	}
	defer stream.Close()
	return w.read(ctx, stream, attempt, offset)
}

// bar makes sure that an attempt never runs if it has not arrived yet, and
// stops it if it has. Without the owner's word the outcome stays open. The word
// counts only from the same process that the attempt was sent to, and only
// while that one cannot have forgotten an attempt that ended: otherwise "never
// seen" would be said of a request that has run.
func (w *work) bar(m core.Member, attempt string, began time.Time, cause error) error {
	ctx, cancel := context.WithTimeout(context.Background(), barTimeout)
	defer cancel()
	resp, err := w.e.dial(m.Peer).Cancel(ctx, connect.NewRequest(&peerv1.CancelRequest{Attempt: attempt}))
	same := err == nil && resp.Msg.Barred && resp.Msg.Boot == m.Boot
	if same && w.e.clock.Since(began) < owner.AttemptLife {
		return core.NotRun(http.StatusServiceUnavailable, "not_arrived", "the attempt had not reached the runner's owner", time.Second)
	}
	if cause == nil || errors.Is(cause, core.ErrNotFound) {
		return core.MayHaveRun("owner_lost", "the runner's owner does not know the attempt")
	}
	return w.ranOut(cause)
}

// DispatchToWire makes an attempt's message.
func DispatchToWire(r owner.Request, now time.Time) *peerv1.DispatchRequest {
	msg := &peerv1.DispatchRequest{
		Request: r.Request,
		Attempt: r.Attempt,
		Service: r.Service,
		Model:   r.Model,
		Runner:  r.Runner,
		Class:   string(r.Class),
		Timeout: r.Deadline.Sub(now).Milliseconds(),
		Method:  r.Method,
		Path:    r.Path,
		Body:    r.Body,
		Repeat:  r.Repeat,
		Retry:   r.Retry,
		Digest:  r.Digest[:],
	}
	msg.Headers = headToWire(&answer.Head{Header: r.Header}).Headers
	return msg
}

// DispatchFromWire reads an attempt's message.
func DispatchFromWire(msg *peerv1.DispatchRequest, now time.Time) owner.Request {
	return owner.Request{
		Request:  msg.Request,
		Attempt:  msg.Attempt,
		Service:  msg.Service,
		Model:    msg.Model,
		Runner:   msg.Runner,
		Class:    core.Class(msg.Class),
		Deadline: now.Add(time.Duration(msg.Timeout) * time.Millisecond),
		Method:   msg.Method,
		Path:     msg.Path,
		Header:   headFromWire(&peerv1.Head{Headers: msg.Headers}).Header,
		Body:     msg.Body,
		Repeat:   msg.Repeat,
		Retry:    msg.Retry,
		Digest:   digestFromWire(msg.Digest),
	}
}

// digestFromWire reads a request's digest; daemons of an older version tell none.
func digestFromWire(data []byte) core.Digest {
	var d core.Digest
	copy(d[:], data)
	return d
}
