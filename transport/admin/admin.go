// Package admin serves the operators' HTTP API: the settings tree, the status, runners and
// moves, metrics and health checks. It has a listener of its own, which callers cannot reach.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"primroseward/core"
	"primroseward/io/retain"
	"primroseward/io/strict"
	"primroseward/services/holds"
	"primroseward/services/limits"
	service "primroseward/services/tree"
	"primroseward/services/workspaces"
	"primroseward/state/tree"
	"primroseward/transport/intake"
)

const maxBody = 16 << 20

// HeaderOperator is the header with the name of the operator who makes an edit.
const HeaderOperator = "Primrose-Operator"

// Statuses provides the status of the whole system.
type Statuses interface {
	Status(ctx context.Context) service.Status
}

// Fleet provides the state of the runners.
type Fleet interface {
	Runners(ctx context.Context) []service.RunnerStatus
	// Moves fails with core.ErrUnavailable if only another daemon can list the moves.
	Moves(ctx context.Context) ([]service.MoveStatus, error)
}

// Holds lists and releases the requests on hold.
type Holds interface {
	Holds(ctx context.Context) ([]holds.Status, error)
	// Release fails with core.ErrNotFound if the request is not on hold.
	Release(ctx context.Context, d core.Digest) error
}

// Admin serves the operators' API.
type Admin struct {
	Trees    *service.Service
	Statuses Statuses
	Fleet    Fleet
	Holds    Holds // nil: requests are never put on hold; the routes do not exist
	// Workspaces returns the workspaces' allowances. If it is nil, the route does not exist.
	Workspaces func() []workspaces.Status
	// Limits returns the limits that runners declare and those of the settings. If it is nil, the
	// route does not exist.
	Limits   func() []limits.Status
	Metrics  http.Handler
	Ready    func() bool
	Token    string         // empty: no token is required
	ReadOnly bool           // edits are refused
	Bodies   *retain.Budget // of the bodies of requests in progress; nil: no bound
}

// Problem is the body of an error answer.
type Problem struct {
	Error    string             `json:"error"`
	Problems []string           `json:"problems,omitempty"`
	Winner   *service.NodeState `json:"winner,omitempty"`
}

// EditBody is the body of an edit.
type EditBody struct {
	Version uint64          `json:"version"`
	Node    json.RawMessage `json:"node"`
	Note    string          `json:"note"`
}

// Handler returns the handler of all routes.
func (a *Admin) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, map[string]bool{"ok": true}) })
	r.Get("/readyz", a.ready)
	r.Handle("/metrics", a.Metrics)
	r.Route("/admin", func(r chi.Router) {
		r.Use(a.authorize)
		r.Get("/tree", a.get)
		r.Put("/tree", a.set)
		r.Post("/tree", a.apply)
		r.Get("/explain", a.explain)
		r.Get("/status", a.status)
		r.Get("/versions", a.versions)
		r.Get("/runners", a.runners)
		r.Get("/moves", a.moves)
		r.Get("/history", a.history)
		if a.Workspaces != nil {
			r.Get("/workspaces", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, a.Workspaces()) })
		}
		if a.Limits != nil {
			r.Get("/limits", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, a.Limits()) })
		}
		if a.Holds != nil {
			r.Get("/holds", a.holds)
			r.Delete("/holds/{digest}", a.release)
		}
	})
	return r
}

