package relayer

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/framer"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/locator"
	"github.com/bergamotdale/bergamotdale/quarantiner"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/screener"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// defaultTimeout applies where neither the client nor the route states one.
	defaultTimeout = time.Minute
	// timeoutGrace lets an endpoint's own response at the timeout arrive.
	timeoutGrace = 100 * time.Millisecond
	// maxUnsent bounds the endpoints that cannot be connected to for one
	// request. Each may take dialer.DialTimeout.
	maxUnsent = 4
	// maxUnstatedBody bounds a body without a stated size while no
	// configuration says so, in bytes.
	maxUnstatedBody = 4 << 20
	// refusedRetryAfter is when a client may come back after endpoints refused
	// its request or none was there.
	refusedRetryAfter = 300 * time.Millisecond
)

// job is one request of a client.
type job struct {
	relayer *Relayer
	writer  http.ResponseWriter
	request *http.Request
	arrival time.Time

	envelope    bergamotdale.Envelope
	verdict     screener.Admission
	body        []byte
	service     string
	fingerprint string
	// key selects the endpoint: requests with the same key share a prompt.
	key      string
	deadline time.Time

	framer framer.Framer
	// tried holds the endpoints that this request does not go to again.
	tried map[string]bool
	// sends counts the endpoints that the request was sent to, and unsent those
	// that could not be connected to.
	sends  int
	unsent int
	// endpoint is the latest endpoint, load and choices what decided it.
	endpoint string
	load     int
	choices  int
	// copyFrom is where the endpoint copies the prompt's beginning from.
	copyFrom string

	// started is set once the response to the client has begun, and broken if
	// it cannot be completed.
	started bool
	broken  bool
	status  int
	outcome string
	code    bergamotdale.Code
	cause   error
	first   time.Duration
	// retryAfter is when a refused client was told to come back.
	retryAfter time.Duration
}

// accept screens the request and reads its body.
func (j *job) accept() *bergamotdale.Refusal {
	r := j.relayer
	envelope, err := r.Dialect.Envelope(j.request.Header)
	j.envelope = envelope
	if err != nil {
		return bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "%v", err)
	}
	if refusal := r.Refusing(); refusal != nil {
		return refusal
	}
	knowledge := r.knowledge()
	verdict, refusal := screener.Screen(knowledge, screener.Request{
		Host:        j.request.Host,
		Path:        j.request.URL.EscapedPath(),
		APIKey:      envelope.APIKey,
		HeaderBytes: headerBytes(j.request),
		BodyBytes:   j.request.ContentLength,
	})
	if refusal != nil {
		return refusal
	}
	j.verdict = verdict
	j.deadline = j.arrival.Add(timeLimit(envelope, verdict.Route))
	if refusal := j.readBody(knowledge.Table.Limits().BodyBytes); refusal != nil {
		return refusal
	}
	j.key = placementKey(envelope)
	j.service = knowledge.Table.SelectService(verdict.Route, j.key)
	j.fingerprint = string(quarantiner.FingerprintOf(verdict.Workspace, j.request.Method+" "+j.request.Host+j.request.RequestURI, j.body))
	return r.Quarantine.Refusal(j.fingerprint)
}

// timeLimit returns how long the request may take.
func timeLimit(e bergamotdale.Envelope, route *bergamotdale.Route) time.Duration {
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout + timeoutGrace
	}
	if e.TimeLeft > 0 {
		limit = min(limit, e.TimeLeft)
	}
	return limit
}

// placementKey returns the key of the deepest part of the prompt that other
// requests share. Requests without a prompt are spread by their id.
func placementKey(e bergamotdale.Envelope) string {
	switch n := len(e.Parts); n {
	case 0:
		return e.RequestID
	case 1:
		return e.Model + "/" + e.Parts[0].ID
	default:
		return e.Model + "/" + e.Parts[n-2].ID
	}
}

// headerBytes approximates the size of the request's headers.
func headerBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			// The separator and the end of the line take four bytes.
			n += len(name) + len(v) + 4
		}
	}
	return n
}

