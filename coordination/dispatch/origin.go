package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/catalog"
)

const (
	// admitWait bounds how long a request waits until streams may begin at a version, if no runner of
	// another version can serve it.
	admitWait = 300 * time.Millisecond
	// originRetry is the Retry-After time of a stream whose origin could not be found out for now.
	originRetry = 300 * time.Millisecond
	// codeOriginUnknown is the code of refusals of streams whose origin is not known.
	codeOriginUnknown = "origin_unknown"
)

var (
	// errVersionGone is final: no runner of the version that began the stream is left.
	errVersionGone = errors.New("version_gone")
	// errOtherOrigin: the answer to a stream that goes on comes from another version than the one that
	// began it, or its version is not known.
	errOtherOrigin = errors.New("another version than the one that began the stream")
)

// Outcomes of requests that take a stream up, as labels of metrics.
const (
	takenUpKnown      = "known"
	takenUpUnknown    = "unknown"
	takenUpUnanswered = "unanswered"
	takenUpMoved      = "moved" // its service no longer serves the route
	takenUpGone       = "version_gone"
)

// WithOrigins sets where it is known at which software versions streams began.
func WithOrigins(o core.Origins) Option { return func(d *Dispatcher) { d.origins = o } }

// streamKey returns the key of the request's stream.
func (j *job) streamKey() core.StreamKey {
	if j.q.Resumes != "" {
		return core.StreamKeyOf(j.q.Workspace, j.q.Resumes)
	}
	return core.StreamKeyOf(j.q.Workspace, j.q.ID)
}

// findOrigin finds out where a stream began that the caller takes up after an event, and refuses it if
// that is not known.
func (j *job) findOrigin(ctx context.Context) error {
	if j.route.Kind != core.KindStream || j.q.LastEvent == "" {
		return nil
	}
	if f := j.q.Forward; f != nil && f.Origin != nil {
		j.bind(*f.Origin) // the route may have moved since the stream began
		return nil
	}
	var key *core.StreamKey
	if j.q.Resumes != "" {
		k := j.streamKey()
		key = &k
	}
	began := j.d.clock.Now()
	o, err := j.d.origins.Find(ctx, key, j.service)
	j.log.Info(logs.OriginSought, zap.String("resumes", j.q.Resumes), zap.String("after", j.q.LastEvent), zap.String("service", o.Service), zap.String("version", o.Version),
		zap.String("source", o.Source), zap.Duration("age", o.Age), zap.Duration("took", j.d.clock.Since(began)), logs.Err(err))
	switch {
	case errors.Is(err, core.ErrOriginUnanswered):
		return j.refuseTakeUp(takenUpUnanswered, codeOriginUnknown, "it could not be found out which version began the stream", originRetry)
	case err != nil:
		return j.refuseTakeUp(takenUpUnknown, codeOriginUnknown, "it is not known which version began the stream", 0)
	}
	if o.Service != j.service && !slices.ContainsFunc(j.route.Shares, func(s core.Share) bool { return s.Service == o.Service }) {
		return j.refuseTakeUp(takenUpMoved, errVersionGone.Error(), "the service that began the stream no longer serves the route", 0)
	}
	j.bind(o.Origin)
	return nil
}

// bind makes the request go to runners of an origin only.
func (j *job) bind(o core.Origin) {
	j.service, j.origin = o.Service, &o
	j.d.metrics.takenUp(takenUpKnown)
}

// refuseTakeUp refuses a stream that the caller takes up.
func (j *job) refuseTakeUp(outcome, code, message string, retry time.Duration) error {
	j.d.metrics.takenUp(outcome)
	j.log.Warn(logs.Refused, zap.String("code", code), zap.String("service", j.service), zap.String("model", j.q.Model), zap.Int("runs", j.runs),
		zap.String("resumes", j.q.Resumes), zap.String("after", j.q.LastEvent), zap.Duration("retry", retry))
	if j.runs > 0 {
		return core.MayHaveRun(code, message)
	}
	return core.NotRun(http.StatusServiceUnavailable, code, message, retry)
}