// authorize requires the token and refuses edits if the API is read-only.
func (a *Admin) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if a.Token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(a.Token)) != 1 {
			reply(w, http.StatusUnauthorized, Problem{Error: "the operators' token is missing or wrong"})
			return
		}
		if a.ReadOnly && r.Method != http.MethodGet {
			reply(w, http.StatusForbidden, Problem{Error: "this daemon is read-only: its settings file has no token; edit the platform's store (primrosectl --store)"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.Ready() {
		reply(w, http.StatusServiceUnavailable, Problem{Error: "there are no settings yet, or the daemon is leaving"})
		return
	}
	reply(w, http.StatusOK, map[string]bool{"ready": true})
}

func (a *Admin) get(w http.ResponseWriter, r *http.Request) {
	got, err := a.Trees.Get(r.Context(), r.URL.Query().Get("path"))
	answer(w, got, err)
}

func (a *Admin) set(w http.ResponseWriter, r *http.Request) {
	var body retain.Body
	defer body.Release()
	if !a.readBody(w, r, &body) {
		return
	}
	var edit EditBody
	if err := json.Unmarshal(body.Data, &edit); err != nil {
		fail(w, strict.Problems{{Path: "(document)", Text: err.Error()}})
		return
	}
	change := service.Edit{Path: r.URL.Query().Get("path"), Version: edit.Version, By: operator(r), Note: edit.Note}
	var err error
	if len(edit.Node) > 0 && string(edit.Node) != "null" {
		if change.Node, err = tree.ParseNode(edit.Node); err != nil {
			fail(w, err)
			return
		}
	}
	got, err := a.Trees.Set(context.WithoutCancel(r.Context()), change)
	answer(w, got, err)
}

// readBody reads a request's body, if there is room for it. It answers with an error and returns false on failure.
func (a *Admin) readBody(w http.ResponseWriter, r *http.Request, body *retain.Body) bool {
	err := body.Read(r.Body, r.ContentLength, a.Bodies)
	if err != nil {
		_, _ = io.CopyN(io.Discard, r.Body, intake.DrainBytes) // so that the answer is not lost with a reset
		fail(w, err)
	}
	return err == nil
}

func operator(r *http.Request) string {
	if by := r.Header.Get(HeaderOperator); by != "" {
		return by
	}
	return "unnamed"
}

func (a *Admin) apply(w http.ResponseWriter, r *http.Request) {
	var body retain.Body
	defer body.Release()
	if !a.readBody(w, r, &body) {
		return
	}
	root, err := tree.ParseNode(body.Data)
	if err != nil {
		fail(w, err)
		return
	}
	got, err := a.Trees.Apply(context.WithoutCancel(r.Context()), root, operator(r))
	answer(w, got, err)
}

func (a *Admin) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	got, err := a.Trees.Explain(tree.Selector{Service: q.Get("service"), Model: q.Get("model"), DataCentre: q.Get("place")})
	answer(w, got, err)
}

func (a *Admin) status(w http.ResponseWriter, r *http.Request) {
	reply(w, http.StatusOK, a.Statuses.Status(r.Context()))
}

// versions serves the versions of the branches in force at this daemon.
func (a *Admin) versions(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, a.Trees.Versions())
}

func (a *Admin) runners(w http.ResponseWriter, r *http.Request) {
	reply(w, http.StatusOK, a.Fleet.Runners(r.Context()))
}

func (a *Admin) moves(w http.ResponseWriter, r *http.Request) {
	got, err := a.Fleet.Moves(r.Context())
	answer(w, got, err)
}

func (a *Admin) history(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	got, err := a.Trees.Get(r.Context(), r.URL.Query().Get("path"))
	if err == nil && limit > 0 && len(got.Log) > limit {
		got.Log = got.Log[:limit]
	}
	answer(w, got.Log, err)
}

func (a *Admin) holds(w http.ResponseWriter, r *http.Request) {
	got, err := a.Holds.Holds(r.Context())
	answer(w, got, err)
}

func (a *Admin) release(w http.ResponseWriter, r *http.Request) {
	var d core.Digest
	err := d.UnmarshalText([]byte(chi.URLParam(r, "digest")))
	if err == nil {
		err = a.Holds.Release(context.WithoutCancel(r.Context()), d)
	}
	answer(w, map[string]bool{"released": err == nil}, err)
}

// answer writes the body, or the error if there is one.
func answer(w http.ResponseWriter, body any, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, body)
}

// fail writes an error with the status code for its kind.
func fail(w http.ResponseWriter, err error) {
	p := Problem{Error: err.Error()}
	var problems strict.Problems
	var lost *service.ConflictError
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, retain.ErrFull):
		reply(w, http.StatusServiceUnavailable, p)
	case errors.Is(err, retain.ErrLarge), errors.As(err, &large):
		reply(w, http.StatusRequestEntityTooLarge, p)
	case errors.As(err, &problems):
		p.Error = "the settings are refused"
		for _, problem := range problems {
			p.Problems = append(p.Problems, problem.Path+": "+problem.Text)
		}
		reply(w, http.StatusUnprocessableEntity, p)
	case errors.As(err, &lost):
		p.Winner = &lost.Winner
		reply(w, http.StatusConflict, p)
	case errors.Is(err, core.ErrNotFound):
		reply(w, http.StatusNotFound, p)
	case errors.Is(err, core.ErrInvalid):
		reply(w, http.StatusUnprocessableEntity, p)
	case errors.Is(err, core.ErrUnavailable):
		reply(w, http.StatusServiceUnavailable, p)
	default:
		reply(w, http.StatusInternalServerError, p)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(body)
}
