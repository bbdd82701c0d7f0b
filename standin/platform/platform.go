// Package platform is a stand-in for the platform's object API in tests and the demo. It
// keeps objects in memory and can inject faults.
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
	historyLimit = 10000 // changes
	staleChanges = 3     // changes that a stale watch repeats
	pageSize     = 500   // objects in a page of a list
)

// Faults lists the faults that the stand-in injects until it is set again.
type Faults struct {
	Down       bool `json:"down"`        // refuses every call and aborts watches
	LoseWrites int  `json:"lose_writes"` // applies this many writes but drops their answers
	LateWrites int  `json:"late_writes"` // applies this many writes 1.5 s late, without an answer
	Busy       bool `json:"busy"`        // answers every other call with 429
	Delay      int  `json:"delay"`       // milliseconds before each answer
	StaleWatch bool `json:"stale_watch"` // watches repeat old events first
	// Endless is what is written again and again after the begin of each answer, until the caller closes the
	// connection; in its head if it contains a line end.
	Endless string `json:"endless"`
}

// event is a change in the history.
type event struct {
	version uint64
	kind    string
	wire    wire.WatchEvent
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
		r.Use(s.injectFaults)
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

// SetFaults replaces the faults to inject.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Counts returns the number of calls so far by HTTP method, and of watches as WATCH.
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
	writeJSON(w, http.StatusOK, s.Counts())
}

// injectFaults is the middleware that injects the faults.
func (s *Server) injectFaults(next http.Handler) http.Handler {
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
			writeError(w, http.StatusServiceUnavailable, "platform is down")
			return
		}
		if f.Endless != "" {
			writeEndless(w, f.Endless)
			return
		}
		if busy {
			writeError(w, http.StatusTooManyRequests, "too many calls")
			return
		}
		if late {
			s.applyLate(next, r)
			panic(http.ErrAbortHandler)
		}
		if lose {
			next.ServeHTTP(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// writeEndless writes an answer without an end until that fails.
func writeEndless(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	begin := "HTTP/1.1 200 OK\r\n"
	if !strings.Contains(text, "\n") {
		begin += "Content-Type: application/json\r\n\r\n{\"items\":[ "
	}
	faults.WriteEndless(conn, begin, text, 0)
}

// lateDelay is the delay of the writes in Faults.LateWrites.
const lateDelay = 1500 * time.Millisecond

// applyLate applies a write after lateDelay, if its precondition still holds then.
func (s *Server) applyLate(next http.Handler, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(lateDelay, func() { next.ServeHTTP(discard{header: http.Header{}}, late) })
}

// Put writes an object, bypassing all faults and preconditions. It stands for a write by a
// runner or an operator that has reached the platform.
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

// Remove deletes an object, bypassing all faults and preconditions.
func (s *Server) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[kind][name]; ok {
		s.put(kind, true, old)
		delete(s.objects[kind], name)
	}
}

// DropHistory drops the history: watches from older versions get status 410.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = []event{{version: s.version}}
}

// discard is a ResponseWriter that drops the answer.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.objects[chi.URLParam(r, "kind")][chi.URLParam(r, "name")]
	if !ok {
		writeError(w, http.StatusNotFound, "no such object")
		return
	}
	writeJSON(w, http.StatusOK, i)
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
	if len(p.Items) > pageSize {
		p.Items, p.More = p.Items[:pageSize], true
	}
	writeJSON(w, http.StatusOK, p)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	kind := chi.URLParam(r, "kind")
	i, ok := readItem(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[kind][i.Metadata.Name]; exists {
		writeError(w, http.StatusConflict, "name is taken")
		return
	}
	writeJSON(w, http.StatusCreated, s.put(kind, false, i))
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
		writeError(w, http.StatusNotFound, "no such object")
		return
	}
	if i.Metadata.Revision != 0 && old.Metadata.Revision != i.Metadata.Revision {
		writeJSON(w, http.StatusConflict, old)
		return
	}
	i.Metadata.Name = name
	writeJSON(w, http.StatusOK, s.put(kind, false, i))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	want := r.URL.Query().Get(wire.QueryRevision)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	if !exists {
		writeError(w, http.StatusNotFound, "no such object")
		return
	}
	if want != "" && want != strconv.FormatUint(old.Metadata.Revision, 10) {
		writeJSON(w, http.StatusConflict, old)
		return
	}
	s.put(kind, true, old)
	delete(s.objects[kind], name)
	writeJSON(w, http.StatusOK, old)
}

// put stores an item under a new version and records its event.
func (s *Server) put(kind string, removed bool, i wire.Item) wire.Item {
	s.version++
	i.Metadata.Revision = s.version
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]wire.Item{}
	}
	s.objects[kind][i.Metadata.Name] = i
	s.history = append(s.history, event{version: s.version, kind: kind, wire: wire.WatchEvent{Removed: removed, Object: i}})
	if len(s.history) > historyLimit {
		s.history = slices.Clone(s.history[historyLimit/2:])
	}
	s.wakeWatches()
	return i
}

func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	kind, query := chi.URLParam(r, "kind"), r.URL.Query()
	from, err := strconv.ParseUint(query.Get(wire.QueryWatch), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "watch must be a number")
		return
	}
	wait, err := strconv.Atoi(query.Get(wire.QueryWait))
	if err != nil {
		writeError(w, http.StatusBadRequest, "wait_ms must be a number")
		return
	}
	s.mu.Lock()
	if len(s.history) > 0 && s.history[0].version > from+1 {
		s.mu.Unlock()
		writeError(w, http.StatusGone, "version is too old")
		return
	}
	stale := s.faults.StaleWatch && from > staleChanges
	s.mu.Unlock()
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, current, changed, down := s.changesSince(kind, from)
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 && stale {
			events, current, _, _ = s.changesSince(kind, from-staleChanges)
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, wire.WatchAnswer{Events: events, Current: current})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, wire.WatchAnswer{Events: []wire.WatchEvent{}, Current: current})
			return
		}
	}
}

// changesSince returns the changes of a kind after a version, the store's version, the
// channel that is closed at the next change, and whether the platform is down.
func (s *Server) changesSince(kind string, from uint64) ([]wire.WatchEvent, uint64, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wire.WatchEvent
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
		writeError(w, http.StatusBadRequest, err.Error())
		return i, false
	}
	return i, true
}

func writeError(w http.ResponseWriter, code int, message string) {
	writeJSON(w, code, map[string]string{"error": message})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}
