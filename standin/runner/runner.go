// Package runner is a stand-in for the platform's runners in tests. It registers itself
// in the stand-in for the store, serves plain requests and streams, and carries out
// orders for models and adapters.
package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"primroseward/core"
	"primroseward/platform"
)

// Spec describes a runner.
type Spec struct {
	ID         string
	Service    string
	Version    string // of its software
	DataCentre string
	Slots      int           // twice as many requests run at the same time; 0: any number
	Models     []string      // loaded at the start
	Events     int           // in a stream; 0: plain answers
	Interval   time.Duration // between events, and before a plain answer
	// MaxModels and MaxAdapters bound what may be loaded; 0: any number. An order that
	// exceeds them is carried out and recorded as a violation.
	MaxModels, MaxAdapters int
	LoadTime               time.Duration // time to load a model; 0: loaded at once
	// Fatal reports whether the runner exits because of a request with this body; nil:
	// it never does. The runner exits FatalAfter after it has begun to run the request,
	// and then calls Exited.
	Fatal      func(body string) bool
	FatalParts []string // it exits as well because of requests whose prompts share one of these parts
	FatalAfter time.Duration
	FatalForms map[string]FatalForm // of FatalParts; those that are left out make it exit as Fatal does
	Exited     func()
	// FatalAnswer is what the runner answers to a fatal request when it exits; nil: nothing, or the
	// head of a stream.
	FatalAnswer *Raw
	ReadBuffer  int // of its connections, in bytes; 0: as the system sets it
	// AdvertisedAddr returns the address to register for the runner's listen address; nil: the
	// listen address itself.
	AdvertisedAddr func(addr string) string
}

// Run is a request that has begun to run.
type Run struct {
	ID     string
	Target string
	Body   string
	Model  string
	Header http.Header
	At     time.Time
	Fatal  *FatalForm // how it made the runner exit; nil: it did not
}

// Server is the stand-in.
type Server struct {
	Spec
	srv     *httptest.Server
	handler http.Handler
	store   func(kind, name string, spec any)

	mu          sync.Mutex
	started     time.Time // start time of the present instance
	runs        []Run
	models      map[string][]string // adapters by loaded model
	sequence    uint64              // number of orders carried out
	draining    bool
	cutAfter    int // events after which the next stream is cut; 0: never
	raw         func(r *http.Request) *Raw
	rawControl  func(r *http.Request) *Raw // to reports and orders
	early       func(r *http.Request) *Raw // before the body has been read
	failures    int                        // next requests to answer with status 500
	running     int                        // requests
	busy        bool                       // a model is being loaded
	exited      bool                       // exited because of a fatal request
	limit       []string                   // values of the limit header
	leaving     []string                   // values of the leaving header
	rejects     bool                       // rejects all requests
	backoff     []string                   // values of Retry-After in rejections
	arrived     []Arrival                  // requests, run or not
	brittle     brittleState
	silentUntil time.Time
	silenceAt   func(p Point) time.Duration
	brokenOff   map[string]bool // requests whose answers the runner broke off
	closes      []time.Time     // when it closed all connections
	terms       []Term
	pace        paceState
	violations  []string // orders that exceeded the bounds
}

// Term is the holder and fencing number of an order, and when it arrived.
type Term struct {
	Holder string
	Fence  uint64
	At     time.Time
}

// New starts a runner that writes its entry by calling store.
func New(spec Spec, store func(kind, name string, spec any)) *Server {
	s := &Server{Spec: spec, store: store, started: time.Now(), models: map[string][]string{}}
	for _, m := range spec.Models {
		s.models[m] = nil
	}
	mux := http.NewServeMux()
	s.handler = s.runAfterSilence(mux)
	mux.HandleFunc("GET "+platform.PathReport, s.report)
	mux.HandleFunc("POST "+platform.PathOrder, s.order)
	mux.HandleFunc("/", s.request)
	s.srv = httptest.NewUnstartedServer(s.handler)
	if spec.ReadBuffer > 0 {
		s.srv.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			_ = conn.(*net.TCPConn).SetReadBuffer(spec.ReadBuffer) // fails on a closed connection only
			return ctx
		}
	}
	s.srv.Start()
	s.Register()
	return s
}

