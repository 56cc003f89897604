// Package meter provides the metrics of a router or gateway. They are recorded
// with OpenTelemetry and served to Prometheus.
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

// Meter holds the metrics of one router or gateway. Each Meter has its own
// Prometheus registry, so that several routers can run in one process.
type Meter struct {
	handler    http.Handler
	meter      metric.Meter
	requests   metric.Int64Counter
	durations  metric.Float64Histogram
	firstBytes metric.Float64Histogram
	partEvents metric.Int64Counter
}

// New creates the request metrics and the handler that serves them.
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
	m.firstBytes, err = meter.Float64Histogram("bergamotdale.request.first-byte",
		metric.WithUnit("s"), metric.WithDescription("time to the first byte of an endpoint's response"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	m.partEvents, err = meter.Int64Counter("bergamotdale.quarantine.parts",
		metric.WithDescription("events in the quarantine of prompt parts"))
	return m, errors.Trace(err)
}

// RecordPartEvent records an event in the quarantine of prompt parts.
func (m *Meter) RecordPartEvent(event string) {
	m.partEvents.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// RecordRequest records a request that was forwarded or refused. The parameter
// firstByte is the time to the first byte of an endpoint's response, or zero if no
// endpoint responded; total is the time to the end of the response.
func (m *Meter) RecordRequest(kind, outcome string, status int, firstByte, total time.Duration) {
	ctx := context.Background()
	attributes := metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome),
		attribute.String("status", strconv.Itoa(status)))
	m.requests.Add(ctx, 1, attributes)
	labels := metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome))
	m.durations.Record(ctx, total.Seconds(), labels)
	if firstByte > 0 {
		m.firstBytes.Record(ctx, firstByte.Seconds(), labels)
	}
}

// Handler returns the handler that serves the metrics to Prometheus.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func (m *Meter) RegisterGauge(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Trace(err)
}

// InstrumentHandler returns a handler that calls next and records the path, status
// and duration of each request.
func (m *Meter) InstrumentHandler(next http.Handler) http.Handler {
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

// statusRecorder is a ResponseWriter that records the status of the response.
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

// Unwrap returns the wrapped ResponseWriter, so that http.ResponseController can
// use its optional methods.
func (s *statusRecorder) Unwrap() http.ResponseWriter {
	return s.ResponseWriter
}
