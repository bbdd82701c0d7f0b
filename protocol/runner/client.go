// Package runner sends requests and orders to runners over HTTP/1.1
// connections of its own. The standard library's transport is not used since
// it sends a request again by itself when a reused connection breaks, which
// would run a request twice without anybody knowing.
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
	"primroseward/io/tcp"
)

const (
	// dialTimeout is far above a round trip within a country, and leaves a
	// request time for another runner.
	dialTimeout = 500 * time.Millisecond
	// keepDefault is how long an idle connection is kept where the runner does
	// not tell; keepShare is the part in percent of the time it tells.
	keepDefault = 3 * time.Second
	keepShare   = 60
	// inlineBody is what fits any socket buffer: such a body is written before
	// the answer is read. Longer ones are written beside the reading, since a
	// runner may answer before it has read them.
	inlineBody = 16 << 10
	maxCall    = 4 << 20 // answer of a report or an order, in bytes
	// maxForeign bounds the answers to other requests that are skipped on a
	// connection before it is given up.
	maxForeign = 2
)

// Client keeps connections to runners, per instance of a runner.
type Client struct {
	clock   core.Clock
	dialect core.Dialect
	dialer  net.Dialer
	dialed  func()
	called  func(id string)

	mu    sync.Mutex
	pools map[string][]*conn // idle connections, last used last
}

// Option changes a Client.
type Option func(*Client)

// WithDialed calls fn for each new connection.
func WithDialed(fn func()) Option { return func(c *Client) { c.dialed = fn } }

// WithCalled calls fn for each order or question that is sent to a runner.
func WithCalled(fn func(id string)) Option { return func(c *Client) { c.called = fn } }

// New makes a Client.
func New(clock core.Clock, dialect core.Dialect, opts ...Option) *Client {
	c := &Client{
		clock: clock, dialect: dialect, pools: map[string][]*conn{}, dialed: func() {}, called: func(string) {},
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: tcp.KeepAlive, Control: setUserTimeout},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Forget closes the idle connections of a runner that is gone.
func (c *Client) Forget(id string) {
	c.mu.Lock()
	idle := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	for _, one := range idle {
		_ = one.Close()
	}
}

func (c *Client) get(ctx context.Context, r *core.Runner) (*conn, error) {
	for {
		one := c.pop(r.ID)
		if one == nil {
			break
		}
		if c.clock.Now().Before(one.expires) && one.quiet() {
			return one, nil
		}
		_ = one.Close()
	}
	c.dialed()
	nc, err := c.dialer.DialContext(ctx, "tcp", r.Addr.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%w: %w: %v", core.ErrNotSent, core.ErrNoListener, err)
	}
	if err != nil {
		return nil, eris.Wrapf(core.ErrNotSent, "dial: %v", err)
	}
	return newConn(nc), nil
}

func (c *Client) pop(id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.pools[id]
	if len(idle) == 0 {
		return nil
	}
	one := idle[len(idle)-1]
	c.pools[id] = idle[:len(idle)-1]
	return one
}

func (c *Client) put(id string, one *conn, keep time.Duration) {
	one.expires = c.clock.Now().Add(keep)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[id] = append(c.pools[id], one)
}

// Send sends a request to a runner and reads the head of its answer. Ending
// ctx drops the connection, at which the runner stops work. The error is
// ErrNotSent or ErrLost.
func (c *Client) Send(ctx context.Context, r *core.Runner, q *core.Request, o core.Outgoing) (*core.Reply, error) {
	header := q.Header.Clone()
	c.dialect.WriteOutgoing(header, o)
	return c.exchange(ctx, r, q.ID, q.Method, q.Host, q.Target, header, q.Body)
}

func (c *Client) exchange(ctx context.Context, r *core.Runner, id, method, host, target string, header http.Header, payload []byte) (*core.Reply, error) {
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrapf(core.ErrNotSent, "%v", err)
	}
	one, err := c.get(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = one.Close() })
	drop := func() {
		stop()
		_ = one.Close()
	}
	written, err := one.send(requestHead(method, host, target, header, payload), payload)
	if err != nil {
		drop()
		return nil, err
	}
	reply, err := c.read(one, id, method)
	if err != nil {
		drop()
		return nil, lost(err)
	}
	keep := keepFor(reply.Header)
	closing := reply.closing
	reply.Body = &body{rc: reply.raw, release: func(whole bool) {
		// stop fails when ctx has ended: then the connection is closed already.
		if !whole || closing || !written() || one.in.Buffered() > 0 || !stop() {
			drop()
			return
		}
		c.put(r.ID, one, keep)
	}}
	return &reply.Reply, nil
}

