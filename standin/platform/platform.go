// Package platform is a stand-in of the platform's object API for tests and
// the demo. It keeps objects in memory and can fail on purpose.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	wire "primroseward/platform"
	"primroseward/standin/faults"
)

const (
	historyLimit = 10000
	staleBy      = 3 // changes that a stale watch repeats
	pageItems    = 500
)

// Faults is what the stand-in does wrong until it is set again.
type Faults struct {
	Down       bool `json:"down"`        // refuses every call and ends watches
	LoseWrites int  `json:"lose_writes"` // carries out this many writes but drops their answers
	LateWrites int  `json:"late_writes"` // carries out this many writes a second or two late, without an answer
	Busy       bool `json:"busy"`        // answers every other call with 429
	Delay      int  `json:"delay"`       // milliseconds before each answer
	StaleWatch bool `json:"stale_watch"` // watches repeat old events first
}

type event struct {
	version uint64
	kind    string
	wire    wire.Change
}

// Server is the stand-in; it implements http.Handler.
type Server struct {
	http.Handler
	mu      sync.Mutex
	version uint64
	objects map[string]map[string]wire.Item
	history []event
	changed chan struct{}
	faults  Faults
	counts  map[string]int
	calls   int
}

// New returns an empty platform.
func New() *Server {
	s := &Server{
		objects: map[string]map[string]wire.Item{},
		changed: make(chan struct{}),
		counts:  map[string]int{},
	}
	r := chi.NewRouter()
	r.Route(strings.TrimSuffix(wire.PathObjects, "/"), func(r chi.Router) {
		r.Use(s.fail)
		r.Get("/{kind}", s.list)
		r.Post("/{kind}", s.create)
		r.Get("/{kind}/{name}", s.get)
		r.Put("/{kind}/{name}", s.update)
		r.Delete("/{kind}/{name}", s.remove)
	})
	r.Put("/faults", faults.Handler(s.SetFaults))
	r.Get("/counts", s.getCounts)
	s.Handler = r
	return s
}

// SetFaults changes what goes wrong from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Counts returns the calls so far by verb.
func (s *Server) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.counts {
		out[k] = v
	}
	return out
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Counts())
}

func (s *Server) fail(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		verb := r.Method
		if r.URL.Query().Has(wire.QueryWatch) {
			verb = "WATCH"
		}
		s.counts[verb]++
		write := r.Method != http.MethodGet
		lose := write && f.LoseWrites > 0
		late := write && !lose && f.LateWrites > 0
		if lose {
			s.faults.LoseWrites--
		}
		if late {
			s.faults.LateWrites--
		}
		s.calls++
		busy := f.Busy && s.calls%2 == 0
		s.mu.Unlock()
		time.Sleep(time.Duration(f.Delay) * time.Millisecond)
		if f.Down {
			status(w, http.StatusServiceUnavailable, "platform is down")
			return
		}
		if busy {
			status(w, http.StatusTooManyRequests, "too many calls")
			return
		}
		if late {
			s.carryOutLate(next, r)
			panic(http.ErrAbortHandler)
		}
		if lose {
			next.ServeHTTP(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// lateBy is how late a write is carried out that gets no answer.
const lateBy = 1500 * time.Millisecond

// carryOutLate lets a write take effect later, if its condition still holds then.
func (s *Server) carryOutLate(next http.Handler, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	again := r.Clone(context.WithoutCancel(r.Context()))
	again.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(lateBy, func() { next.ServeHTTP(discard{header: http.Header{}}, again) })
}

// Put writes an object past all faults and conditions, as runners and operators do
// once they get through.
func (s *Server) Put(kind, name string, spec any) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, false, wire.Item{Metadata: wire.Meta{Name: name}, Spec: body})
	return nil
}

// Remove takes an object out the same way.
func (s *Server) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[kind][name]; ok {
		s.put(kind, true, old)
		delete(s.objects[kind], name)
	}
}

// Forget drops the history: watches from older versions are told that it is gone.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = []event{{version: s.version}}
}

