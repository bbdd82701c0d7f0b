package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const objectsPath = "/v1/objects/"

// metadata and object are an object of the platform's store on the wire.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision,omitempty"`
	Created    uint64   `json:"create_revision,omitempty"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	Revision uint64 `json:"-"`
	Kind     string `json:"-"`
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
	// loses reports whether the answer to a write that has been done is lost; nil: none is.
	loses func(kind string, o object) bool
	// wrote is called with each write that has been done.
	wrote func(kind string, o object)
}

func newStore() *store {
	return &store{kinds: map[string]map[string]object{}, changed: make(chan struct{}), revision: 1, wrote: func(string, object) {}}
}

// put writes an object as operators and runners do. The caller holds no lock.
func (s *store) put(kind, name string, spec any) {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: body}, false)
}

// remove deletes an object, as the platform does with the entry of a runner that is silent.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.write(kind, o, true)
	}
}

// write stores an object under a new revision. The caller holds the lock.
func (s *store) write(kind string, o object, removed bool) object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o.Metadata.Created = s.revision
	if old, ok := s.kinds[kind][o.Metadata.Name]; ok {
		o.Metadata.Created = old.Metadata.Created
	}
	o.Metadata.Revision = s.revision
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if removed {
		delete(s.kinds[kind], o.Metadata.Name)
	} else {
		s.kinds[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, change{s.revision, kind, removed, o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && !named && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			answerJSON(w, http.StatusNotFound, map[string]string{})
			return
		}
		answerJSON(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.kinds[kind]))
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, k int) bool { return items[i].Metadata.Name < items[k].Metadata.Name })
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		events := []change{}
		s.mu.Lock()
		for _, c := range s.history {
			if c.Kind == kind && c.Revision > from {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// change serves the calls that write.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &o) != nil {
			answerJSON(w, http.StatusBadRequest, map[string]string{})
			return
		}
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	expected := o.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		expected, _ = strconv.ParseUint(v, 10, 64)
	}
	s.mu.Lock()
	old, exists := s.kinds[kind][name]
	status, out := http.StatusOK, old
	switch {
	case r.Method == http.MethodPost && exists, exists && expected != 0 && expected != old.Metadata.Revision:
		status = http.StatusConflict
	case r.Method != http.MethodPost && !exists:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		out = s.write(kind, old, true)
	default:
		o.Metadata.Name = name
		out = s.write(kind, o, false)
	}
	s.mu.Unlock()
	if status == http.StatusOK {
		s.wrote(kind, out)
		if s.loses != nil && s.loses(kind, out) {
			<-r.Context().Done() // the connection returns nothing further
			return
		}
	}
	answerJSON(w, status, out)
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
