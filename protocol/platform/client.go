package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"primroseward/core"
)

const (
	callTimeout  = 2 * time.Second
	writeRetries = 3
	retryPause   = 150 * time.Millisecond
	maxObject    = 1 << 20
	maxList      = 64 << 20
	// watchSilence is the longest time without an event or bookmark. A watch
	// whose connection was dropped without a reset would otherwise wait for
	// ever and the settings would stand still unseen.
	watchSilence = 15 * time.Second
)

// Client speaks to the platform. It implements core.Platform.
type Client struct {
	base    string
	http    *http.Client
	clock   core.Clock
	limiter *rate.Limiter
	calls   func(verb string)
	breaker breaker
}

// Option changes a Client.
type Option func(*Client)

// WithRate bounds calls per second, with bursts of up to burst calls.
func WithRate(perSecond float64, burst int) Option {
	return func(p *Client) { p.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithCount calls fn for each call with its verb.
func WithCount(fn func(verb string)) Option { return func(p *Client) { p.calls = fn } }

// New makes a client of the platform at addr.
func New(addr netip.AddrPort, clock core.Clock, opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: callTimeout}
	c := &Client{
		base: "http://" + addr.String() + Prefix,
		http: &http.Client{Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			ResponseHeaderTimeout: callTimeout,
			IdleConnTimeout:       time.Minute,
			MaxIdleConnsPerHost:   8,
		}},
		clock:   clock,
		limiter: rate.NewLimiter(50, 100),
		calls:   func(string) {},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind, name string) (core.Object, error) {
	var i Item
	if err := c.call(ctx, http.MethodGet, kind+"/"+url.PathEscape(name), nil, &i); err != nil {
		return core.Object{}, err
	}
	return i.object(kind)
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) ([]core.Object, uint64, error) {
	var l List
	if err := c.call(ctx, http.MethodGet, kind, nil, &l); err != nil {
		return nil, 0, err
	}
	version, err := strconv.ParseUint(l.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return nil, 0, eris.Wrap(core.ErrInvalid, "list without a version")
	}
	out := make([]core.Object, 0, len(l.Items))
	for _, i := range l.Items {
		o, err := i.object(kind)
		if err != nil {
			return nil, 0, err
		}
		out = append(out, o)
	}
	return out, version, nil
}

// Create writes an object that must not exist yet.
func (c *Client) Create(ctx context.Context, o core.Object) (core.Object, error) {
	o.Version, o.Changes = 0, nil
	return c.write(ctx, http.MethodPost, o.Kind, o, core.ErrExists)
}

// Update replaces an object whose stored version is o.Version.
func (c *Client) Update(ctx context.Context, o core.Object) (core.Object, error) {
	return c.write(ctx, http.MethodPut, o.Kind+"/"+url.PathEscape(o.Name), o, core.ErrConflict)
}

// write sends a conditional write. When the answer is lost the write may have
// taken effect: shown to its writer as a conflict, it would be made twice or
// be reported as lost. The same write is therefore sent again with the same
// precondition, which lets it through at most once, and a refusal of a later
// try is judged by whether the stored object carries this write's id.
func (c *Client) write(ctx context.Context, method, path string, o core.Object, refused error) (core.Object, error) {
	change := uuid.NewString()
	item := itemOf(o, change)
	unsure := false
	for try := 0; ; try++ {
		var got Item
		err := c.call(ctx, method, path, item, &got)
		if err == nil {
			return got.object(o.Kind)
		}
		if unsure && errors.Is(err, refused) {
			return c.readBack(ctx, o, change, refused)
		}
		if !errors.Is(err, core.ErrUnavailable) {
			return core.Object{}, err
		}
		unsure = true
		if try == writeRetries || !c.pause(ctx) {
			return core.Object{}, err
		}
	}
}

func (c *Client) readBack(ctx context.Context, o core.Object, change string, refused error) (core.Object, error) {
	stored, err := c.Get(ctx, o.Kind, o.Name)
	if errors.Is(err, core.ErrNotFound) {
		return core.Object{}, eris.Wrap(core.ErrUnavailable, "object is gone after an unanswered write")
	}
	if err != nil {
		return core.Object{}, eris.Wrapf(core.ErrUnavailable, "read back: %v", err)
	}
	switch i := slices.Index(stored.Changes, change); {
	case i == 0:
		return stored, nil
	case i > 0:
		return stored, core.ErrOvertaken
	case len(stored.Changes) == recentChanges:
		return core.Object{}, eris.Wrap(core.ErrUnavailable, "too many writes since to know")
	default:
		return core.Object{}, refused
	}
}

// Delete removes an object whose stored version is o.Version.
func (c *Client) Delete(ctx context.Context, o core.Object) error {
	var opts DeleteOptions
	opts.Preconditions.ResourceVersion = strconv.FormatUint(o.Version, 10)
	return c.call(ctx, http.MethodDelete, o.Kind+"/"+url.PathEscape(o.Name), opts, nil)
}

func (c *Client) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(retryPause):
		return true
	}
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if !c.breaker.allow(c.clock.Now()) {
		return eris.Wrap(core.ErrUnavailable, "the platform did not answer lately")
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return eris.Wrap(core.ErrUnavailable, "call rate")
	}
	c.calls(method)
	err := c.once(ctx, method, path, in, out)
	// A caller's own end says nothing of the platform.
	if ctx.Err() == nil {
		c.breaker.done(c.clock.Now(), !errors.Is(err, core.ErrUnavailable))
	}
	return err
}