func (j *job) readBody(limit int64) *bergamotdale.Refusal {
	if j.request.Body == nil || j.request.Body == http.NoBody {
		return nil
	}
	if limit <= 0 {
		limit = maxUnstatedBody
	}
	control := http.NewResponseController(j.writer)
	if err := control.SetReadDeadline(j.deadline); err != nil {
		j.relayer.Logger.Warn("no deadline for the body", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
	}
	body, err := io.ReadAll(io.LimitReader(j.request.Body, limit+1))
	if err != nil {
		return bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "the body did not arrive").WithCause(err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		j.relayer.Logger.Warn("deadline for the body stays", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
	}
	if int64(len(body)) > limit {
		return bergamotdale.Refuse(bergamotdale.CodeBodyTooLarge, "body of more than %d bytes", limit)
	}
	j.body = body
	return nil
}

func (j *job) budget() *retrier.Budget { return j.relayer.budget(j.service) }

// forward sends the request to endpoints until one completes it or the failure
// is final.
func (j *job) forward(ctx context.Context) {
	for {
		target, refusal := j.choose()
		if refusal != nil {
			j.finish(ctx, refusal)
			return
		}
		failure := j.attempt(ctx, target)
		if failure == nil {
			j.complete()
			return
		}
		if ctx.Err() != nil || failure.final {
			j.finish(ctx, failure.refusal)
			return
		}
		if !failure.sent {
			j.unsent++
			if j.unsent >= maxUnsent {
				j.finish(ctx, failure.refusal)
				return
			}
			continue
		}
		if failure.granted {
			j.logRetry(failure)
			continue
		}
		decision := j.decide(failure.refusal)
		if decision.Verdict != retrier.Elsewhere {
			j.finish(ctx, decision.Refusal)
			return
		}
		j.logRetry(failure)
	}
}

// complete ends the request with the response that the client got.
func (j *job) complete() {
	j.outcome = "complete"
	if j.status >= http.StatusInternalServerError {
		j.outcome, j.code = "endpoint-error", bergamotdale.CodeEndpointFailed
		j.cause = errors.Errorf("endpoint %s answered with status %d", j.endpoint, j.status)
	}
}

// decide returns whether the request may be sent to another endpoint after the
// failure.
func (j *job) decide(refusal *bergamotdale.Refusal) retrier.Decision {
	policy := retrier.Policy{AttemptLimit: j.verdict.Route.MaxAttempts}
	return policy.Decide(retrier.Failure{
		Err:        refusal,
		Idempotent: j.verdict.Route.Idempotent(),
		Attempt:    j.sends,
		TimeLeft:   j.deadline.Sub(j.relayer.Clock.Now()),
		Seed:       hasher.Hash(j.envelope.RequestID),
	}, j.budget())
}

// choose returns the endpoint for the next attempt.
func (j *job) choose() (subscriber.Endpoint, *bergamotdale.Refusal) {
	r := j.relayer
	now := r.Clock.Now()
	endpoints := r.Directory.State().Endpoints(j.service)
	candidates, records := r.Tracker.Candidates(now, endpoints, r.Domain, j.tried)
	limits := r.limits.Load()
	at := limits.Placement.Place(balancer.Request{
		RequestID: j.envelope.RequestID, Key: j.key, HasPrompt: len(j.envelope.Parts) > 0,
	}, candidates, balancer.Bound{Multiple: limits.LoadMultiple})
	if at < 0 {
		return subscriber.Endpoint{}, bergamotdale.Refuse(bergamotdale.CodeNoEndpoint,
			"service %s has %d endpoints, %d tried", j.service, len(endpoints), len(j.tried)).After(refusedRetryAfter)
	}
	j.endpoint, j.load, j.choices = records[at].ID, candidates[at].Load, len(candidates)
	j.copyFrom = j.copySource(records[at].ID, endpoints, candidates)
	return records[at], nil
}

// copySource returns where the target copies the beginning of the prompt from.
func (j *job) copySource(target string, endpoints []subscriber.Endpoint, candidates []balancer.Candidate) string {
	r := j.relayer
	service := r.Directory.State().Table.Service(j.service)
	if len(j.envelope.Parts) < 2 || service == nil || !service.CopiesCache || !r.limits.Load().Placement.CopiesPrefixes() {
		return ""
	}
	suspended := map[string]bool{}
	for _, c := range candidates {
		suspended[c.ID] = c.Suspended
	}
	sources := make([]locator.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !suspended[e.ID] {
			sources = append(sources, locator.Endpoint{ID: e.ID, Address: e.Address})
		}
	}
	return r.Locator.Source(j.key, target, sources)
}

// stillAllowed screens the request again before it is sent: opening a
// connection takes time in which the endpoint may leave or a key be revoked.
func (j *job) stillAllowed(target subscriber.Endpoint) *bergamotdale.Refusal {
	r := j.relayer
	if j.verdict.Workspace != "" && !r.knowledge().KeysTrusted() {
		return bergamotdale.Refuse(bergamotdale.CodeKeysNotConfirmed, "the API keys were not confirmed in time").After(refusedRetryAfter)
	}
	for _, e := range r.Directory.State().Endpoints(j.service) {
		if e.ID == target.ID && e.Usable(r.Clock.Now()) {
			return nil
		}
	}
	return bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "endpoint %s is leaving", target.ID).After(refusedRetryAfter)
}

// finish ends the request with a refusal.
func (j *job) finish(ctx context.Context, refusal *bergamotdale.Refusal) {
	if j.request.Context().Err() != nil {
		j.outcome, j.code, j.cause = "client-gone", refusal.Code, refusal
		j.broken = true
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && refusal.Outcome != bergamotdale.OutcomeNotRun {
		refusal = bergamotdale.Refuse(bergamotdale.CodeDeadlineExceeded, "the deadline passed").
			WithOutcome(refusal.Outcome).WithCause(refusal.Cause)
	}
	if j.started {
		j.outcome, j.code, j.cause = "broken", refusal.Code, refusal
		j.broken = true
		return
	}
	j.refuse(refusal)
}

// isEventStream reports whether the response is a stream of events.
func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
