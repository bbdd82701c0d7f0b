package routers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primroseward/coordination/entry"
	"primroseward/core"
	"primroseward/state/answer"
	"primroseward/state/tree"
)

const (
	maxID         = 128
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerTimeLim = "Primrose-Timeout"
)

// Callers answers callers.
type Callers struct {
	entry   *entry.Entry
	clock   core.Clock
	log     *zap.Logger
	body    int64
	sender  time.Duration
	leaving atomic.Bool
}

// New makes a Callers. body bounds a request's body in bytes, sender the time
// to send it.
func New(e *entry.Entry, clock core.Clock, log *zap.Logger, body int64, sender time.Duration) *Callers {
	return &Callers{entry: e, clock: clock, log: log, body: body, sender: sender}
}

// Leave makes every answer ask its caller to close the connection, so that no
// connection is in use when the listener closes.
func (c *Callers) Leave() { c.leaving.Store(true) }

// Server returns an HTTP server for callers.
func (c *Callers) Server(maxHeader int) *http.Server {
	return &http.Server{
		Handler:           c.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          zap.NewStdLog(c.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// Handler returns the routes.
func (c *Callers) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(c.each)
	r.Post("/v1/chat/completions", c.model)
	r.Post("/v1/completions", c.model)
	r.Get("/v1/models", c.models)
	r.Get("/v1/entries", c.entries)
	r.Get("/v1/requests/{id}", c.comeBack)
	r.HandleFunc("/services/{service}/*", c.plain)
	r.HandleFunc("/services/{service}", c.plain)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, core.NotRun(http.StatusNotFound, "unknown_path", "there is no such path", 0))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, core.NotRun(http.StatusMethodNotAllowed, "method_not_allowed", "the path does not take this method", 0))
	})
	return r
}

// each traces a request and marks connections of a leaving daemon.
func (c *Callers) each(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := otel.Tracer("primroseward").Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		if c.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// modelRequest is what routing needs of a request in OpenAI's form.
type modelRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

func (c *Callers) model(w http.ResponseWriter, r *http.Request) {
	t, ok := c.tree(w)
	if !ok {
		return
	}
	body, ok := c.readBody(w, r)
	if !ok {
		return
	}
	var req modelRequest
	if err := json.Unmarshal(body, &req); err != nil {
		writeError(w, core.NotRun(http.StatusBadRequest, "malformed_json", "body: "+err.Error(), 0))
		return
	}
	a := &entry.Ask{Model: req.Model, Stream: req.Stream, Prefix: req.Messages, Service: r.Header.Get(core.HeaderService)}
	if len(a.Prefix) == 0 {
		a.Prefix = req.Prompt
	}
	if err := c.checkModel(t, a); err != nil {
		writeError(w, err)
		return
	}
	eff := t.Effective(tree.Coord{Service: a.Service, Model: a.Model})
	a.Repeat = eff.Repeat
	a.Path = r.URL.RequestURI()
	c.serve(w, r, a, eff, body)
}

func (c *Callers) checkModel(t *tree.Tree, a *entry.Ask) error {
	if a.Model == "" {
		return core.NotRun(http.StatusBadRequest, "model_missing", "model: must be set", 0)
	}
	if _, ok := t.Model(a.Model); !ok {
		return core.NotRun(http.StatusNotFound, "unknown_model", fmt.Sprintf("model: %q is not served", a.Model), 0)
	}
	if a.Service == "" {
		a.Service = t.ServiceOf(a.Model)
	}
	if !t.Offers(a.Service, a.Model) {
		return core.NotRun(http.StatusNotFound, "unknown_service", fmt.Sprintf("%s: service %q does not offer model %q", core.HeaderService, a.Service, a.Model), 0)
	}
	return nil
}

func (c *Callers) plain(w http.ResponseWriter, r *http.Request) {
	t, ok := c.tree(w)
	if !ok {
		return
	}
	name := chi.URLParam(r, "service")
	spec, ok := t.Service(name)
	if !ok || spec.Kind != tree.KindPlain {
		writeError(w, core.NotRun(http.StatusNotFound, "unknown_service", fmt.Sprintf("service %q is not served", name), 0))
		return
	}
	body, ok := c.readBody(w, r)
	if !ok {
		return
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	if path == "" {
		path = "/"
	}
	eff := t.Effective(tree.Coord{Service: name})
	a := &entry.Ask{Service: name, Path: path, Repeat: eff.Repeat && t.Repeatable(name, r.Method, path)}
	if r.URL.RawQuery != "" {
		a.Path += "?" + r.URL.RawQuery
	}
	c.serve(w, r, a, eff, body)
}

// serve completes the request and passes its answer to the caller.
func (c *Callers) serve(w http.ResponseWriter, r *http.Request, a *entry.Ask, eff *tree.Effective, body []byte) {
	a.Method = r.Method
	a.Body = body
	a.Scope = scopeOf(r)
	a.Key = r.Header.Get(core.HeaderIdempotencyKey)
	a.Header = passOn(r.Header)
	if err := c.complete(r, a, eff); err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(core.HeaderRequest, a.ID)
	buf, err := c.entry.Begin(r.Context(), a)
	if err != nil {
		writeError(w, err)
		return
	}
	if writeAnswer(r.Context(), w, buf, 0) != nil {
		c.entry.Leave(a)
	}
}

// complete fills in the id, class and deadline.
func (c *Callers) complete(r *http.Request, a *entry.Ask, eff *tree.Effective) error {
	a.ID = r.Header.Get(core.HeaderRequest)
	a.Returns = a.ID != "" || a.Key != ""
	for name, v := range map[string]string{core.HeaderRequest: a.ID, core.HeaderIdempotencyKey: a.Key} {
		if !validID(v) {
			return core.NotRun(http.StatusBadRequest, "bad_header", fmt.Sprintf("%s: want up to %d printable characters", name, maxID), 0)
		}
	}
	if a.ID == "" {
		a.ID = entry.NewID()
	}
	class, err := classOf(r, eff)
	if err != nil {
		return err
	}
	a.Class = class
	limit := eff.Deadline
	if text := r.Header.Get(headerTimeLim); text != "" {
		own, err := time.ParseDuration(text)
		if err != nil || own <= 0 {
			return core.NotRun(http.StatusBadRequest, "bad_header", headerTimeLim+": want a duration such as 30s", 0)
		}
		limit = min(limit, own)
	}
	a.Deadline = c.clock.Now().Add(limit)
	return nil
}

// classOf returns the class that a request names, if the settings allow it:
// where they name a class, a request may be less urgent but not more.
func classOf(r *http.Request, eff *tree.Effective) (core.Class, error) {
	text := r.Header.Get(core.HeaderClass)
	if text == "" {
		return eff.Class, nil
	}
	class := core.Class(text)
	if !class.Valid() {
		return "", core.NotRun(http.StatusBadRequest, "bad_header", core.HeaderClass+": want urgent, normal or batch", 0)
	}
	if eff.Origin["class"] != "" && class.Rank() < eff.Class.Rank() {
		return eff.Class, nil
	}
	return class, nil
}

func validID(s string) bool {
	if len(s) > maxID {
		return false
	}
	for i := range len(s) {
		if s[i] < 0x21 || s[i] > 0x7e || s[i] == '/' {
			return false
		}
	}
	return true
}

// scopeOf tells callers apart, so that nobody reaches another's answer by its
// id.
func scopeOf(r *http.Request) string {
	return strconv.FormatUint(xxhash.Sum64String(r.Header.Get("Authorization")), 36)
}

// ownHeaders are for this system and are not passed on to endpoints. An
// idempotency key is: endpoints may use it too.
var ownHeaders = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Proxy-Connection", "Proxy-Authorization",
	"Expect", "Content-Length", "Accept-Encoding", "Traceparent", "Tracestate",
	core.HeaderRequest, core.HeaderClass, core.HeaderService, core.HeaderRequestID, headerTimeLim,
}

func passOn(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range ownHeaders {
		out.Del(name)
	}
	return out
}

func (c *Callers) tree(w http.ResponseWriter) (*tree.Tree, bool) {
	t := c.entry.Tree()
	if t == nil {
		writeError(w, core.NotRun(http.StatusServiceUnavailable, "starting", "there are no settings yet", time.Second))
	}
	return t, t != nil
}

// readBody reads a bounded body within a bounded time. A caller that stops
// sending costs one goroutine for that time and nothing else.
func (c *Callers) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(c.sender))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.body))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		writeError(w, core.NotRun(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("body: over %d bytes", c.body), 0))
	case errors.As(err, &netErr) && netErr.Timeout():
		w.Header().Set("Connection", "close")
		writeError(w, core.NotRun(http.StatusRequestTimeout, "slow_sender", "body: not received in time", 0))
	default:
		w.Header().Set("Connection", "close")
		writeError(w, core.NotRun(http.StatusBadRequest, "body_broken", "body: "+err.Error(), 0))
	}
	return nil, false
}

