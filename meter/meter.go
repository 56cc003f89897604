// Package meter holds the metrics of a process and serves them to a scraper.
package meter

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Meter holds the metrics of a router. Each router has a registry of its own, so
// that several can run in one process.
type Meter struct {
	handler   http.Handler
	meter     metric.Meter
	requests  metric.Int64Counter
	durations metric.Float64Histogram
	firsts    metric.Float64Histogram
}

// New creates the instruments and their scrape endpoint.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Trace(err)
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("bergamotdale")
	m := &Meter{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), meter: meter}
	m.requests, err = meter.Int64Counter("bergamotdale.requests",
		metric.WithDescription("client requests by path and status"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	m.durations, err = meter.Float64Histogram("bergamotdale.request.duration",
		metric.WithUnit("s"), metric.WithDescription("time to the end of the response"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	m.firsts, err = meter.Float64Histogram("bergamotdale.request.first-byte",
		metric.WithUnit("s"), metric.WithDescription("time to the first byte of an endpoint's response"))
	return m, errors.Trace(err)
}

// Finished records a request that was forwarded or refused. first is zero
// without a response of an endpoint.
func (m *Meter) Finished(kind, outcome string, status int, first, total time.Duration) {
	ctx := context.Background()
	attributes := metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome),
		attribute.String("status", strconv.Itoa(status)))
	m.requests.Add(ctx, 1, attributes)
	labels := metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome))
	m.durations.Record(ctx, total.Seconds(), labels)
	if first > 0 {
		m.firsts.Record(ctx, first.Seconds(), labels)
	}
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// Gauge registers a metric that is read at each scrape.
func (m *Meter) Gauge(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Trace(err)
}

// Count records every request of the next handler.
func (m *Meter) Count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		attributes := metric.WithAttributes(
			attribute.String("path", r.Pattern),
			attribute.String("status", strconv.Itoa(recorder.status)))
		m.requests.Add(r.Context(), 1, attributes)
		m.durations.Record(r.Context(), time.Since(start).Seconds(), attributes)
	})
}

// statusRecorder remembers the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (s *statusRecorder) Flush() {
	if f, ok := s.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (s *statusRecorder) Unwrap() http.ResponseWriter {
	return s.ResponseWriter
}
