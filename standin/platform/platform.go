// Package platform is a stand-in of the platform's object API for tests and
// the demo. It keeps objects in memory and can fail on purpose.
package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	wire "primroseward/protocol/platform"
	"primroseward/standin/faults"
)

const (
	bookmarkEvery = 3 * time.Second
	historyLimit  = 10000
)

// Faults is what the stand-in does wrong until it is set again.
type Faults struct {
	Down       bool `json:"down"`        // refuses every call and ends watches
	LoseWrites int  `json:"lose_writes"` // carries out this many writes but drops their answers
	Delay      int  `json:"delay"`       // milliseconds before each answer
	StaleWatch bool `json:"stale_watch"` // watches repeat old events first
}

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
}

// New returns an empty platform.
func New() *Server {
	s := &Server{
		objects: map[string]map[string]wire.Item{},
		changed: make(chan struct{}),
		counts:  map[string]int{},
	}
	r := chi.NewRouter()
	r.Route(strings.TrimSuffix(wire.Prefix, "/"), func(r chi.Router) {
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
		if r.URL.Query().Get("watch") != "" {
			verb = "WATCH"
		}
		s.counts[verb]++
		lose := r.Method != http.MethodGet && f.LoseWrites > 0
		if lose {
			s.faults.LoseWrites--
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(f.Delay) * time.Millisecond)
		if f.Down {
			status(w, http.StatusServiceUnavailable, "", "platform is down")
			return
		}
		if lose {
			next.ServeHTTP(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
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
		status(w, http.StatusNotFound, wire.ReasonNotFound, "no such object")
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := wire.List{Items: []wire.Item{}}
	l.Metadata.ResourceVersion = strconv.FormatUint(s.version, 10)
	for _, i := range s.objects[chi.URLParam(r, "kind")] {
		l.Items = append(l.Items, i)
	}
	slices.SortFunc(l.Items, func(a, b wire.Item) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, l)
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
		status(w, http.StatusConflict, wire.ReasonAlreadyExists, "name is taken")
		return
	}
	reply(w, http.StatusCreated, s.put(kind, wire.EventAdded, i))
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
		status(w, http.StatusNotFound, wire.ReasonNotFound, "no such object")
		return
	}
	if old.Metadata.ResourceVersion != i.Metadata.ResourceVersion {
		status(w, http.StatusConflict, wire.ReasonConflict, "version is "+old.Metadata.ResourceVersion)
		return
	}
	i.Metadata.Name = name
	reply(w, http.StatusOK, s.put(kind, wire.EventModified, i))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	var opts wire.DeleteOptions
	_ = json.NewDecoder(r.Body).Decode(&opts)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	if !exists {
		status(w, http.StatusNotFound, wire.ReasonNotFound, "no such object")
		return
	}
	want := opts.Preconditions.ResourceVersion
	if want != "" && want != old.Metadata.ResourceVersion {
		status(w, http.StatusConflict, wire.ReasonConflict, "version is "+old.Metadata.ResourceVersion)
		return
	}
	s.put(kind, wire.EventDeleted, old)
	delete(s.objects[kind], name)
	reply(w, http.StatusOK, old)
}

// put stores an item under a new version and records its event.
func (s *Server) put(kind, change string, i wire.Item) wire.Item {
	s.version++
	i.Metadata.ResourceVersion = strconv.FormatUint(s.version, 10)
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]wire.Item{}
	}
	s.objects[kind][i.Metadata.Name] = i
	s.history = append(s.history, event{version: s.version, kind: kind, wire: wire.WatchEvent{Type: change, Object: i}})
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
	kind := chi.URLParam(r, "kind")
	from, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		status(w, http.StatusBadRequest, "", "resourceVersion: want a number")
		return
	}
	s.mu.Lock()
	if len(s.history) > 0 && s.history[0].version > from+1 {
		s.mu.Unlock()
		status(w, http.StatusGone, wire.ReasonExpired, "version is too old")
		return
	}
	if s.faults.StaleWatch {
		from = 0
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	tick := time.NewTicker(bookmarkEvery)
	defer tick.Stop()
	for {
		events, changed, down := s.since(kind, from)
		if down {
			return
		}
		for _, e := range events {
			from = e.version
			if enc.Encode(e.wire) != nil {
				return
			}
		}
		_ = flush.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-tick.C:
			var mark wire.WatchEvent
			mark.Type = wire.EventBookmark
			_ = enc.Encode(mark)
			_ = flush.Flush()
		}
	}
}

func (s *Server) since(kind string, from uint64) ([]event, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []event
	for _, e := range s.history {
		if e.version > from && e.kind == kind {
			out = append(out, e)
		}
	}
	return out, s.changed, s.faults.Down
}

func readItem(w http.ResponseWriter, r *http.Request) (wire.Item, bool) {
	var i wire.Item
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		status(w, http.StatusBadRequest, "", err.Error())
		return i, false
	}
	return i, true
}

func status(w http.ResponseWriter, code int, reason, message string) {
	reply(w, code, wire.Status{Reason: reason, Message: message})
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}
