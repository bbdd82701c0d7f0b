package routers

import (
	"net/http"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/transport/intake"
)

// Option configures an API.
type Option func(*API)

// WithScope sets the scope in which connections that end without a whole answer are counted.
func WithScope(s tally.Scope) Option { return func(a *API) { a.scope = s } }

// WithIntake bounds the requests in progress together.
func WithIntake(i *intake.Intake) Option { return func(a *API) { a.bodies = i.Budget() } }

// headWriter records whether any part of an answer has been written.
type headWriter struct {
	http.ResponseWriter
	began bool
}

func (w *headWriter) WriteHeader(status int) {
	w.began = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *headWriter) Write(data []byte) (int, error) {
	w.began = true
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *headWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// innermost returns the writer of the HTTP server.
func innermost(w http.ResponseWriter) http.ResponseWriter {
	if h, ok := w.(*headWriter); ok {
		return h.ResponseWriter
	}
	return w
}

// answerPanics answers with an error if a handler panics before it has written any part of an answer.
// Otherwise the connection is aborted.
func (a *API) answerPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		to := &headWriter{ResponseWriter: w}
		defer a.handlePanic(to)
		next.ServeHTTP(to, r)
	})
}

func (a *API) handlePanic(w *headWriter) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	a.log.Error(logs.HandlerPanicked, zap.String("request", w.Header().Get(core.HeaderRequest)), zap.Bool("cut", w.began), zap.Any("cause", cause), zap.Stack("stack"))
	label := "no"
	if w.began {
		label = "yes"
	}
	a.scope.Tagged(map[string]string{"cut": label}).Counter("handlers_panicked").Inc(1)
	if w.began {
		panic(cause)
	}
	failure := core.MayHaveRun("internal", "a defect ended the work on the request")
	failure.Status = http.StatusInternalServerError
	writeError(w, failure)
}

// disconnected logs and counts that the connection of a caller has ended before its answer was complete.
func (a *API) disconnected(request string, offset int64, cause error) error {
	a.countCut(logs.CauseCallerGone)
	a.log.Info(logs.CallerDisconnected, zap.String("request", request), zap.Bool("leaving", a.leaving.Load()), zap.Int64("bytes", offset), logs.Err(cause))
	return errDisconnected
}

// cut logs and counts that the connection of a caller that waits for the rest of an answer is aborted.
func (a *API) cut(request string, status int, offset int64, cause error) {
	code := core.AsRequestError(cause).Code
	a.countCut(code)
	a.log.Warn(logs.AnswerCut, zap.String("request", request), zap.String("cause", code), zap.Int("status", status), zap.Int64("bytes", offset), logs.Err(cause))
}

// countCut counts an answer that ends before it is complete, by the cause.
func (a *API) countCut(cause string) {
	a.scope.Tagged(map[string]string{"cause": cause}).Counter("answers_cut").Inc(1)
}
