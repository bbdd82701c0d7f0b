// Package endpoint is the client of model engines and plain services.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"primroseward/core"
	"primroseward/io/retain"
)

const (
	dialTimeout   = time.Second
	nativeTimeout = 2 * time.Second
	// MaxAnswers bounds the answers of the native interface that a daemon holds at the same time, one answer to a half
	// of it, in bytes.
	MaxAnswers    = 8 << 20
	maxAnswerHead = 64 << 10
)

// Paths of an engine's native interface, which it serves besides the OpenAI API.
const (
	PathState   = "/state"
	PathOrders  = "/orders"
	PathStreams = "/v1/streams/" // + attempt id; GET with offset, DELETE
)

// Client sends calls and orders to one endpoint. It implements core.Endpoint.
type Client struct {
	base   string // URL without a path
	clock  core.Clock
	echo   bool            // refuse answers without the attempt's id
	held   *retain.Budget  // of answers of the native interface
	reused *http.Transport // reuses connections
	fresh  *http.Transport // dials a connection per request
}

// Option configures a Client.
type Option func(*Client)

// WithRequiredID makes the client refuse answers that do not carry the attempt's id. Engines
// echo it; plain services need not.
func WithRequiredID() Option { return func(c *Client) { c.echo = true } }

// WithAnswers sets the budget of the answers of the native interface, which all clients share.
func WithAnswers(b *retain.Budget) Option { return func(c *Client) { c.held = b } }

// New returns a client for the endpoint at addr.
func New(addr netip.AddrPort, clock core.Clock, opts ...Option) *Client {
	c := &Client{base: "http://" + addr.String(), clock: clock, held: retain.New(MaxAnswers)}
	c.reused = newTransport()
	// http.Transport resends a request when a reused connection breaks before an
	// answer and it takes the request for idempotent, for example because of an
	// Idempotency-Key header. The endpoint would run it twice, and no error would be
	// returned here. Without keep-alives each connection carries one request only.
	c.fresh = newTransport()
	c.fresh.DisableKeepAlives = true
	for _, o := range opts {
		o(c)
	}
	return c
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &guardConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    64,
		MaxResponseHeaderBytes: maxAnswerHead,
		IdleConnTimeout:        30 * time.Second,
		Protocols:              http1(),
	}
}

func http1() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// Close closes idle connections.
func (c *Client) Close() {
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do sends a call and returns its answer with an unread body. Only repeatable calls use
// pooled connections, since the transport may resend them.
func (c *Client) Do(ctx context.Context, call core.Call) (*core.Answer, error) {
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(core.HeaderRequestID, call.Attempt)
	header.Set(core.HeaderPriority, fmt.Sprintf("u=%d", 1+2*call.Class.Rank()))
	transport := c.fresh
	if call.Repeatable {
		transport = c.reused
	}
	return c.send(ctx, transport, call, call.Method, call.Path, header, call.Body)
}

// Resume reads the answer of an attempt from an offset in bytes. It returns ErrNotFound
// if the endpoint does not have it.
func (c *Client) Resume(ctx context.Context, call core.Call, offset int64) (*core.Answer, error) {
	path := fmt.Sprintf("%s%s?offset=%d", PathStreams, url.PathEscape(call.Attempt), offset)
	a, err := c.send(ctx, c.fresh, call, http.MethodGet, path, http.Header{}, nil)
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		_ = a.Body.Close()
		return nil, core.ErrNotFound
	}
	return a, nil
}

func (c *Client) send(ctx context.Context, tr *http.Transport, call core.Call, method, path string, header http.Header, body []byte) (*core.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	used := &usage{}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { used.add(i.Conn) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, core.NotRun(http.StatusBadRequest, "bad_request", err.Error(), 0)
	}
	// With GetBody set, the transport could rewind the body and resend the request.
	req.GetBody = nil
	req.Header = header
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	stall := newStallTimer(c.clock, call.StallTimeout, cancel)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		stall.stop()
		cancel()
		return nil, callError(used.seal(), err)
	}
	if err := c.verify(call, resp); err != nil {
		stall.stop()
		_ = resp.Body.Close()
		cancel()
		return nil, err
	}
	return &core.Answer{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   &watchedBody{rc: resp.Body, stall: stall, cancel: cancel},
	}, nil
}

// callError returns the error of a call without an answer: may have run if anything was
// written, not run otherwise.
func callError(wrote bool, err error) error {
	if wrote {
		return core.MayHaveRun(core.CodeEndpointBroken, err.Error())
	}
	return core.NotRun(http.StatusServiceUnavailable, "endpoint_unreachable", err.Error(), time.Second)
}

// verify refuses answers that may belong to another request, and answers whose body is
// ended only by closing the connection, since a truncated body would look complete. A stream of
// events has an end marker of its own.
func (c *Client) verify(call core.Call, resp *http.Response) error {
	if err := core.CheckStatus(resp.StatusCode); err != nil {
		return core.MayHaveRun(core.CodeEndpointBroken, err.Error())
	}
	id := resp.Header.Get(core.HeaderRequestID)
	if id != call.Attempt && (id != "" || c.echo) {
		return core.MayHaveRun("crossed_answer", fmt.Sprintf("answer carries id %q", id))
	}
	if core.FramingOf(resp) == core.FramingClose && !core.IsEventStream(resp.Header) {
		return core.MayHaveRun("answer_without_end", "the answer has neither a length nor chunked encoding")
	}
	return nil
}

// Cancel makes the endpoint stop an attempt.
func (c *Client) Cancel(ctx context.Context, attempt string) error {
	_, err := c.callNative(ctx, http.MethodDelete, PathStreams+url.PathEscape(attempt), nil)
	return err
}

// Observe fetches the endpoint's state: its resident models and running requests.
func (c *Client) Observe(ctx context.Context) (core.Observation, error) {
	var o core.Observation
	data, err := c.callNative(ctx, http.MethodGet, PathState, nil)
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return o, eris.Wrap(core.ErrInvalid, "state: "+err.Error())
	}
	return o, nil
}

// Order sends an order. ErrStaleFence means that the endpoint refused it. After any
// other error the order may have been carried out, or may still be.
func (c *Client) Order(ctx context.Context, o core.Order) error {
	data, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(core.ErrInvalid, err.Error())
	}
	_, err = c.callNative(ctx, http.MethodPost, PathOrders, data)
	return err
}

// callNative calls the endpoint's native interface and returns the body of the answer.
func (c *Client) callNative(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, nativeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(core.ErrInvalid, err.Error())
	}
	resp, err := c.reused.RoundTrip(req)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, eris.Wrapf(core.ErrNoListener, "endpoint: %v", err)
	case err != nil:
		return nil, eris.Wrapf(core.ErrUnavailable, "endpoint: %v", err)
	}
	defer resp.Body.Close()
	if err := core.CheckStatus(resp.StatusCode); err != nil {
		return nil, eris.Wrapf(core.ErrUnavailable, "endpoint: %v", err)
	}
	var answer retain.Body
	if err := answer.Read(resp.Body, resp.ContentLength, c.held); err != nil {
		return nil, eris.Wrapf(core.ErrUnavailable, "endpoint: %v", err)
	}
	data := answer.Data
	defer answer.Release()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return nil, core.ErrStaleFence
	case resp.StatusCode == http.StatusNotFound:
		return nil, core.ErrNotFound
	case resp.StatusCode >= http.StatusMultipleChoices:
		return nil, eris.Wrapf(core.ErrUnavailable, "endpoint: %d %s", resp.StatusCode, data)
	}
	return data, nil
}
