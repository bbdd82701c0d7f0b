package proof

import (
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"
)

// TestEachHopHasASpan guards against a slow request that an operator cannot trace, because
// a hop has no span or the spans of one request are not in one trace.
func TestEachHopHasASpan(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(spans))
	previous := otel.GetTracerProvider()
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{}) // same propagator as in the daemon
	defer otel.SetTracerProvider(previous)
	p := newPair(t)
	assert.NilError(t, p.chat("trace me", 5, true))
	p.entry.Stop()
	p.entry.Start()
	found := map[string]int{}
	for _, s := range spans.Ended() {
		found[s.Name()]++
	}
	assert.Assert(t, found["attempt"] == 1 && found["endpoint"] == 1, "%v", found)
	var attempt, endpoint sdk.ReadOnlySpan
	for _, s := range spans.Ended() {
		switch s.Name() {
		case "attempt":
			attempt = s
		case "endpoint":
			endpoint = s
		}
	}
	assert.Equal(t, attempt.SpanContext().TraceID(), endpoint.SpanContext().TraceID())
}
