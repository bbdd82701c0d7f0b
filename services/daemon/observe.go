package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.37.0"

	promclient "github.com/prometheus/client_golang/prometheus"

	"primroseward/setting"
)

const reportMetrics = time.Second

// metrics is the root scope with the handler that shows it.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

// NewMetrics returns the root scope and the handler that shows it.
func NewMetrics() (tally.Scope, http.Handler) {
	m := newMetrics()
	return m.scope, m.handler
}

func newMetrics() *metrics {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "primrose",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportMetrics)
	return &metrics{scope: scope, handler: reporter.HTTPHandler()}
}

// startTraces sets up tracing: a span for each hop, joined by traceparent
// headers, exported where the settings name a collector.
func startTraces(set *setting.Setting) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if set.Trace.Endpoint == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(set.Trace.Endpoint))
	if err != nil {
		return nil, err
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(set.Trace.Share))),
		sdk.WithResource(resource.NewSchemaless(semconv.ServiceName("primrosed"), semconv.ServiceInstanceID(set.Name))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
