package relayer

import (
	"encoding/json"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/returner"
)

// refuse answers the client with the refusal.
func (j *job) refuse(refusal *bergamotdale.Refusal) {
	j.outcome, j.code, j.cause = "refused", refusal.Code, refusal
	j.status = statusOf(refusal)
	j.started = true
	h := j.writer.Header()
	j.relayer.Dialect.RefusalHeader(h, j.envelope.RequestID)
	h.Set("Content-Type", "application/json")
	left := j.envelope.TimeLeft
	if left > 0 {
		left = max(0, left-j.relayer.Clock.Now().Sub(j.arrival))
	}
	j.retryAfter = returner.RetryDelay(j.envelope.RequestID, refusal.RetryAfter, j.verdict.Priority, left)
	if j.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(j.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(struct {
		Error *bergamotdale.WireRefusal `json:"error"`
	}{refusal.Wire(j.envelope.RequestID)})
	if err != nil {
		j.relayer.Logger.Error("refusal not encoded", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
		body = []byte("{}")
	}
	j.writer.WriteHeader(j.status)
	if _, err := j.writer.Write(body); err != nil {
		j.relayer.Logger.Debug("refusal not delivered", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
	}
}

// statusOf returns the HTTP status of a refusal. Clients take some statuses as a
// promise that the request was not executed, so an unknown outcome never has
// one of these, and a quarantined request, which may come back later, does.
func statusOf(refusal *bergamotdale.Refusal) int {
	status := refusal.Code.HTTPStatus()
	switch {
	case refusal.Outcome != bergamotdale.OutcomeNotRun && promisesNotRun(status):
		return http.StatusBadGateway
	case refusal.Outcome == bergamotdale.OutcomeNotRun && refusal.RetryAfter > 0 && !promisesNotRun(status):
		return http.StatusServiceUnavailable
	default:
		return status
	}
}

// logRetry logs that the request goes to another endpoint.
func (j *job) logRetry(f *failure) {
	j.relayer.Logger.Info("request retried", zap.String("request-id", j.envelope.RequestID),
		zap.String("endpoint", j.endpoint), zap.Int("sends", j.sends), zap.String("after-event", j.framer.LastID()),
		zap.Float64("budget", j.budget().Level()), zap.Error(f.refusal))
}

// report logs and counts the finished request.
func (j *job) report() {
	r := j.relayer
	total := r.Clock.Now().Sub(j.arrival)
	name, kind := "", bergamotdale.RouteKind("")
	if j.verdict.Route != nil {
		name, kind = j.verdict.Route.Name, j.verdict.Route.Kind
	}
	age, _ := r.Directory.Age()
	fields := []zap.Field{
		zap.String("request-id", j.envelope.RequestID), zap.String("route", name),
		zap.String("workspace", j.verdict.Workspace), zap.String("outcome", j.outcome), zap.Int("status", j.status),
		zap.String("endpoint", j.endpoint), zap.Int("load", j.load), zap.Int("choices", j.choices),
		zap.String("copy-from", j.copyFrom),
		zap.Int("sends", j.sends), zap.Int("unsent", j.unsent), zap.Int("events", j.framer.EventCount()),
		zap.Duration("first", j.first), zap.Duration("retry-after", j.retryAfter), zap.Duration("total", total), zap.Duration("state-age", age),
	}
	if !j.deadline.IsZero() {
		fields = append(fields, zap.Duration("limit", j.deadline.Sub(j.arrival)))
	}
	if table := r.Directory.State().Table; table != nil {
		fields = append(fields, zap.Int64("version", table.Version()))
	}
	if j.outcome == "complete" {
		r.Logger.Info("request", fields...)
	} else {
		fields = append(fields, zap.Int("code", int(j.code)), zap.Error(j.cause))
		r.Logger.Warn("request", fields...)
	}
	r.Finished(Report{Kind: kind, Outcome: j.outcome, Status: j.status, First: j.first, Total: total})
}
