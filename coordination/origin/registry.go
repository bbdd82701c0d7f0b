package origin

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// kindVersions is the kind of the store's objects that list the versions of a service at which
	// streams may have begun. The name is that of the service.
	kindVersions = "admissions"
	// admitTimeout bounds the admission of a version: some calls of the store.
	admitTimeout = time.Second
	// admitPause is how long after a failed admission the next one may begin.
	admitPause = 300 * time.Millisecond
	// admitTries bounds the attempts to admit a version while other daemons change the same object.
	admitTries = 4
)

// admitted is the object of a service.
type admitted struct {
	Names []string `json:"names"`
}

// Registry holds the versions at which streams may begin, by service. A version is written to the store
// before the first stream begins at it. So if the store lists one version only, all streams have begun
// at that one, whatever else is known of them.
type Registry struct {
	store core.Platform
	log   *zap.Logger
	mu    sync.Mutex
	known map[string][]string // versions that the store is known to list, by service
	// admitting holds the admissions in progress.
	admitting map[core.Origin]chan struct{}
	failedAt  map[core.Origin]time.Time
	clock     core.Clock
}

// NewRegistry returns a Registry in a store.
func NewRegistry(store core.Platform, clock core.Clock, log *zap.Logger) *Registry {
	return &Registry{
		store: store, clock: clock, log: log, known: map[string][]string{}, admitting: map[core.Origin]chan struct{}{}, failedAt: map[core.Origin]time.Time{},
	}
}

// Admitted reports whether the store is known to list a version.
func (r *Registry) Admitted(o core.Origin) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.known[o.Service], o.Version)
}

// Several reports whether the store is known to list several versions of a service.
func (r *Registry) Several(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.known[service]) > 1
}

// Learn records that the store lists a version, as another daemon states.
func (r *Registry) Learn(o core.Origin) { r.learn(o.Service, []string{o.Version}) }

func (r *Registry) learn(service string, names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if !slices.Contains(r.known[service], name) {
			r.known[service] = append(r.known[service], name)
		}
	}
}

// Admit has a version listed, and reports whether it is. Calls for the same version share their
// calls of the store.
func (r *Registry) Admit(ctx context.Context, o core.Origin) bool {
	if r.Admitted(o) {
		return true
	}
	r.mu.Lock()
	done, ok := r.admitting[o]
	if at, failed := r.failedAt[o]; !ok && failed && r.clock.Since(at) < admitPause {
		r.mu.Unlock()
		return false
	}
	if !ok {
		done = make(chan struct{})
		r.admitting[o] = done
		go r.runAdmit(o, done)
	}
	r.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return r.Admitted(o)
}

func (r *Registry) runAdmit(o core.Origin, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), admitTimeout)
	defer cancel()
	err := r.admit(ctx, o)
	if err != nil {
		r.log.Warn(logs.VersionNotAdmitted, zap.String("service", o.Service), zap.String("version", o.Version), logs.Err(err))
	}
	r.mu.Lock()
	delete(r.admitting, o)
	delete(r.failedAt, o)
	if err != nil {
		r.failedAt[o] = r.clock.Now()
	}
	r.mu.Unlock()
	close(done)
}

func (r *Registry) admit(ctx context.Context, o core.Origin) error {
	var err error
	for range admitTries {
		var object core.Object
		var list admitted
		object, list, err = r.read(ctx, o.Service)
		missing := errors.Is(err, core.ErrNotFound)
		if err != nil && !missing {
			return err
		}
		if slices.Contains(list.Names, o.Version) {
			r.learn(o.Service, list.Names)
			return nil
		}
		list.Names = append(list.Names, o.Version)
		if object.Body, err = json.Marshal(list); err != nil {
			return eris.Wrap(err, "versions")
		}
		if missing {
			object.Kind, object.Name = kindVersions, o.Service
			_, err = r.store.Create(ctx, object)
		} else {
			_, err = r.store.Update(ctx, object)
		}
		if err == nil || errors.Is(err, core.ErrOverwritten) {
			r.learn(o.Service, list.Names)
			r.log.Info(logs.VersionAdmitted, zap.String("service", o.Service), zap.Strings("versions", list.Names))
			return nil
		}
		if !errors.Is(err, core.ErrConflict) && !errors.Is(err, core.ErrExists) {
			return err
		}
	}
	return err
}

// read returns the object of a service and its content.
func (r *Registry) read(ctx context.Context, service string) (core.Object, admitted, error) {
	object, err := r.store.Get(ctx, kindVersions, service)
	if err != nil {
		return core.Object{}, admitted{}, err
	}
	var list admitted
	if err := json.Unmarshal(object.Body, &list); err != nil {
		return core.Object{}, admitted{}, eris.Wrapf(core.ErrInvalid, "versions of %s: %v", service, err)
	}
	return object, list, nil
}

// Sole reads from the store which version all streams of a service have begun at that exist now. Its
// error is core.ErrOriginUnknown if there are several.
func (r *Registry) Sole(ctx context.Context, service string) (core.Origin, error) {
	_, list, err := r.read(ctx, service)
	switch {
	case errors.Is(err, core.ErrNotFound):
		return core.Origin{}, core.ErrOriginUnknown
	case err != nil:
		return core.Origin{}, eris.Wrap(core.ErrOriginUnanswered, err.Error())
	}
	r.learn(service, list.Names)
	if len(list.Names) != 1 {
		return core.Origin{}, core.ErrOriginUnknown
	}
	return core.Origin{Service: service, Version: list.Names[0]}, nil
}