// lost is the error of a request that was sent and has no whole answer.
func lost(err error) error {
	if closedByRunner(err) {
		return fmt.Errorf("%w: %w: %v", core.ErrLost, core.ErrClosed, err)
	}
	return eris.Wrapf(core.ErrLost, "%v", err)
}

// closedByRunner says whether an error is of a connection that its other end has closed.
func closedByRunner(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// requestHead is the request line and headers as they go over the wire.
func requestHead(method, host, target string, header http.Header, payload []byte) []byte {
	var b bytes.Buffer
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = header.Write(&b) // a bytes.Buffer takes all
	if len(payload) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(payload)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// send writes a request. The function returned says whether all of it has been
// written; a connection with a body half written must not be used again, as
// the runner takes what follows for the rest of it.
func (c *conn) send(head, payload []byte) (func() bool, error) {
	rest := payload
	if len(head)+len(payload) <= inlineBody {
		head = append(head, payload...)
		rest = nil
	}
	n, err := c.Write(head)
	if err != nil && n == 0 {
		return nil, eris.Wrapf(core.ErrNotSent, "write: %v", err)
	}
	if err != nil {
		return nil, lost(err)
	}
	if rest == nil {
		return func() bool { return true }, nil
	}
	w := &bodyWriter{to: c, rest: rest, done: make(chan bool, 1)}
	go w.run()
	return w.whole, nil
}

// bodyWriter writes a long body beside the reading of the answer.
type bodyWriter struct {
	to   io.Writer
	rest []byte
	done chan bool
}

func (w *bodyWriter) run() {
	_, err := w.to.Write(w.rest)
	w.done <- err == nil
}

// whole says whether all of the body has been written.
func (w *bodyWriter) whole() bool {
	select {
	case ok := <-w.done:
		return ok
	default:
		return false
	}
}

type rawReply struct {
	core.Reply
	raw     io.ReadCloser
	closing bool
}

// read reads the head of the answer to request id. An answer with another id
// is one that came late to a request before; it is skipped.
func (c *Client) read(one *conn, id, method string) (*rawReply, error) {
	for foreign := 0; ; {
		resp, err := http.ReadResponse(one.in, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // interim answers have no body
		}
		info := c.dialect.ReadReply(resp.StatusCode, resp.Header)
		if id == "" || info.RequestID == id {
			return &rawReply{
				Reply:   core.Reply{Status: resp.StatusCode, Header: resp.Header, Info: info},
				raw:     resp.Body,
				closing: resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
			}, nil
		}
		foreign++
		if foreign > maxForeign {
			return nil, core.ErrForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		if resp.Close {
			return nil, core.ErrForeign
		}
	}
}

// call sends a call of the system's own and reads the whole answer.
func (c *Client) call(ctx context.Context, r *core.Runner, method, path string, instance string, payload []byte) (int, []byte, error) {
	header := http.Header{}
	if payload != nil {
		header.Set("Content-Type", "application/json")
	}
	if instance != "" {
		c.dialect.WriteInstance(header, instance)
	}
	c.called(r.ID)
	reply, err := c.exchange(ctx, r, "", method, r.Addr.String(), path, header, payload)
	if err != nil {
		return 0, nil, err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxCall))
	if err != nil {
		return 0, nil, eris.Wrapf(core.ErrLost, "%v", err)
	}
	return reply.Status, data, nil
}

// Order sends an order to one instance of a runner. OrderUnknown comes with
// the error that explains it.
func (c *Client) Order(ctx context.Context, r *core.Runner, o core.RunnerOrder) (core.OrderResult, error) {
	path, payload, err := c.dialect.WriteOrder(o)
	if err != nil {
		return core.OrderRefused, err
	}
	status, _, err := c.call(ctx, r, http.MethodPost, path, r.ID, payload)
	if err != nil {
		return core.OrderUnknown, err
	}
	return c.dialect.ReadOrder(status), nil
}

// Report asks a runner what it holds and does.
func (c *Client) Report(ctx context.Context, r *core.Runner) (*core.Report, error) {
	status, data, err := c.call(ctx, r, http.MethodGet, c.dialect.ReportPath(), r.ID, nil)
	if err != nil {
		return nil, err
	}
	if status == http.StatusMisdirectedRequest {
		return nil, eris.Wrap(core.ErrReplaced, "report")
	}
	if status != http.StatusOK {
		return nil, eris.Wrapf(core.ErrUnavailable, "report: status %d", status)
	}
	return c.dialect.ReadReport(data)
}
