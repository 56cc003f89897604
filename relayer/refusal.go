package relayer

import (
	"encoding/json"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// writeRefusal responds to the client with the refusal.
func (j *job) writeRefusal(refusal *bergamotdale.Refusal) {
	j.outcome, j.code, j.cause = "refused", refusal.Code, refusal
	j.status = statusOf(refusal)
	j.started = true
	j.endUnreadBody()
	h := j.writer.Header()
	j.relayer.Dialect.RefusalHeader(h, j.envelope.RequestID)
	h.Set("Content-Type", "application/json")
	j.retryAfter = j.returnDelay(refusal)
	if j.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(j.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(struct {
		Error *bergamotdale.WireRefusal `json:"error"`
	}{refusal.Wire(j.envelope.RequestID)})
	if err != nil {
		j.relayer.Logger.Error("failed to encode a refusal", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
		body = []byte("{}")
	}
	j.writer.WriteHeader(j.status)
	if _, err := j.writer.Write(body); err != nil {
		j.relayer.Logger.Debug("failed to write a refusal to the client", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
	}
}

// statusOf returns the HTTP status of a refusal. Clients conclude from some
// statuses that the request was not executed. A refusal with an unknown outcome
// never has one of these; a request that was not executed and may be sent again
// later, such as a quarantined one, always has.
func statusOf(refusal *bergamotdale.Refusal) int {
	status := refusal.Code.HTTPStatus()
	switch {
	case refusal.Outcome != bergamotdale.OutcomeNotRun && impliesNotExecuted(status):
		return http.StatusBadGateway
	case refusal.Outcome == bergamotdale.OutcomeNotRun && refusal.RetryAfter > 0 && !impliesNotExecuted(status):
		return http.StatusServiceUnavailable
	default:
		return status
	}
}

// logRetry logs that the request will be sent to another endpoint.
func (j *job) logRetry(f *failure) {
	j.relayer.Logger.Info("request retried", zap.String("request-id", j.envelope.RequestID),
		zap.String("endpoint", j.choice.target.ID), zap.String("endpoint-version", j.choice.target.Version),
		zap.Int("sends", j.sends), zap.String("after-event", j.framer.LastID()),
		zap.Float64("budget", j.budget().Level()), zap.Error(f.refusal))
}

// report logs the finished request and passes it to OnFinished.
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
		zap.String("endpoint", j.choice.target.ID), zap.String("endpoint-version", j.choice.target.Version),
		zap.Int("load", j.choice.load), zap.Int("choices", j.choice.choices),
		zap.String("copy-from", j.choice.copyFrom),
		zap.Int("sends", j.sends), zap.Int("unsent", j.connectFailures), zap.Int("events", j.framer.EventCount()),
		zap.Duration("first", j.timeToFirstByte), zap.Duration("retry-after", j.retryAfter), zap.Duration("total", total), zap.Duration("state-age", age),
	}
	if !j.deadline.IsZero() {
		fields = append(fields, zap.Duration("limit", j.deadline.Sub(j.arrival)))
	}
	if j.envelope.ResumeAfter != "" || j.envelope.Resumes != "" {
		fields = append(fields, zap.String("resumes", j.envelope.Resumes), zap.String("resume-after", j.envelope.ResumeAfter))
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
	r.OnFinished(Report{Kind: kind, Outcome: j.outcome, Status: j.status, TimeToFirstByte: j.timeToFirstByte, Total: total})
}
