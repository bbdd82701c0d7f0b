package origin

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
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
	// forgetAfter is how long after it saw the last runner of a version a daemon has that version
	// admitted anew before the next stream begins at it.
	forgetAfter = time.Minute
	// retireAfter is how long a version must have had no runner before it is marked as retiring, and
	// then again before it is removed. Both are far longer than forgetAfter and than any stream.
	retireAfter = 10 * time.Minute
	// refreshInterval is how often a list that names more versions than have runners is read again.
	refreshInterval = time.Minute
	// admitTries bounds the attempts to admit a version while other daemons change the same object.
	admitTries = 4
)

// admitted is the object of a service.
type admitted struct {
	Names []string `json:"names"`
	// Retiring is a version that has had no runner for a time. It is removed after as long again, unless
	// a daemon that sees a runner of it clears the mark first.
	Retiring string `json:"retiring,omitempty"`
}

// Registry holds the versions at which streams may begin, by service. A version is written to the store
// before the first stream begins at it. So if the store lists one version only, all streams have begun
// at that one, whatever else is known of them.
type Registry struct {
	store core.Platform
	log   *zap.Logger
	mu    sync.Mutex
	known map[string][]string // versions at which streams may begin, by service
	lists map[string]*serviceList
	// admitting holds the admissions in progress.
	admitting map[core.Origin]chan struct{}
	clock     core.Clock
}

// serviceList is what a daemon knows of the store's list of a service.
type serviceList struct {
	names  []string             // as last read or written
	readAt time.Time            // when
	absent map[string]time.Time // versions without a runner here, since when
	marked uint64               // version of the object in which this daemon has marked retiring, 0: none
	mark   string               // the version marked
	markAt time.Time
}

// NewRegistry returns a Registry in a store.
func NewRegistry(store core.Platform, clock core.Clock, log *zap.Logger) *Registry {
	return &Registry{
		store: store, clock: clock, log: log, known: map[string][]string{}, lists: map[string]*serviceList{}, admitting: map[core.Origin]chan struct{}{},
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
	l := r.lists[service]
	return l != nil && len(l.names) > 1
}

// Learn records that streams may begin at a version, as another daemon states.
func (r *Registry) Learn(o core.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allow(o)
	if l := r.list(o.Service); !slices.Contains(l.names, o.Version) {
		l.names = append(l.names, o.Version)
	}
}

// allow records that streams may begin at a version. The caller holds the lock.
func (r *Registry) allow(o core.Origin) {
	if !slices.Contains(r.known[o.Service], o.Version) {
		r.known[o.Service] = append(r.known[o.Service], o.Version)
	}
}

// list returns what is known of a service's list. The caller holds the lock.
func (r *Registry) list(service string) *serviceList {
	l := r.lists[service]
	if l == nil {
		l = &serviceList{absent: map[string]time.Time{}}
		r.lists[service] = l
	}
	return l
}

// listed records a service's list as read or written.
func (r *Registry) listed(service string, names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.list(service)
	l.names, l.readAt = names, r.clock.Now()
}

// services returns the services of which a list is known.
func (r *Registry) services() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.lists))
}

// Admit has a version listed, and reports whether it is. Calls for the same version share their
// calls of the store.
func (r *Registry) Admit(ctx context.Context, o core.Origin) bool {
	if r.Admitted(o) {
		return true
	}
	r.mu.Lock()
	done, ok := r.admitting[o]
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
		if slices.Contains(list.Names, o.Version) && list.Retiring != o.Version {
			r.admitted(o, list.Names)
			return nil
		}
		if list.Retiring == o.Version {
			list.Retiring = ""
		}
		if !slices.Contains(list.Names, o.Version) {
			list.Names = append(list.Names, o.Version)
		}
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
			r.admitted(o, list.Names)
			r.log.Info(logs.VersionAdmitted, zap.String("service", o.Service), zap.Strings("versions", list.Names))
			return nil
		}
		if !errors.Is(err, core.ErrConflict) && !errors.Is(err, core.ErrExists) {
			return err
		}
	}
	return err
}

// admitted records that streams may begin at a version, and the list that says so.
func (r *Registry) admitted(o core.Origin, names []string) {
	r.listed(o.Service, names)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allow(o)
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
	r.listed(service, list.Names)
	if len(list.Names) != 1 {
		return core.Origin{}, core.ErrOriginUnknown
	}
	return core.Origin{Service: service, Version: list.Names[0]}, nil
}