type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.objects[chi.URLParam(r, "kind")][chi.URLParam(r, "name")]
	if !ok {
		status(w, http.StatusNotFound, "no such object")
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(wire.QueryWatch) {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := wire.Page{Items: []wire.Item{}, Current: s.version}
	after := r.URL.Query().Get(wire.QueryAfter)
	for _, i := range s.objects[chi.URLParam(r, "kind")] {
		if i.Metadata.Name > after {
			p.Items = append(p.Items, i)
		}
	}
	slices.SortFunc(p.Items, func(a, b wire.Item) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	if len(p.Items) > pageItems {
		p.Items, p.More = p.Items[:pageItems], true
	}
	reply(w, http.StatusOK, p)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	kind := chi.URLParam(r, "kind")
	i, ok := readItem(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.objects[kind][i.Metadata.Name]; taken {
		status(w, http.StatusConflict, "name is taken")
		return
	}
	reply(w, http.StatusCreated, s.put(kind, false, i))
}

func (s *Server) update(w http.ResponseWriter, r *http.Request) {
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	i, ok := readItem(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	if !exists {
		status(w, http.StatusNotFound, "no such object")
		return
	}
	if i.Metadata.Revision != 0 && old.Metadata.Revision != i.Metadata.Revision {
		reply(w, http.StatusConflict, old)
		return
	}
	i.Metadata.Name = name
	reply(w, http.StatusOK, s.put(kind, false, i))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	want := r.URL.Query().Get(wire.QueryRevision)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	if !exists {
		status(w, http.StatusNotFound, "no such object")
		return
	}
	if want != "" && want != strconv.FormatUint(old.Metadata.Revision, 10) {
		reply(w, http.StatusConflict, old)
		return
	}
	s.put(kind, true, old)
	delete(s.objects[kind], name)
	reply(w, http.StatusOK, old)
}

// put stores an item under a new version and records its event.
func (s *Server) put(kind string, removed bool, i wire.Item) wire.Item {
	s.version++
	i.Metadata.Revision = s.version
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]wire.Item{}
	}
	s.objects[kind][i.Metadata.Name] = i
	s.history = append(s.history, event{version: s.version, kind: kind, wire: wire.Change{Removed: removed, Object: i}})
	if len(s.history) > historyLimit {
		s.history = slices.Clone(s.history[historyLimit/2:])
	}
	s.wake()
	return i
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	kind, query := chi.URLParam(r, "kind"), r.URL.Query()
	from, err := strconv.ParseUint(query.Get(wire.QueryWatch), 10, 64)
	if err != nil {
		status(w, http.StatusBadRequest, "watch: want a number")
		return
	}
	wait, err := strconv.Atoi(query.Get(wire.QueryWait))
	if err != nil {
		status(w, http.StatusBadRequest, "wait_ms: want a number")
		return
	}
	s.mu.Lock()
	if len(s.history) > 0 && s.history[0].version > from+1 {
		s.mu.Unlock()
		status(w, http.StatusGone, "version is too old")
		return
	}
	stale := s.faults.StaleWatch && from > staleBy
	s.mu.Unlock()
	over := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer over.Stop()
	for {
		events, current, changed, down := s.since(kind, from)
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 && stale {
			events, current, _, _ = s.since(kind, from-staleBy)
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, wire.Changes{Events: events, Current: current})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-over.C:
			reply(w, http.StatusOK, wire.Changes{Events: []wire.Change{}, Current: current})
			return
		}
	}
}

func (s *Server) since(kind string, from uint64) ([]wire.Change, uint64, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wire.Change
	for _, e := range s.history {
		if e.version > from && e.kind == kind {
			out = append(out, e.wire)
		}
	}
	return out, s.version, s.changed, s.faults.Down
}

func readItem(w http.ResponseWriter, r *http.Request) (wire.Item, bool) {
	var i wire.Item
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		status(w, http.StatusBadRequest, err.Error())
		return i, false
	}
	return i, true
}

func status(w http.ResponseWriter, code int, message string) {
	reply(w, code, map[string]string{"error": message})
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}
