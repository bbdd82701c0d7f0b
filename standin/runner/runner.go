// Package runner is a stand-in of the platform's runners, for tests: it
// registers itself in the store's stand-in, serves plain requests and streams,
// and takes orders for models and adapters.
package runner

import (
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

	"primroseward/platform"
)

// Spec is what a runner is like.
type Spec struct {
	ID      string
	Service string
	Place   string
	Slots   int
	Models  []string
	Events  int           // of a stream
	Gap     time.Duration // between events, and before a plain answer
	// Bounds of what may be loaded; 0: any number. An order beyond them is kept as
	// a violation.
	MaxModels, MaxAdapters int
	Load                   time.Duration // until an ordered model is there
	// Fatal says whether a request's body ends the runner once it has begun to run it;
	// nil: none does. It ends FatalAfter later, and Ended is called then.
	Fatal      func(body string) bool
	FatalAfter time.Duration
	Ended      func()
	// Reached is where others reach the runner that listens at an address; nil:
	// there.
	Reached func(addr string) string
}

// Run is a request that has run.
type Run struct {
	ID     string
	Target string
	Body   string
	Model  string
	Header http.Header
	At     time.Time
}

// Server is the stand-in.
type Server struct {
	Spec
	srv   *httptest.Server
	store func(kind, name string, spec any)

	mu       sync.Mutex
	born     time.Time // of its life
	runs     []Run
	models   map[string][]string // with their adapters
	sequence uint64
	draining bool
	cutAfter int // events after which the next stream is cut; 0: never
	failing  int // requests to answer 500
	running  int
	busy     bool        // a model is being loaded
	ended    bool        // by a fatal request
	limit    []string    // values of the header that names its limit
	arrived  []time.Time // of requests
	terms    []Term
	wrong    []string
}

// Term is an order's holder and fencing number.
type Term struct {
	Holder string
	Fence  uint64
	At     time.Time
}

// New starts a runner that writes its entry through store.
func New(spec Spec, store func(kind, name string, spec any)) *Server {
	s := &Server{Spec: spec, store: store, born: time.Now(), models: map[string][]string{}}
	for _, m := range spec.Models {
		s.models[m] = nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReport, s.report)
	mux.HandleFunc("POST "+platform.PathOrder, s.order)
	mux.HandleFunc("/", s.request)
	s.srv = httptest.NewServer(mux)
	s.Register()
	return s
}

// Restart begins another life of the runner under its ID, on which it holds nothing and
// has taken no orders. It was born as long after the former life as step says.
func (s *Server) Restart(step time.Duration) {
	s.srv.CloseClientConnections()
	s.mu.Lock()
	s.born = s.born.Add(step)
	s.models, s.sequence, s.draining, s.busy = map[string][]string{}, 0, false, false
	s.mu.Unlock()
	s.Register()
}

// Born is when the runner's present life began.
func (s *Server) Born() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

// Kill ends the runner and all its connections.
func (s *Server) Kill() {
	s.srv.CloseClientConnections()
	s.srv.Config.Close()
}

// Drain reports that the runner leaves; it goes on serving.
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
	s.failing = n
}

// SetLimit names a limit in all answers from now on, in as many headers as there are
// values; none: no limit.
func (s *Server) SetLimit(values ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = values
}

// Arrived is when requests have arrived, run or not, oldest first.
func (s *Server) Arrived() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrived...)
}

// arrive counts a request and names the limit in its answer.
func (s *Server) arrive(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived = append(s.arrived, time.Now())
	for _, value := range s.limit {
		h.Add(platform.HeaderLimit, value)
	}
}

// Terms returns the holders that orders were accepted from, in order.
func (s *Server) Terms() []Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Term(nil), s.terms...)
}

// Violations are orders beyond the runner's bounds.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.wrong...)
}

