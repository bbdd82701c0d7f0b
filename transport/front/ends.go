package front

import (
	"net/http"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// answerPanic turns a panic into an answer, before any part of another one has been written.
func (f *Front) answerPanic(request string, failure **core.RequestError) {
	cause := recover()
	if cause == nil {
		return
	}
	f.logPanic(request, cause, false)
	*failure = core.MayHaveRun("internal", "a defect ended the work on the request")
	(*failure).Status = http.StatusInternalServerError
}

// passPanic logs a panic of the handler with the request that it worked on, and passes it on: the
// connection is aborted, as a part of the answer may have been written.
func (f *Front) passPanic(q *core.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		f.logPanic(q.ID, cause, true)
	}
	panic(cause)
}

// logPanic logs and counts a panic, by whether it cuts an answer.
func (f *Front) logPanic(request string, cause any, cut bool) {
	f.log.Error(logs.HandlerPanicked, zap.String("request", request), zap.Bool("cut", cut), zap.Any("cause", cause), zap.Stack("stack"))
	label := "no"
	if cut {
		label = "yes"
	}
	f.scope.Tagged(map[string]string{"cut": label}).Counter("handlers_panicked").Inc(1)
}

// countCut counts an answer that ends before it is complete, by the cause.
func (f *Front) countCut(cause string) {
	f.scope.Tagged(map[string]string{"cause": cause}).Counter("answers_cut").Inc(1)
}

// logDisconnected logs that the connection of a caller has ended before its answer was complete.
func (f *Front) logDisconnected(q *core.Request, status, sent int, cause error) {
	f.countCut(logs.CauseCallerGone)
	f.log.Info(logs.CallerDisconnected, zap.String("request", q.ID), zap.Bool("forwarded", q.Forward != nil), zap.Bool("leaving", f.leaving.Load()), zap.Int("status", status), zap.Int("bytes", sent),
		zap.Duration("took", f.clock.Since(q.Arrived)), logs.Err(cause))
}

// logCut logs that the connection of a caller that waits for the rest of an answer is aborted.
func (f *Front) logCut(q *core.Request, status, sent int, cause error) {
	version := uint64(0)
	if config := f.catalog.Config(); config != nil {
		version = config.Version
	}
	code := core.AsRequestError(cause).Code
	f.countCut(code)
	f.log.Warn(logs.AnswerCut, zap.String("request", q.ID), zap.String("cause", code), zap.Bool("forwarded", q.Forward != nil), zap.Int("status", status), zap.Int("bytes", sent),
		zap.Uint64("config", version), zap.Duration("took", f.clock.Since(q.Arrived)), zap.Duration("limit", q.Timeout), logs.Err(cause))
}
