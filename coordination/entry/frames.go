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

// frameStream is a stream of frames from another daemon.
type frameStream interface {
	Receive() bool
	Msg() *peerv1.Frame
	Err() error
}

// answerSink receives an answer.
type answerSink interface {
	SetHead(h answer.Head)
	Append(ctx context.Context, data []byte) error
}

// copyFrames copies frames into dst until the end marker. It checks the offset of
// each data frame and the length in the end marker, which detects lost and
// duplicate frames. It refuses frames of another attempt, unless attempt is
// empty. offset is the offset at which the data was requested to begin.
func copyFrames(ctx context.Context, s frameStream, dst answerSink, attempt string, offset int64) error {
	for s.Receive() {
		f := s.Msg()
		if attempt != "" && f.Attempt != attempt {
			return errors.Join(core.ErrUnavailable, fmt.Errorf("unexpected frame of attempt %q", f.Attempt))
		}
		if f.Head != nil {
			dst.SetHead(headFromWire(f.Head))
		}
		if len(f.Data) > 0 {
			if f.Offset != offset {
				return errors.Join(core.ErrUnavailable, fmt.Errorf("data frame at offset %d, want %d", f.Offset, offset))
			}
			offset = f.Offset + int64(len(f.Data))
			if err := dst.Append(ctx, f.Data); err != nil {
				return err
			}
		}
		if f.Fail != nil {
			return FailFromWire(f.Fail)
		}
		if f.End != nil {
			if f.End.Length != offset {
				return errors.Join(core.ErrUnavailable, fmt.Errorf("answer ends at offset %d, want length %d", offset, f.End.Length))
			}
			return nil
		}
	}
	if err := s.Err(); err != nil {
		return peer.FromConnectError(err)
	}
	return errors.Join(core.ErrUnavailable, errors.New("frames ended without an end marker"))
}

// SendFrames sends an answer as frames, from an offset to its end.
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

// sendFail sends the failure of an answer as a frame. Any other error is
// returned for the end of the RPC.
func sendFail(err error, attempt string, send func(*peerv1.Frame) error) error {
	var re *core.RequestError
	if errors.As(err, &re) {
		return send(&peerv1.Frame{Attempt: attempt, Fail: FailToWire(re)})
	}
	return peer.ToConnectError(err)
}

// FailToWire encodes a request error as a message.
func FailToWire(e *core.RequestError) *peerv1.Fail {
	return &peerv1.Fail{Outcome: string(e.Outcome), Code: e.Code, Message: e.Message, Retry: e.Retry.Milliseconds(), Status: int32(e.Status)}
}

// FailFromWire decodes the message of a request error. An unknown outcome counts
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

func headFromWire(msg *peerv1.Head) answer.Head {
	h := answer.Head{Status: int(msg.Status), Header: http.Header{}}
	for _, header := range msg.Headers {
		h.Header.Add(header.Name, header.Value)
	}
	return h
}

var _ frameStream = (*connect.ServerStreamForClient[peerv1.Frame])(nil)