// fitsOrigin reports whether the request's stream may go on at a runner.
func (j *job) fitsOrigin(e *catalog.Entry) bool {
	return j.origin == nil || e.Version == j.origin.Version
}

// mayBegin reports whether the request's stream may begin at a runner, or go on there.
func (j *job) mayBegin(e *catalog.Entry) bool {
	return j.route.Kind != core.KindStream || j.origin != nil || j.d.origins.Admitted(core.Origin{Service: e.Service, Version: e.Version})
}

// addUnadmitted records that a runner was left out as no stream may begin at its version yet.
func (j *job) addUnadmitted(e *catalog.Entry) {
	if o := (core.Origin{Service: e.Service, Version: e.Version}); !slices.Contains(j.unadmitted, o) {
		j.unadmitted = append(j.unadmitted, o)
	}
}

// startAdmission has the versions admitted that were left out of the latest choice, without waiting.
func (j *job) startAdmission() {
	for _, o := range j.unadmitted {
		go j.d.runAdmit(o)
	}
}

// awaitAdmission has the versions admitted that were left out of the latest choice, and reports whether one
// is admitted now.
func (j *job) awaitAdmission(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, admitWait)
	defer cancel()
	admitted := false
	for _, o := range j.unadmitted {
		admitted = j.d.origins.Admit(ctx, o) || admitted
	}
	return admitted
}

func (d *Dispatcher) runAdmit(o core.Origin) {
	ctx, cancel := context.WithTimeout(context.Background(), admitWait)
	defer cancel()
	d.origins.Admit(ctx, o)
}

// versionServes reports whether a runner of the version that began the stream is left, other than exclude,
// with its model or without.
func (j *job) versionServes(exclude string) bool {
	return slices.ContainsFunc(j.d.catalog.Runners(j.service), func(e *catalog.Entry) bool {
		return e.ID != exclude && j.fitsOrigin(e) && !j.d.available.State(e).Leaving
	})
}

// checkOrigin checks that an answer comes from the version that began the stream, and returns the origin
// of the answer; nil: another daemon does not state it.
func (j *job) checkOrigin(r *core.Runner, reply *core.Reply) (*core.Origin, error) {
	o := reply.Info.Origin
	if !isDaemon(r) {
		o = &core.Origin{Service: r.Service, Version: r.Version}
		// Another instance may have been started under the same ID since the request was sent.
		if e := j.d.catalog.Runner(r.ID); e != nil && (e.Version != r.Version || !e.StartedAt.Equal(r.StartedAt)) {
			return nil, eris.Wrapf(core.ErrAnswerLost, "%v: %s has restarted", errOtherOrigin, r.ID)
		}
	}
	if j.origin != nil && (o == nil || *o != *j.origin) {
		return nil, eris.Wrapf(core.ErrAnswerLost, "%v: %s", errOtherOrigin, r.ID)
	}
	return o, nil
}

// begin records where the stream has begun, before its first event is passed on.
func (j *job) begin(r *core.Runner, reply *core.Reply) error {
	o, err := j.checkOrigin(r, reply)
	if err != nil {
		return err
	}
	j.origin, reply.Info.Origin, j.begun = o, o, true
	if o != nil {
		j.endStream = j.d.origins.Begin(j.streamKey(), j.q.Workspace, *o)
	}
	return nil
}

// learnOrigin finds out where a stream began whose helper did not state it, and refuses it if that can't be
// found out.
func (j *job) learnOrigin(ctx context.Context) error {
	if err := j.findBeginning(ctx); err != nil {
		return j.refuse(codeOriginUnknown, "it could not be found out which version began the stream", err)
	}
	return nil
}

// findBeginning is learnOrigin without a refusal.
func (j *job) findBeginning(ctx context.Context) error {
	if j.origin != nil {
		return nil
	}
	key := j.streamKey()
	o, err := j.d.origins.Find(ctx, &key, j.service)
	if err != nil {
		return err
	}
	j.service, j.origin = o.Service, &o.Origin
	return nil
}

// beganField returns a log field with the version that began the request's stream; without one any version
// can serve it.
func (j *job) beganField() zap.Field {
	if j.origin == nil {
		return zap.Skip()
	}
	return zap.String("began", j.origin.Version)
}
