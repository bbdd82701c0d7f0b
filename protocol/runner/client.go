// Package runner sends requests and orders to runners over HTTP/1.1
// connections that it manages itself. It does not use http.Transport, which resends a
// request when a reused connection breaks, so that a request could run twice unnoticed.
package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"primroseward/core"
	"primroseward/io/retain"
	"primroseward/io/tcp"
)

const (
	// dialTimeout is far above a round trip within a country, and short enough that
	// a request has time left to try another runner.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the runner sends no
	// Keep-Alive timeout. If it sends one, idleTimeoutPercent of that time is used.
	defaultIdleTimeout = 3 * time.Second
	idleTimeoutPercent = 60
	// maxInlineRequest is the largest request, head and body in bytes, that is written
	// completely before the answer is read; it fits any socket buffer. The body of a
	// larger request is written concurrently with reading the answer, since a runner
	// may answer before it has read the body.
	maxInlineRequest = 16 << 10
	maxCallAnswer    = 4 << 20 // limit in bytes of the answer to a report request or an order
	// maxCallAnswers bounds the answers to report requests that are held at the same time, in bytes.
	maxCallAnswers = 8 << 20
	// connectSettle is how long a new connection must stay open to count as such: the sockets of a process that
	// ends are closed one after the other, and its listener accepts connections until it is closed. connectAttempts
	// is how often it is tried: a runner resets the connections beyond the number that it accepts.
	connectSettle   = 25 * time.Millisecond
	connectAttempts = 4
	// maxForeignAnswers is how many answers to other requests are skipped on a connection
	// before it is closed.
	maxForeignAnswers = 2
)

// Client sends requests to runners and pools idle connections per runner instance.
type Client struct {
	clock   core.Clock
	dialect core.Dialect
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	dialed  func()
	called  func(id string)
	// answered is called with what the headers of each answer state of its runner.
	answered func(r *core.Runner, info core.ReplyInfo)

	answers *retain.Budget // of answers to report requests

	mu            sync.Mutex
	pools         map[string][]*conn // idle connections by runner ID, most recently used last
	receiveBuffer int                // of a connection in bytes; 0: as the system sets it
}

// Option configures a Client.
type Option func(*Client)

// WithDialCallback calls fn before each new connection is dialed.
func WithDialCallback(fn func()) Option { return func(c *Client) { c.dialed = fn } }

// WithReceiveBuffer sets the receive buffer of each connection in bytes; 0: as the system sets it.
func WithReceiveBuffer(n int) Option { return func(c *Client) { c.receiveBuffer = n } }

// WithCallCallback calls fn with the runner's ID for each order or report request sent to it.
func WithCallCallback(fn func(id string)) Option { return func(c *Client) { c.called = fn } }

// WithAnswerCallback calls fn for each answer of a runner, to requests, orders and report
// requests, before it is returned. An answer of another instance is left out.
func WithAnswerCallback(fn func(r *core.Runner, info core.ReplyInfo)) Option {
	return func(c *Client) { c.answered = fn }
}

// New returns a Client without connections.
func New(clock core.Clock, dialect core.Dialect, opts ...Option) *Client {
	c := &Client{
		clock: clock, dialect: dialect, pools: map[string][]*conn{}, dialed: func() {}, called: func(string) {},
		answered: func(*core.Runner, core.ReplyInfo) {}, answers: retain.New(maxCallAnswers),
	}
	c.dial = (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: tcp.KeepAlive, Control: c.prepareSocket}).DialContext
	for _, o := range opts {
		o(c)
	}
	return c
}

// CloseIdle closes the idle connections to a runner that has left the catalog.
func (c *Client) CloseIdle(id string) {
	c.mu.Lock()
	idle := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}

// get returns a pooled connection to the runner, or dials one if there is none or fresh is set.
// Its errors are ErrNotSent, with ErrNoListener if the runner's host refused the connection.
func (c *Client) get(ctx context.Context, r *core.Runner, fresh bool) (*conn, error) {
	for !fresh {
		cn := c.pop(r.ID)
		if cn == nil {
			break
		}
		if c.clock.Now().Before(cn.expires) && cn.reusable() {
			return cn, nil
		}
		_ = cn.Close()
	}
	c.dialed()
	nc, err := c.dial(ctx, "tcp", r.Addr.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%w: %w: %v", core.ErrNotSent, core.ErrNoListener, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: dial: %w", core.ErrNotSent, err)
	}
	return newConn(nc, c.clock), nil
}