// Restart starts a new instance of the runner under the same ID, without models and
// without orders carried out. Its start time is that of the previous instance plus step.
func (s *Server) Restart(step time.Duration) {
	s.noteClose()
	s.srv.CloseClientConnections()
	s.mu.Lock()
	s.started = s.started.Add(step)
	s.models, s.sequence, s.draining, s.busy = map[string][]string{}, 0, false, false
	s.leaving, s.rejects = nil, false
	s.mu.Unlock()
	s.Register()
}

// StartTime returns the start time of the runner's present instance.
func (s *Server) StartTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Kill closes the runner's listener and all its connections.
func (s *Server) Kill() {
	s.noteClose()
	s.srv.CloseClientConnections()
	s.srv.Config.Close()
}

// Drain registers the runner as draining; it continues to serve.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.Register()
}

// CutNext cuts the next stream after n events.
func (s *Server) CutNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = n
}

// FailNext answers the next n requests with 500.
func (s *Server) FailNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = n
}

// Terms returns the holder and fencing number of each order that named this runner's
// ID, oldest first.
func (s *Server) Terms() []Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Term(nil), s.terms...)
}

// Violations describes the orders that exceeded the runner's bounds.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// Running returns the number of requests that run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Runs returns the requests that have begun to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// IsLoaded reports whether a model is loaded and, if adapter is not empty, that adapter.
func (s *Server) IsLoaded(model, adapter string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	adapters, ok := s.models[model]
	if !ok || adapter == "" {
		return ok
	}
	for _, a := range adapters {
		if a == adapter {
			return true
		}
	}
	return false
}

// loadedModels lists the models with their adapters; s.mu must be held.
func (s *Server) loadedModels() []platform.HoldingMessage {
	out := []platform.HoldingMessage{}
	for m, adapters := range s.models {
		out = append(out, platform.HoldingMessage{Name: m, Version: 1, Adapters: adapters})
	}
	return out
}

// Register writes the runner's entry.
func (s *Server) Register() {
	s.mu.Lock()
	started := uint64(s.started.UnixMilli())
	address := s.srv.Listener.Addr().String()
	if s.AdvertisedAddr != nil {
		address = s.AdvertisedAddr(address)
	}
	entry := platform.RunnerMessage{
		StartedAt: &started, Service: s.Service, Version: s.Version, Address: address, Zone: s.DataCentre, Slots: s.Slots,
		State: platform.StateReady, Sequence: s.sequence, Models: s.loadedModels(),
	}
	if s.draining {
		entry.State = platform.StateDraining
	}
	s.mu.Unlock()
	s.store(platform.KindRunners, s.ID, entry)
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	if s.writeRaw(w, r, &s.rawControl) {
		return
	}
	s.pass(InReport)
	s.announce(w.Header())
	s.mu.Lock()
	defer s.mu.Unlock()
	started := uint64(s.started.UnixMilli())
	writeJSON(w, http.StatusOK, platform.ReportMessage{StartedAt: &started, Models: s.loadedModels(), Sequence: s.sequence, Busy: s.busy})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	if s.writeRaw(w, r, &s.rawControl) {
		return
	}
	s.pass(InOrder)
	s.announce(w.Header())
	var o platform.OrderMessage
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || r.Header.Get(platform.HeaderInstance) != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	status := s.apply(o.Operation == platform.OperationLoad, o.Model, o.Adapter, o.Expected)
	s.terms = append(s.terms, Term{o.Holder, o.Fence, arrivalOf(r)})
	s.mu.Unlock()
	s.Register()
	w.WriteHeader(status)
}