// modelItem is one model in OpenAI's form.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

func (c *Callers) models(w http.ResponseWriter, _ *http.Request) {
	t, ok := c.tree(w)
	if !ok {
		return
	}
	list := []modelItem{}
	for _, name := range t.Models() {
		list = append(list, modelItem{ID: name, Object: "model", Owner: "primroseward"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func (c *Callers) entries(w http.ResponseWriter, r *http.Request) {
	t, ok := c.tree(w)
	if !ok {
		return
	}
	model := r.URL.Query().Get("model")
	if _, known := t.Model(model); model != "" && !known {
		writeError(w, core.NotRun(http.StatusNotFound, "unknown_model", fmt.Sprintf("model: %q is not served", model), 0))
		return
	}
	list := c.entry.Addresses(r.Context(), model, r.URL.Query().Get("place"))
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(entry.AddressLife.Seconds())))
	writeJSON(w, http.StatusOK, map[string]any{"entries": list, "life": entry.AddressLife.Seconds()})
}

// comeBack gives a caller the rest of an answer that it lost.
func (c *Callers) comeBack(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if r.URL.Query().Get("offset") == "" {
		offset, err = 0, nil
	}
	if err != nil || offset < 0 || !validID(id) {
		writeError(w, core.NotRun(http.StatusBadRequest, "bad_request", "offset: want a number of bytes", 0))
		return
	}
	w.Header().Set(core.HeaderRequest, id)
	buf, err := c.find(r.Context(), scopeOf(r), id)
	switch {
	case errors.Is(err, core.ErrGone):
		gone := core.MayHaveRun("answer_gone", "the answer is no longer held")
		gone.Status = http.StatusGone
		writeError(w, gone)
	case errors.Is(err, core.ErrNotFound):
		// Another daemon that lost its memory may have run it.
		unknown := core.MayHaveRun("unknown_request", "no answer is held under this id")
		unknown.Status = http.StatusNotFound
		writeError(w, unknown)
	case err != nil:
		writeError(w, err)
	default:
		_ = writeAnswer(r.Context(), w, buf, offset)
	}
}

// find looks under the id as a request id, then as an idempotency key.
func (c *Callers) find(ctx context.Context, scope, id string) (*answer.Buffer, error) {
	buf, err := c.entry.Return(ctx, scope, id)
	if errors.Is(err, core.ErrNotFound) {
		return c.entry.Return(ctx, scope, "key:"+id)
	}
	return buf, err
}
