package entry

import (
	"time"

	"primroseward/coordination/owner"
	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/answer"
)

// DispatchToWire encodes an attempt as a message. The deadline is sent as the
// time left, in milliseconds.
func DispatchToWire(r owner.Request, now time.Time) *peerv1.DispatchRequest {
	msg := &peerv1.DispatchRequest{
		Request: r.RequestID,
		Attempt: r.AttemptID,
		Service: r.Service,
		Model:   r.Model,
		Runner:  r.Runner,
		Class:   string(r.Class),
		Timeout: r.Deadline.Sub(now).Milliseconds(),
		Method:  r.Method,
		Path:    r.Path,
		Body:    r.Body,
		Repeat:  r.Repeatable,
		Retry:   r.Retry,
		Digest:  r.Digest[:],
	}
	msg.Headers = headToWire(&answer.Head{Header: r.Header}).Headers
	return msg
}

// DispatchFromWire decodes the message of an attempt.
func DispatchFromWire(msg *peerv1.DispatchRequest, now time.Time) owner.Request {
	return owner.Request{
		RequestID:  msg.Request,
		AttemptID:  msg.Attempt,
		Service:    msg.Service,
		Model:      msg.Model,
		Runner:     msg.Runner,
		Class:      core.Class(msg.Class),
		Deadline:   now.Add(time.Duration(msg.Timeout) * time.Millisecond),
		Method:     msg.Method,
		Path:       msg.Path,
		Header:     headFromWire(&peerv1.Head{Headers: msg.Headers}).Header,
		Body:       msg.Body,
		Repeatable: msg.Repeat,
		Retry:      msg.Retry,
		Digest:     digestFromWire(msg.Digest),
	}
}

// digestFromWire decodes a request's digest. Daemons of an older version send
// none, which leaves the digest zero.
func digestFromWire(data []byte) core.Digest {
	var d core.Digest
	copy(d[:], data)
	return d
}
