package router

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

// telemetry holds the metrics of a router. Each router has a registry of its
// own, so that several can run in one process.
type telemetry struct {
	handler   http.Handler
	meter     metric.Meter
	requests  metric.Int64Counter
	durations metric.Float64Histogram
}

// newTelemetry creates the instruments and their scrape endpoint.
func newTelemetry() (*telemetry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Trace(err)
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("bergamotdale")
	t := &telemetry{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), meter: meter}
	t.requests, err = meter.Int64Counter("bergamotdale.requests",
		metric.WithDescription("client requests by path and status"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	t.durations, err = meter.Float64Histogram("bergamotdale.request.duration",
		metric.WithUnit("s"), metric.WithDescription("time to the end of the response"))
	return t, errors.Trace(err)
}

// gauge registers a metric that is read at each scrape.
func (t *telemetry) gauge(name, description string, read func() int64) error {
	_, err := t.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Trace(err)
}

// observe registers the metrics of the parts of a router.
func (r *Router) observe() error {
	gauges := []struct {
		name, description string
		read              func() int64
	}{
		{"bergamotdale.configuration.revision", "configuration revision in force", func() int64 { return r.follower.Status().Revision }},
		{"bergamotdale.members.live", "routers believed alive", func() int64 { return int64(len(r.gossiper.Live())) }},
		{"bergamotdale.owned", "endpoints and shards owned by this router", func() int64 { return int64(len(r.elector.Held())) }},
		{"bergamotdale.load", "requests running or waiting at owned engines", r.ownedLoad},
		{"bergamotdale.store.calls", "store calls for lease and ownership since the start", r.storeCalls},
		{"bergamotdale.gossip.sent", "bytes of gossip messages sent since the start", func() int64 { return r.gossiper.Stats().BytesSent }},
		{"bergamotdale.gossip.received", "bytes of gossip messages received since the start", func() int64 { return r.gossiper.Stats().BytesReceived }},
		{"bergamotdale.replay.bytes", "memory of the replay buffers", r.dispatch.Replayer.Bytes},
		{"bergamotdale.retry.budget", "retries that the budget allows now", func() int64 { return int64(r.forward.Budget.Level()) }},
	}
	for _, g := range gauges {
		if err := r.telemetry.gauge(g.name, g.description, g.read); err != nil {
			return errors.Annotatef(err, "metric %s", g.name)
		}
	}
	return nil
}

// storeCalls returns the store calls for the lease and for ownership.
func (r *Router) storeCalls() int64 {
	ownership, lease := r.elector.StoreCalls()
	return ownership + lease
}

// ownedLoad returns the requests that run or wait at the owned engines.
func (r *Router) ownedLoad() int64 {
	var load int64
	for _, l := range r.dispatch.Report() {
		load += int64(l.Load)
	}
	return load
}

// count records every request of the next handler.
func (t *telemetry) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		attributes := metric.WithAttributes(
			attribute.String("path", r.Pattern),
			attribute.String("status", strconv.Itoa(recorder.status)))
		t.requests.Add(r.Context(), 1, attributes)
		t.durations.Record(r.Context(), time.Since(start).Seconds(), attributes)
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