func (c *Client) pop(id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.pools[id]
	if len(idle) == 0 {
		return nil
	}
	cn := idle[len(idle)-1]
	c.pools[id] = idle[:len(idle)-1]
	return cn
}

func (c *Client) put(id string, cn *conn, reuseFor time.Duration) {
	cn.expires = c.clock.Now().Add(reuseFor)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[id] = append(c.pools[id], cn)
}

// Send sends a request to a runner and reads the head of its answer. Cancelling ctx
// closes the connection, and the runner then stops work on the request. The error is
// ErrNotSent or ErrAnswerLost.
func (c *Client) Send(ctx context.Context, r *core.Runner, q *core.Request, o core.Outgoing) (*core.Reply, error) {
	header := q.Header.Clone()
	c.dialect.WriteOutgoing(header, o)
	return c.exchange(ctx, r, exchange{id: q.ID, method: q.Method, host: q.Host, target: q.Target, header: header, payload: q.Body, accepts: o.Accepts, began: o.Began})
}

// exchange is what is sent on a connection.
type exchange struct {
	id, method, host, target string
	header                   http.Header
	payload                  []byte
	accepts                  func() bool // see core.Outgoing; nil: it may be sent
	began                    func()      // see core.Outgoing
	fresh                    bool        // on a new connection
}

func (c *Client) exchange(ctx context.Context, r *core.Runner, x exchange) (*core.Reply, error) {
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrapf(core.ErrNotSent, "%v", err)
	}
	cn, err := c.get(ctx, r, x.fresh)
	if err != nil {
		return nil, err
	}
	if x.accepts != nil && !x.accepts() {
		c.put(r.ID, cn, defaultIdleTimeout*idleTimeoutPercent/100)
		return nil, fmt.Errorf("%w: %w", core.ErrNotSent, core.ErrWithdrawn)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	discard := func() {
		stop()
		_ = cn.Close()
	}
	cn.overhead.reset()
	cn.began = x.began
	upload, err := cn.send(requestHead(x.method, x.host, x.target, x.header, x.payload), x.payload)
	if err != nil {
		discard()
		return nil, err
	}
	reply, err := c.read(cn, x.id, x.method)
	if err != nil {
		discard()
		return nil, lostError(err)
	}
	if fromInstance(r, reply) {
		c.answered(r, reply.Info)
	}
	reuseFor := idleTimeout(reply.Header)
	closing := reply.closing
	out := &body{rc: reply.raw, progress: cn.overhead.reset, release: func(complete bool) {
		// stop returns false if ctx is done; the connection is closed by then.
		if !complete || closing || !upload.complete() || cn.in.Buffered() > 0 || !stop() {
			discard()
			return
		}
		c.put(r.ID, cn, reuseFor)
	}}
	if reply.Framing == core.FramingClose {
		out.verifyEnd = upload.abort
	}
	reply.Body = out
	return &reply.Reply, nil
}

// fromInstance reports whether an answer is from the instance that the request was sent to:
// the address may have been assigned to another runner, which rejects the request.
func fromInstance(r *core.Runner, reply *rawReply) bool {
	if reply.Info.Instance == "" {
		return reply.Status != http.StatusMisdirectedRequest
	}
	return reply.Info.Instance == r.ID
}

// lostError wraps err as ErrAnswerLost: the request was sent, and its answer is missing or
// incomplete. It adds ErrClosed if the runner closed the connection.
func lostError(err error) error {
	if closedByRunner(err) {
		return fmt.Errorf("%w: %w: %v", core.ErrAnswerLost, core.ErrClosed, err)
	}
	return eris.Wrapf(core.ErrAnswerLost, "%v", err)
}

