package origin

import (
	"context"
	"encoding/json"
	"slices"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// observe takes into account which versions of a service have runners. It returns the versions that have
// had none for long enough to be retired, and whether the list should be read again: another daemon may
// have removed such a version from it.
func (r *Registry) observe(service string, present []string) (retired []core.Origin, stale bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, now := r.list(service), r.clock.Now()
	extra := false
	for _, name := range l.names {
		if slices.Contains(present, name) {
			delete(l.absent, name)
			continue
		}
		since, ok := l.absent[name]
		if !ok {
			l.absent[name], since = now, now
		}
		absent := now.Sub(since)
		if absent >= forgetAfter {
			extra = true
			r.known[service] = slices.DeleteFunc(r.known[service], func(known string) bool { return known == name })
		}
		if absent >= retireAfter && len(l.names) > 1 {
			retired = append(retired, core.Origin{Service: service, Version: name})
		}
	}
	return retired, extra && len(l.names) > 1 && now.Sub(l.readAt) >= refreshInterval
}

// refresh reads a service's list again.
func (r *Registry) refresh(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, list, err := r.read(ctx, service)
	if err == nil {
		r.listed(service, list.Names)
		return
	}
	r.log.Info(logs.VersionNotRetired, zap.String("service", service), logs.Err(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list(service).readAt = r.clock.Now() // tries again after the interval
}

// retire takes the next step to remove a version that has had no runner for retireAfter: it marks the
// version, and removes it if the object has not changed for as long again. A daemon that sees a runner of
// the version in between clears the mark before a stream begins there.
func (r *Registry) retire(ctx context.Context, o core.Origin) {
	r.mu.Lock()
	l, now := r.list(o.Service), r.clock.Now()
	marked := l.marked > 0 && l.mark == o.Version
	waiting := l.marked > 0 && now.Sub(l.markAt) < retireAfter
	r.mu.Unlock()
	if waiting {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := r.retireStep(ctx, o, l, marked); err != nil {
		r.log.Info(logs.VersionNotRetired, zap.String("service", o.Service), zap.String("version", o.Version), logs.Err(err))
	}
}

func (r *Registry) retireStep(ctx context.Context, o core.Origin, l *serviceList, marked bool) error {
	object, list, err := r.read(ctx, o.Service)
	if err != nil {
		return err
	}
	at := slices.Index(list.Names, o.Version)
	if at < 0 || len(list.Names) == 1 {
		r.listed(o.Service, list.Names)
		return nil
	}
	removes := marked && object.Version == l.marked
	if removes {
		list.Names, list.Retiring = slices.Delete(list.Names, at, at+1), ""
	} else {
		list.Retiring = o.Version
	}
	if object.Body, err = json.Marshal(list); err != nil {
		return err
	}
	stored, err := r.store.Update(ctx, object)
	r.mu.Lock()
	l.marked, l.mark, l.markAt = stored.Version, o.Version, r.clock.Now()
	if removes || err != nil {
		l.marked = 0
	}
	r.mu.Unlock()
	if err != nil {
		return err
	}
	r.listed(o.Service, list.Names)
	r.log.Info(logs.VersionRetired, zap.String("service", o.Service), zap.String("version", o.Version), zap.Bool("removed", removes), zap.Strings("versions", list.Names))
	return nil
}