// apply carries out an order and returns the answer's status. All orders take effect at
// once, except for loading a model if LoadTime is set. s.mu must be held.
func (s *Server) apply(load bool, model, adapter string, expected uint64) int {
	adapters, loaded := s.models[model]
	if adapter != "" {
		loaded = slices.Contains(adapters, adapter)
	}
	if loaded == load {
		return http.StatusOK
	}
	if expected != s.sequence || s.busy && adapter == "" {
		return http.StatusConflict
	}
	s.sequence++
	switch {
	case adapter == "" && load:
		s.checkBound("models", len(s.models)+1, s.MaxModels)
		s.loadModel(model)
	case adapter == "":
		delete(s.models, model)
	case load:
		s.models[model] = append(slices.Clone(adapters), adapter)
		s.checkBound("adapters", s.adapterCount(), s.MaxAdapters)
	default:
		s.models[model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == adapter })
	}
	return http.StatusAccepted
}

// checkBound records a violation if n exceeds a bound; a bound of 0 allows any number.
func (s *Server) checkBound(kind string, n, bound int) {
	if bound > 0 && n > bound {
		s.violations = append(s.violations, fmt.Sprintf("%s: %d %s loaded, at most %d allowed", s.ID, n, kind, bound))
	}
}

// adapterCount returns the number of adapters loaded over all models.
func (s *Server) adapterCount() int {
	n := 0
	for _, list := range s.models {
		n += len(list)
	}
	return n
}

func (s *Server) loadModel(model string) {
	if s.LoadTime == 0 {
		s.models[model] = nil
		return
	}
	s.busy = true
	started := s.started
	time.AfterFunc(s.LoadTime, func() {
		s.mu.Lock()
		if !s.started.Equal(started) {
			s.mu.Unlock()
			return
		}
		s.busy = false
		s.models[model] = nil
		s.mu.Unlock()
		s.Register()
	})
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	if s.writeEarly(w, r) {
		return
	}
	data, err := s.readBody(r)
	if err != nil {
		return
	}
	body := string(data)
	id := r.Header.Get(platform.HeaderRequestID)
	s.recordArrival(id, w.Header())
	s.announce(w.Header())
	w.Header().Set(platform.HeaderRequestID, id)
	model := r.Header.Get(platform.HeaderModel)
	name, adapter, _ := strings.Cut(model, "/")
	if r.Header.Get(platform.HeaderInstance) != s.ID || model != "" && !s.IsLoaded(name, adapter) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if s.rejects {
		for _, value := range s.backoff {
			w.Header().Add(core.HeaderRetryAfter, value)
		}
	}
	if s.rejects || s.Slots > 0 && s.running >= s.room() {
		s.noteRejection()
		s.mu.Unlock()
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	form := s.fatal(r.Header, body)
	s.runs = append(s.runs, Run{ID: id, Target: r.RequestURI, Body: body, Model: model, Header: r.Header.Clone(), At: time.Now(), Fatal: form})
	cut, fail := s.cutAfter, s.failures > 0
	s.cutAfter = 0
	if fail {
		s.failures--
	}
	instance := s.started
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.started.Equal(instance) {
			s.running--
		}
	}()
	w.Header().Set(platform.HeaderStamp, s.ID+"."+id)
	if form != nil {
		s.crash(w, r, form)
	}
	if fail {
		s.NoteBreak(id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	r.Body = io.NopCloser(strings.NewReader(body))
	if s.writeRaw(w, r, &s.raw) {
		return
	}
	if s.Events > 0 {
		s.stream(w, r, cut)
		return
	}
	s.work(r.Context())
	s.awaitSilence()
	begin := s.ID + " " + r.RequestURI + " "
	w.Header().Set("Content-Length", strconv.Itoa(len(begin)+len(body)))
	for _, text := range []string{begin, body} {
		_, _ = io.WriteString(w, text)
	}
}

// Addr returns the address that the runner listens on.
func (s *Server) Addr() net.Addr { return s.srv.Listener.Addr() }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
