package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/answer"
	"primroseward/transport/peer"
)

// frames is a stream of frames from another daemon.
type frames interface {
	Receive() bool
	Msg() *peerv1.Frame
	Err() error
}

// sink takes an answer.
type sink interface {
	SetHead(h answer.Head)
	Append(ctx context.Context, data []byte) error
}

// copyFrames copies frames into a sink until the end marker. Data is checked
// against its offset and the end against the length, so that neither a lost
// nor a doubled frame passes, and frames of another attempt are refused. at is
// the offset that was asked for.
func copyFrames(ctx context.Context, s frames, into sink, attempt string, at int64) error {
	for s.Receive() {
		f := s.Msg()
		if attempt != "" && f.Attempt != attempt {
			return errors.Join(core.ErrUnavailable, fmt.Errorf("frame of attempt %q", f.Attempt))
		}
		if f.Head != nil {
			into.SetHead(headFromWire(f.Head))
		}
		if len(f.Data) > 0 {
			if f.Offset != at {
				return errors.Join(core.ErrUnavailable, fmt.Errorf("data at %d, want %d", f.Offset, at))
			}
			at = f.Offset + int64(len(f.Data))
			if err := into.Append(ctx, f.Data); err != nil {
				return err
			}
		}
		if f.Fail != nil {
			return FailFromWire(f.Fail)
		}
		if f.End != nil {
			if f.End.Length != at {
				return errors.Join(core.ErrUnavailable, fmt.Errorf("answer ends at %d, want %d", at, f.End.Length))
			}
			return nil
		}
	}
	if err := s.Err(); err != nil {
		return peer.Unwrap(err)
	}
	return errors.Join(core.ErrUnavailable, errors.New("frames ended without an end marker"))
}

// SendFrames sends an answer from an offset to its end.
func SendFrames(ctx context.Context, buf *answer.Buffer, attempt string, offset int64, send func(*peerv1.Frame) error) error {
	detach := buf.Attach()
	defer detach()
	head, err := buf.Head(ctx)
	if err != nil {
		return sendFail(err, attempt, send)
	}
	if err := send(&peerv1.Frame{Attempt: attempt, Head: headToWire(head)}); err != nil {
		return err
	}
	for {
		data, whole, err := buf.Next(ctx, offset)
		switch {
		case err != nil:
			return sendFail(err, attempt, send)
		case whole:
			return send(&peerv1.Frame{Attempt: attempt, End: &peerv1.End{Length: offset}})
		}
		if err := send(&peerv1.Frame{Attempt: attempt, Offset: offset, Data: data}); err != nil {
			return err
		}
		offset += int64(len(data))
	}
}

func sendFail(err error, attempt string, send func(*peerv1.Frame) error) error {
	var re *core.RequestError
	if errors.As(err, &re) {
		return send(&peerv1.Frame{Attempt: attempt, Fail: FailToWire(re)})
	}
	return peer.Wrap(err)
}

// FailToWire makes an error's message.
func FailToWire(e *core.RequestError) *peerv1.Fail {
	return &peerv1.Fail{Outcome: string(e.Outcome), Code: e.Code, Message: e.Message, Retry: e.Retry.Milliseconds(), Status: int32(e.Status)}
}

// FailFromWire reads an error's message. An outcome that is not known counts
// as may_have_run.
func FailFromWire(f *peerv1.Fail) *core.RequestError {
	e := core.MayHaveRun(f.Code, f.Message)
	if f.Outcome == string(core.OutcomeNotRun) {
		e.Outcome = core.OutcomeNotRun
	}
	if f.Status >= http.StatusBadRequest {
		e.Status = int(f.Status)
	}
	e.Retry = time.Duration(f.Retry) * time.Millisecond
	return e
}

func headToWire(h *answer.Head) *peerv1.Head {
	out := &peerv1.Head{Status: int32(h.Status)}
	for name, values := range h.Header {
		for _, v := range values {
			out.Headers = append(out.Headers, &peerv1.Header{Name: name, Value: v})
		}
	}
	return out
}

func headFromWire(w *peerv1.Head) answer.Head {
	h := answer.Head{Status: int(w.Status), Header: http.Header{}}
	for _, one := range w.Headers {
		h.Header.Add(one.Name, one.Value)
	}
	return h
}

var _ frames = (*connect.ServerStreamForClient[peerv1.Frame])(nil)