// closedByRunner reports whether err means that the runner closed the connection.
func closedByRunner(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// requestHead returns the request line and headers in wire format.
func requestHead(method, host, target string, header http.Header, payload []byte) []byte {
	var b bytes.Buffer
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = header.Write(&b) // writing to a bytes.Buffer does not fail
	if len(payload) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(payload)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// rawReply is the head of an answer, with its unread body and whether the runner
// closes the connection after it.
type rawReply struct {
	core.Reply
	raw     io.ReadCloser
	closing bool
}

// read reads the head of the answer to request id. An answer with another id is a late
// one to an earlier request on this connection and is skipped, up to maxForeignAnswers times.
// An empty id accepts any answer.
func (c *Client) read(cn *conn, id, method string) (*rawReply, error) {
	for skipped := 0; ; {
		resp, err := http.ReadResponse(cn.in, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			if err := core.CheckInterim(resp); err != nil {
				return nil, err
			}
			continue
		}
		if err := core.CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		info := c.dialect.ReadReply(resp.StatusCode, resp.Header)
		if id == "" || info.RequestID == id || info.Unread {
			framing := core.FramingOf(resp)
			return &rawReply{
				Reply:   core.Reply{Status: resp.StatusCode, Header: resp.Header, Info: info, Framing: framing},
				raw:     resp.Body,
				closing: resp.Close || framing == core.FramingClose,
			}, nil
		}
		skipped++
		if skipped > maxForeignAnswers {
			return nil, core.ErrMismatchedAnswer
		}
		cn.overhead.extra = maxForeignBody
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		if resp.Close {
			return nil, core.ErrMismatchedAnswer
		}
	}
}

// call sends a report request, a check or an order, which carry no request ID, and passes the complete
// answer's body to read; nil: the body does not matter.
func (c *Client) call(ctx context.Context, r *core.Runner, method, path string, payload []byte, fresh bool, read func(status int, body []byte) error) (int, error) {
	header := http.Header{}
	if payload != nil {
		header.Set("Content-Type", "application/json")
	}
	c.dialect.WriteInstance(header, r.ID)
	c.called(r.ID)
	reply, err := c.exchange(ctx, r, exchange{method: method, host: r.Addr.String(), target: path, header: header, payload: payload, fresh: fresh})
	if err != nil {
		return 0, err
	}
	defer reply.Body.Close()
	in := http.MaxBytesReader(nil, reply.Body, maxCallAnswer)
	if read == nil {
		if _, err := io.Copy(io.Discard, in); err != nil {
			return 0, eris.Wrapf(core.ErrAnswerLost, "%v", err)
		}
		return reply.Status, nil
	}
	var body retain.Body
	if err := body.Read(in, -1, c.answers); err != nil {
		return 0, eris.Wrapf(core.ErrAnswerLost, "%v", err)
	}
	defer body.Release()
	return reply.Status, read(reply.Status, body.Data)
}

// Order sends an order to one instance of a runner. If the outcome is unknown because
// sending failed, it returns OrderUnknown and the error.
func (c *Client) Order(ctx context.Context, r *core.Runner, o core.RunnerOrder) (core.OrderResult, error) {
	path, payload, err := c.dialect.WriteOrder(o)
	if err != nil {
		return core.OrderRefused, err
	}
	status, err := c.call(ctx, r, http.MethodPost, path, payload, false, nil)
	if err != nil {
		return core.OrderUnknown, err
	}
	return c.dialect.ReadOrder(status), nil
}

// Check sends a runner a request for a path on a new connection, without a request ID, and reports
// whether anything answers. What the answer says does not matter.
func (c *Client) Check(ctx context.Context, r *core.Runner, path string) error {
	_, err := c.call(ctx, r, http.MethodGet, path, nil, true, nil)
	return err
}

// Connect opens a connection to a runner, for a later request. Its error is ErrNotSent, with
// ErrNoListener if the runner's host refused the connection, and with ErrClosed if it closed each at once.
func (c *Client) Connect(ctx context.Context, r *core.Runner) error {
	for range connectAttempts {
		cn, err := c.get(ctx, r, true)
		if errors.Is(err, syscall.ECONNRESET) {
			core.Sleep(ctx, c.clock, connectSettle)
			continue // reset before it was accepted
		}
		if err != nil {
			return err
		}
		// The listener of a process that exits may accept a connection that it then resets.
		core.Sleep(ctx, c.clock, connectSettle)
		if cn.reusable() {
			c.put(r.ID, cn, defaultIdleTimeout*idleTimeoutPercent/100)
			return nil
		}
		_ = cn.Close()
	}
	return fmt.Errorf("%w: %w at once", core.ErrNotSent, core.ErrClosed)
}

// Report fetches a runner's loaded models and its state. It fails with ErrReplaced if
// another instance answers.
func (c *Client) Report(ctx context.Context, r *core.Runner) (*core.Report, error) {
	var report *core.Report
	_, err := c.call(ctx, r, http.MethodGet, c.dialect.ReportPath(), nil, false, func(status int, body []byte) (err error) {
		if status == http.StatusMisdirectedRequest {
			return eris.Wrap(core.ErrReplaced, "report")
		}
		if status != http.StatusOK {
			return eris.Wrapf(core.ErrUnavailable, "report: status %d", status)
		}
		report, err = c.dialect.ReadReport(body)
		return err
	})
	return report, err
}