func (c *Client) once(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return readStatus(resp)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxList)).Decode(out); err != nil {
		return eris.Wrapf(core.ErrUnavailable, "read answer: %v", err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return nil, eris.Wrap(core.ErrInvalid, err.Error())
		}
		if len(body) > maxObject {
			return nil, eris.Wrapf(core.ErrInvalid, "object of %d bytes is over the platform's limit", len(body))
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(core.ErrInvalid, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrapf(core.ErrUnavailable, "platform: %v", err)
	}
	return resp, nil
}

func readStatus(resp *http.Response) error {
	var st Status
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxObject)).Decode(&st)
	switch {
	case st.Reason == ReasonNotFound:
		return core.ErrNotFound
	case st.Reason == ReasonAlreadyExists:
		return core.ErrExists
	case st.Reason == ReasonConflict:
		return core.ErrConflict
	case st.Reason == ReasonExpired:
		return core.ErrGone
	case resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests:
		return eris.Wrapf(core.ErrInvalid, "platform: %d %s", resp.StatusCode, st.Message)
	default:
		return eris.Wrapf(core.ErrUnavailable, "platform: %d %s", resp.StatusCode, st.Message)
	}
}

// Watch reports the changes of a kind after version.
func (c *Client) Watch(ctx context.Context, kind string, version uint64, fn func(core.Event)) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return eris.Wrap(core.ErrUnavailable, "call rate")
	}
	c.calls("WATCH")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	query := fmt.Sprintf("%s?watch=true&allowWatchBookmarks=true&resourceVersion=%d", kind, version)
	resp, err := c.send(ctx, http.MethodGet, query, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return readStatus(resp)
	}
	return c.readWatch(ctx, cancel, kind, resp.Body, fn)
}

func (c *Client) readWatch(ctx context.Context, cancel func(), kind string, body io.Reader, fn func(core.Event)) error {
	silence := c.clock.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), 2*maxObject)
	for lines.Scan() {
		silence.Reset(watchSilence)
		var e WatchEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return eris.Wrapf(core.ErrUnavailable, "watch: %v", err)
		}
		if e.Type == EventBookmark {
			fn(core.Event{})
			continue
		}
		o, err := e.Object.object(kind)
		if err != nil {
			return eris.Wrap(core.ErrUnavailable, "watch: object without a version")
		}
		fn(core.Event{Object: o, Deleted: e.Type == EventDeleted})
	}
	return eris.Wrapf(core.ErrUnavailable, "watch ended: %v %v", lines.Err(), ctx.Err())
}
