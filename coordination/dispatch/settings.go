package dispatch

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/limit"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/tree"
)

// freshRetry is when a caller may come back for a service whose settings could
// not be confirmed in time: outages of the store last some seconds.
const freshRetry = 2 * time.Second

// settings are the operators' settings tree as requests are held to it.
type settings struct {
	replica *tree.Replica
	age     func() time.Duration // since the tree was confirmed, below 0: never
	limits  *limit.Table
}

// WithSettings holds requests to the operators' settings tree. age tells how long
// ago the tree was known to be the newest, below 0 if it never was.
func WithSettings(r *tree.Replica, age func() time.Duration, limits *limit.Table) Option {
	return func(d *Dispatcher) { d.settings = &settings{replica: r, age: age, limits: limits} }
}

// unbound is what is in force where there is no tree.
var unbound = &tree.Effective{AnyPlace: true, Repeat: true, Origin: map[string]string{}}

// hold finds what the settings say of a request, and refuses it where they do
// not allow it now. The function returned counts it out of the limits.
func (j *job) hold() (func(), error) {
	j.eff = unbound
	s := j.d.settings
	if s == nil {
		return func() {}, nil
	}
	t := s.replica.InForce()
	if t == nil {
		return func() {}, nil
	}
	j.eff = t.Effective(tree.Coord{Service: j.service, Model: j.q.Model})
	if j.eff.Body > 0 && int64(len(j.q.Body)) > j.eff.Body {
		return nil, j.held("body", core.NotRun(http.StatusRequestEntityTooLarge, "body_too_large",
			"the body is larger than the settings' "+strconv.FormatInt(j.eff.Body, 10)+" bytes", 0))
	}
	if age := s.age(); j.eff.Fresh > 0 && (age < 0 || age > j.eff.Fresh) {
		return nil, j.held("fresh", core.NotRun(http.StatusServiceUnavailable, "settings_not_fresh",
			"the settings could not be confirmed in time", freshRetry), zap.Duration("age", age))
	}
	out, err := s.limits.Enter(j.eff)
	var re *core.RequestError
	if errors.As(err, &re) {
		field := "concurrency"
		if re.Code == limit.CodeRate {
			field = "rate"
		}
		return nil, j.held(field, re)
	}
	return out, err
}

// held logs a refusal with the node of the tree that it rests on.
func (j *job) held(field string, e *core.RequestError, more ...zap.Field) error {
	j.log.Warn(logs.RefusedBySettings, append([]zap.Field{
		zap.String("code", e.Code), zap.String("service", j.service), zap.String("model", j.q.Model),
		zap.String("node", j.eff.Origin[field]), zap.Duration("retry", e.Retry),
	}, more...)...)
	return e
}

// allows says whether the request may be sent to a place now: operators may have taken
// it away since the request came.
func (j *job) allows(place string) bool {
	if j.d.settings == nil {
		return true
	}
	t := j.d.settings.replica.InForce()
	if t == nil {
		return true
	}
	_, ok := t.Allowed(tree.Coord{Service: j.service, Model: j.q.Model, Place: place})
	return ok
}