// Runs returns the requests that have run here.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Holds says whether the runner has a model, and an adapter if one is named.
func (s *Server) Holds(model, adapter string) bool {
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

// holdings lists the models; the caller holds the lock.
func (s *Server) holdings() []platform.HoldingMessage {
	out := []platform.HoldingMessage{}
	for m, adapters := range s.models {
		out = append(out, platform.HoldingMessage{Name: m, Version: 1, Adapters: adapters})
	}
	return out
}

// Register writes the runner's entry.
func (s *Server) Register() {
	s.mu.Lock()
	born := uint64(s.born.UnixMilli())
	address := s.srv.Listener.Addr().String()
	if s.Reached != nil {
		address = s.Reached(address)
	}
	entry := platform.RunnerMessage{
		Born: &born, Service: s.Service, Address: address, Zone: s.Place, Slots: s.Slots,
		State: platform.StateReady, Sequence: s.sequence, Models: s.holdings(),
	}
	if s.draining {
		entry.State = platform.StateDraining
	}
	s.mu.Unlock()
	s.store(platform.KindRunners, s.ID, entry)
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	born := uint64(s.born.UnixMilli())
	reply(w, http.StatusOK, platform.ReportMessage{Born: &born, Models: s.holdings(), Sequence: s.sequence, Busy: s.busy})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o platform.OrderMessage
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || r.Header.Get(platform.HeaderInstance) != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	status := s.apply(o.Operation == platform.OperationLoad, o.Model, o.Adapter, o.Expected)
	s.terms = append(s.terms, Term{o.Holder, o.Fence, time.Now()})
	s.mu.Unlock()
	s.Register()
	w.WriteHeader(status)
}

// apply carries an order out: at once, but for a model that takes a while to load.
func (s *Server) apply(load bool, model, adapter string, expected uint64) int {
	adapters, held := s.models[model]
	if adapter != "" {
		held = slices.Contains(adapters, adapter)
	}
	if held == load {
		return http.StatusOK
	}
	if expected != s.sequence || s.busy && adapter == "" {
		return http.StatusConflict
	}
	s.sequence++
	switch {
	case adapter == "" && load:
		s.check("models", len(s.models)+1, s.MaxModels)
		s.loadModel(model)
	case adapter == "":
		delete(s.models, model)
	case load:
		s.models[model] = append(slices.Clone(adapters), adapter)
		s.check("adapters", s.adapters(), s.MaxAdapters)
	default:
		s.models[model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == adapter })
	}
	return http.StatusAccepted
}

func (s *Server) check(what string, n, most int) {
	if most > 0 && n > most {
		s.wrong = append(s.wrong, fmt.Sprintf("%s: %d %s of %d", s.ID, n, what, most))
	}
}

func (s *Server) adapters() int {
	n := 0
	for _, list := range s.models {
		n += len(list)
	}
	return n
}

func (s *Server) loadModel(model string) {
	if s.Load == 0 {
		s.models[model] = nil
		return
	}
	s.busy = true
	born := s.born
	time.AfterFunc(s.Load, func() {
		s.mu.Lock()
		if !s.born.Equal(born) {
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.arrive(w.Header())
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	model := r.Header.Get(platform.HeaderModel)
	name, adapter, _ := strings.Cut(model, "/")
	if r.Header.Get(platform.HeaderInstance) != s.ID || model != "" && !s.Holds(name, adapter) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if s.Slots > 0 && s.running >= 2*s.Slots {
		s.mu.Unlock()
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runs = append(s.runs, Run{ID: id, Target: r.RequestURI, Body: string(body), Model: model, Header: r.Header.Clone(), At: time.Now()})
	cut, fail := s.cutAfter, s.failing > 0
	s.cutAfter = 0
	if fail {
		s.failing--
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	w.Header().Set(platform.HeaderStamp, s.ID+"."+id)
	if s.Fatal != nil && s.Fatal(string(body)) {
		s.crash(w, r)
	}
	if fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.Events > 0 {
		s.stream(w, r, cut)
		return
	}
	time.Sleep(s.Gap)
	text := s.ID + " " + r.RequestURI + " " + string(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// crash ends the runner with all of its connections; a stream has begun by then. A
// request whose caller goes before does nothing.
func (s *Server) crash(w http.ResponseWriter, r *http.Request) {
	if s.Events > 0 {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // the caller may have gone
	}
	select {
	case <-r.Context().Done():
	case <-time.After(s.FatalAfter):
		s.end()
	}
	panic(http.ErrAbortHandler)
}

// end ends the runner, once.
func (s *Server) end() {
	s.mu.Lock()
	ended := s.ended
	s.ended = true
	s.mu.Unlock()
	if ended {
		return
	}
	_ = s.srv.Listener.Close()
	s.srv.CloseClientConnections()
	s.Ended()
}

// stream sends events; it stops in the middle of one where it is to be cut.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, cut int) {
	from, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := from + 1; i <= s.Events; i++ {
		if cut > 0 && i > cut {
			fmt.Fprintf(w, "id: %d\nda", i)
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if flush.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.Gap):
		}
	}
}

// Addr is where the runner listens.
func (s *Server) Addr() net.Addr { return s.srv.Listener.Addr() }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
