// Package engine is a stand-in for a model engine in tests and the demo. Its answers are a
// function of the prompt, so that a test can distinguish a complete answer from one that
// is truncated, duplicated or belongs to another request. It can inject faults.
package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"primroseward/core"
	"primroseward/protocol/endpoint"
	"primroseward/standin/faults"
)

// Config describes an engine.
type Config struct {
	Memory        int64           // bytes
	Slots         int             // requests served at the same time
	Fenced        bool            // refuses orders with an old fencing number
	TokenInterval time.Duration   // time between tokens
	LoadTime      time.Duration   // time to load a model
	Resident      []core.Resident // models loaded at the start
}

// Faults lists the faults that the stand-in injects. Counts apply to the next requests.
type Faults struct {
	CutAfter         int  `json:"cut_after"`   // writes, of one or more tokens, until the connection is closed
	StallAfter       int  `json:"silent_at"`   // writes until the connection stalls
	FaultyRequests   int  `json:"cuts"`        // requests whose connection is closed or stalls
	CrossedAnswers   int  `json:"cross"`       // answers that carry another request's id
	TruncatedAnswers int  `json:"truncate"`    // answers that end early as if complete
	LoseOrders       int  `json:"lose_orders"` // orders that are dropped without being carried out
	LateOrders       int  `json:"late_orders"` // orders that are carried out 2 s later
	NoResume         bool `json:"no_resume"`   // streams cannot be resumed
	Leaving          bool `json:"leaving"`     // the state says that the engine is leaving
}

// Run is a request that the engine has begun to run.
type Run struct {
	Attempt string `json:"attempt"`
	Model   string `json:"model"`
	Prompt  string `json:"prompt"`
	Key     string `json:"key"`
}

// Server is the stand-in; it implements http.Handler.
type Server struct {
	http.Handler
	cfg     Config
	boot    string // identifies the process's lifetime; Restart changes it
	mu      sync.Mutex
	models  map[string]*resident
	peak    int64  // most memory in use so far, in bytes
	fence   uint64 // highest fencing number of any order
	faults  Faults
	runs    []Run
	streams map[string]*stream
	running map[string]int // requests by model
}

// resident is a loaded or loading model.
type resident struct {
	core.Resident
	evict bool // to be evicted once no request runs on it
}

// New returns an engine.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		boot:    uuid.NewString(),
		models:  map[string]*resident{},
		streams: map[string]*stream{},
		running: map[string]int{},
	}
	for _, r := range cfg.Resident {
		s.models[r.Model+"@"+r.Version] = &resident{Resident: r}
	}
	s.peak = s.used()
	r := chi.NewRouter()
	r.Get(endpoint.PathState, s.state)
	r.Post(endpoint.PathOrders, s.order)
	r.Get(endpoint.PathStreams+"{id}", s.resume)
	r.Delete(endpoint.PathStreams+"{id}", s.cancel)
	r.Post("/v1/chat/completions", s.chat)
	r.Post("/v1/completions", s.chat)
	r.Put("/faults", faults.Handler(s.SetFaults))
	r.Get("/log", s.log)
	s.Handler = r
	return s
}

// SetFaults replaces the faults to inject.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the requests that have begun to run so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// PeakMemory returns the most memory in use at any time, in bytes.
func (s *Server) PeakMemory() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// Residents returns the models that are loaded or loading.
func (s *Server) Residents() []core.Resident {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []core.Resident
	for _, m := range s.models {
		out = append(out, m.Resident)
	}
	return out
}

// Running returns the number of requests for which tokens are being generated.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.running {
		n += k
	}
	return n
}

// Restart drops all models, streams and the fencing number, as a new process would.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot = uuid.NewString()
	s.fence = 0
	clear(s.models)
	for _, st := range s.streams {
		st.stop()
	}
	clear(s.streams)
}

func (s *Server) used() int64 {
	var sum int64
	for _, m := range s.models {
		sum += m.Bytes
	}
	return sum
}

func (s *Server) log(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"runs": s.Runs(), "peak": s.PeakMemory(), "memory": s.cfg.Memory})
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	o := core.Observation{Instance: s.boot, Leaving: s.faults.Leaving}
	if s.cfg.Fenced {
		o.Fence = s.fence
	}
	for _, m := range s.models {
		o.Residents = append(o.Residents, m.Resident)
	}
	s.mu.Unlock()
	o.Running = s.Running()
	slices.SortFunc(o.Residents, func(a, b core.Resident) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o core.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	lose := s.faults.LoseOrders > 0
	late := !lose && s.faults.LateOrders > 0
	if lose {
		s.faults.LoseOrders--
	}
	if late {
		s.faults.LateOrders--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if late {
		time.AfterFunc(2*time.Second, func() { s.carryOut(o) })
		panic(http.ErrAbortHandler)
	}
	if !s.carryOut(o) {
		http.Error(w, "stale fence", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// carryOut carries out an order, unless its fencing number is stale.
func (s *Server) carryOut(o core.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Fenced && o.Fence < s.fence {
		return false
	}
	s.fence = max(s.fence, o.Fence)
	switch o.Kind {
	case core.OrderLoad:
		s.load(o)
	case core.OrderEvict:
		if m := s.models[o.Model+"@"+o.Version]; m != nil {
			m.evict = true
			s.evictIdle(o.Model)
		}
	}
	return true
}

func (s *Server) load(o core.Order) {
	key := o.Model + "@" + o.Version
	if m := s.models[key]; m != nil {
		m.evict = false
		return
	}
	m := &resident{Resident: core.Resident{Model: o.Model, Version: o.Version, Bytes: o.Bytes}}
	s.models[key] = m
	s.peak = max(s.peak, s.used())
	time.AfterFunc(s.cfg.LoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		m.Ready = true
	})
}

// evictIdle carries out evictions once a model has no requests in progress.
func (s *Server) evictIdle(model string) {
	if s.running[model] > 0 {
		return
	}
	for key, m := range s.models {
		if m.Model == model && m.evict {
			delete(s.models, key)
		}
	}
}

func (s *Server) ready(model string) bool {
	for _, m := range s.models {
		if m.Model == model && m.Ready {
			return true
		}
	}
	return false
}
