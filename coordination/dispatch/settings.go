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

// staleSettingsRetry is the Retry-After for a service whose settings could not be confirmed
// in time. Outages of the store last some seconds.
const staleSettingsRetry = 2 * time.Second

// settings enforces the operators' settings tree on requests.
type settings struct {
	replica *tree.Replica
	age     func() time.Duration // time since the tree was confirmed, negative if it never was
	limits  *limit.Table
}

// WithSettings enforces the operators' settings tree on requests. age returns the time since
// the tree was confirmed as the newest, or a negative value if it never was.
func WithSettings(r *tree.Replica, age func() time.Duration, limits *limit.Table) Option {
	return func(d *Dispatcher) { d.settings = &settings{replica: r, age: age, limits: limits} }
}

// unrestricted are the effective settings if there is no tree.
var unrestricted = &tree.Effective{AnyDataCentre: true, Repeatable: true, Origin: map[string]string{}}

// applySettings finds the settings in force for the request and refuses it if they do not
// allow it now. It counts the request into their limits, unless another daemon does.
func (j *job) applySettings() error {
	t := j.d.treeInForce()
	j.effective = j.effectiveIn(t)
	if t == nil {
		return nil
	}
	s := j.d.settings
	if j.effective.Body > 0 && int64(len(j.q.Body)) > j.effective.Body {
		return j.refuseBySettings("body", core.NotRun(http.StatusRequestEntityTooLarge, "body_too_large",
			"the body is larger than the settings' "+strconv.FormatInt(j.effective.Body, 10)+" bytes", 0))
	}
	if err := j.checkFresh(); err != nil {
		return err
	}
	if j.countedElsewhere {
		return nil
	}
	leave, err := s.limits.Enter(j.effective)
	var re *core.RequestError
	if errors.As(err, &re) {
		field := "concurrency"
		if re.Code == limit.CodeRate {
			field = "rate"
		}
		return j.refuseBySettings(field, re)
	}
	if err != nil {
		return err
	}
	j.leaveLimits = leave
	return nil
}

// checkFresh refuses the request if its settings have to be confirmed and were not in time.
func (j *job) checkFresh() error {
	if j.d.settings == nil || j.effective.MaxUnconfirmed <= 0 {
		return nil
	}
	age := j.d.settings.age()
	if age >= 0 && age <= j.effective.MaxUnconfirmed {
		return nil
	}
	return j.refuseBySettings("fresh", core.NotRun(http.StatusServiceUnavailable, "settings_not_fresh",
		"the settings could not be confirmed in time", staleSettingsRetry), zap.Duration("age", age))
}

// treeInForce returns the settings tree that is enforced, nil if there is none.
func (d *Dispatcher) treeInForce() *tree.Tree {
	if d.settings == nil {
		return nil
	}
	return d.settings.replica.InForce()
}

// effectiveIn returns the settings of a tree for the request.
func (j *job) effectiveIn(t *tree.Tree) *tree.Effective {
	if t == nil {
		return unrestricted
	}
	return t.Effective(tree.Selector{Service: j.service, Model: j.q.Model})
}

// refuseBySettings logs a refusal with the node of the tree that caused it.
func (j *job) refuseBySettings(field string, e *core.RequestError, more ...zap.Field) error {
	j.log.Warn(logs.RefusedBySettings, append([]zap.Field{
		zap.String("code", e.Code), zap.String("service", j.service), zap.String("model", j.q.Model),
		zap.String("node", j.effective.Origin[field]), zap.Duration("retry", e.Retry),
	}, more...)...)
	return e
}

// allows reports whether the request may be sent to a data centre now. Operators may have
// excluded the data centre since the request arrived.
func (j *job) allows(dataCentre string) bool {
	t := j.d.treeInForce()
	if t == nil {
		return true
	}
	_, ok := t.Allowed(tree.Selector{Service: j.service, Model: j.q.Model, DataCentre: dataCentre})
	return ok
}
