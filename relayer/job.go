package relayer

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/framer"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/locator"
	"github.com/bergamotdale/bergamotdale/pinner"
	"github.com/bergamotdale/bergamotdale/quarantiner"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/screener"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// defaultTimeout is the time limit of a request if its route has no timeout.
	defaultTimeout = time.Minute
	// timeoutGrace is how much longer than the timeout of the route the router
	// waits, so that a response that the endpoint sends at the timeout arrives.
	timeoutGrace = 100 * time.Millisecond
	// maxConnectFailures is the number of endpoints without a connection after
	// which a request fails. Each may take dialer.DialTimeout.
	maxConnectFailures = 4
	// defaultMaxBody bounds the body of a request, in bytes, if the configuration
	// sets no limit.
	defaultMaxBody = 4 << 20
	// refusedRetryAfter is the time after which a client may retry a request that
	// endpoints refused or for which no endpoint was available.
	refusedRetryAfter = 300 * time.Millisecond
)

// job is the state of one client request while it is handled.
type job struct {
	relayer *Relayer
	writer  http.ResponseWriter
	request *http.Request
	arrival time.Time

	// envelope is what the request's headers say, verdict how it is treated.
	envelope bergamotdale.Envelope
	verdict  screener.Admission
	// body holds the body of the request in parts.
	body    [][]byte
	service string
	// hold is the memory that the request holds.
	hold hold
	// bodyRead is set once the body has been read to its end.
	bodyRead bool
	// fingerprint identifies the request in the quarantine.
	fingerprint string
	parts       partMonitor
	// key selects the endpoint: requests with the same key share the beginning of
	// their prompts, which an endpoint caches.
	key      string
	deadline time.Time

	framer framer.Framer
	// pin is the software at which a stream goes on, nil until it has begun.
	pin atomic.Pointer[pinner.Pin]
	// pinInDoubt is set if the incarnation of the endpoint that began the stream is not
	// certain.
	pinInDoubt bool
	// tried holds the IDs of the endpoints that are not tried again.
	tried map[string]bool
	// sends counts the attempts that got a connection to a usable endpoint, and
	// connectFailures those that failed before any byte was written.
	sends           int
	connectFailures int
	// choice describes the latest endpoint.
	choice choice
	// admission is what the admission has decided of the latest attempt.
	admission admission
	// enteredAt is when the latest attempt was written.
	enteredAt time.Time

	// started is set once the response to the client has begun, and broken if
	// it cannot be completed.
	started bool
	broken  bool
	// mayHaveRun is set once an attempt has failed without it being known that its
	// endpoint did not execute the request.
	mayHaveRun bool
	// successor is the reserved attempt at another endpoint, nil if there is none.
	successor atomic.Pointer[successor]
	// conn is an open connection for the next attempt, nil if it has to be opened.
	conn *dialer.Conn
	// status, outcome, code and cause describe the result for the log.
	status          int
	outcome         string
	code            bergamotdale.Code
	cause           error
	timeToFirstByte time.Duration
	// retryAfter is the value of the Retry-After header of a refusal.
	retryAfter time.Duration
}

// accept decides whether the request may be forwarded and reads its body. It
// returns a refusal if not.
func (j *job) accept() *bergamotdale.Refusal {
	r := j.relayer
	envelope, err := r.Dialect.Envelope(j.request.Header)
	j.envelope = envelope
	if err != nil {
		return bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "%v", err)
	}
	if refusal := r.ProcessRefusal(j.request.Context()); refusal != nil {
		return refusal
	}
	screeningState := r.screeningState()
	verdict, refusal := screener.Screen(screeningState, screener.Request{
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
	if refusal := j.receive(screeningState.Table.Limits().BodyBytes); refusal != nil {
		return refusal
	}
	j.key = placementKey(envelope)
	j.service = screeningState.Table.SelectService(verdict.Route, j.key)
	j.fingerprint = string(quarantiner.FingerprintOf(verdict.Workspace, j.request.Method+" "+j.request.Host+j.request.RequestURI, j.body...))
	if refusal := r.Quarantine.Refusal(j.fingerprint); refusal != nil {
		return refusal
	}
	j.parts.ids = sharedParts(envelope)
	if refusal := r.Quarantine.PartRefusal(j.parts.ids, false); refusal != nil {
		return refusal
	}
	return j.findPin()
}

// timeLimit returns how long the request may take: the limit of the client if it
// is below that of the route.
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

// placementKey returns the key that selects the endpoint: the ID of the last prompt
// part that other requests share. The last part of all belongs to the request or
// its chat. Requests without a prompt are spread by their request ID.
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

// headerBytes returns the approximate size of the request line and headers.
func headerBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			// The separator ": " and the CRLF take four bytes.
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// budget returns the retry budget of the request's service.
func (j *job) budget() *retrier.Budget { return j.relayer.budget(j.service) }

// forward sends the request to one endpoint after the other until one completes it
// or no further attempt is allowed.
func (j *job) forward(ctx context.Context) {
	for {
		if refusal := j.confirmPin(ctx); refusal != nil {
			j.fail(ctx, refusal.WithOutcome(bergamotdale.OutcomeUnknown))
			return
		}
		release, refusal := j.admit(ctx)
		if refusal != nil {
			j.fail(ctx, refusal)
			return
		}
		target, refusal := j.chooseEndpoint()
		if refusal != nil {
			release(nil, refusal)
			j.fail(ctx, refusal)
			return
		}
		failure := j.attempt(ctx, target)
		release(failure, nil)
		if failure == nil {
			j.markComplete()
			j.recordDuration()
			return
		}
		if failure.refusal.Outcome != bergamotdale.OutcomeNotRun {
			j.mayHaveRun = true
		}
		j.parts.recordFailure(failure)
		if ctx.Err() != nil || failure.final {
			j.fail(ctx, failure.refusal)
			return
		}
		if failure.closed {
			continue
		}
		if !failure.sent {
			j.connectFailures++
			if j.connectFailures >= maxConnectFailures {
				j.fail(ctx, failure.refusal)
				return
			}
			continue
		}
		if failure.retryCharged {
			j.logRetry(failure)
			continue
		}
		if failure.refusal.Outcome == bergamotdale.OutcomeNotRun && !j.hasUntried() {
			j.fail(ctx, j.noEndpoint(j.tried).WithCause(failure.refusal))
			return
		}
		decision := j.decideRetry(failure.refusal)
		if decision.Verdict != retrier.Elsewhere {
			j.fail(ctx, decision.Refusal)
			return
		}
		j.logRetry(failure)
	}
}

// markComplete records that the client got the endpoint's response, which may
// itself be an error of the endpoint.
func (j *job) markComplete() {
	j.outcome = "complete"
	if j.status >= http.StatusInternalServerError {
		j.outcome, j.code = "endpoint-error", bergamotdale.CodeEndpointFailed
		j.cause = errors.Errorf("endpoint %s answered with status %d", j.choice.target.ID, j.status)
	}
}

// decideRetry returns whether the request may be sent to another endpoint after the
// failure. A retry that is allowed is charged to the retry budget.
func (j *job) decideRetry(refusal *bergamotdale.Refusal) retrier.Decision {
	policy := retrier.Policy{AttemptLimit: j.verdict.Route.MaxAttempts}
	return policy.Decide(retrier.Failure{
		Err:        refusal,
		Idempotent: j.verdict.Route.Idempotent(),
		Attempt:    j.sends,
		TimeLeft:   j.deadline.Sub(j.relayer.Clock.Now()),
		Seed:       hasher.Hash(j.envelope.RequestID),
	}, j.budget())
}

// choice is an endpoint and why it was chosen.
type choice struct {
	target subscriber.Endpoint
	// load is the load of the endpoint, and choices the number of candidates.
	load    int
	choices int
	// copyFrom is the address from which the endpoint can copy the cached
	// beginning of the prompt; empty for none.
	copyFrom string
	// suspended states that the endpoint probably does not respond.
	suspended bool
}

// chooseEndpoint returns the endpoint for the next attempt, or a refusal if no
// endpoint is left.
func (j *job) chooseEndpoint() (subscriber.Endpoint, *bergamotdale.Refusal) {
	if s := j.successor.Swap(nil); s != nil {
		if j.isOfPin(s.choice.target) {
			j.choice, j.conn = s.choice, s.conn
			return j.choice.target, nil
		}
		// The stream has begun since the successor was chosen.
		s.Discard()
	}
	next, refusal := j.place(j.tried)
	if refusal != nil {
		return subscriber.Endpoint{}, refusal
	}
	j.choice = next
	return next.target, nil
}

// place returns the best endpoint that is not in tried, or a refusal if there is none.
// It may be called while an attempt is running.
func (j *job) place(tried map[string]bool) (choice, *bergamotdale.Refusal) {
	r := j.relayer
	now := r.Clock.Now()
	endpoints := r.Directory.State().Endpoints(j.service)
	candidates, records := r.Tracker.Candidates(now, j.ofPin(r.open(endpoints)), r.FailureDomain, tried)
	if r.Doubt != nil {
		if since, doubtful := r.Doubt(now); doubtful {
			candidates, records = r.Tracker.KeepResponding(since, candidates, records)
		}
	}
	index := j.choose(candidates, r.limits.Load())
	if index < 0 {
		return choice{}, j.noEndpoint(tried)
	}
	index = j.admission.prefer(index, candidates)
	return choice{
		target: records[index], load: candidates[index].Load, choices: len(candidates), suspended: candidates[index].Suspended,
		copyFrom: j.copySource(records[index].ID, endpoints, candidates),
	}, nil
}

// copySource returns the address of an endpoint from which the target can copy the
// cached beginning of the prompt, so that it need not compute it. It returns "" if
// there is none or nothing to copy.
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

// recheck returns a refusal if the request may no longer be sent to the target.
// While the connection was opened, the endpoint may have started to drain, left or been
// evacuated, or the configuration may have become too old to trust API keys.
func (j *job) recheck(target subscriber.Endpoint) *bergamotdale.Refusal {
	r := j.relayer
	if j.verdict.Workspace != "" && !r.screeningState().KeysTrusted() {
		return bergamotdale.Refuse(bergamotdale.CodeKeysNotConfirmed, "the configuration is too old to trust API keys").After(refusedRetryAfter)
	}
	if r.isUsable(target) {
		return nil
	}
	return bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "endpoint %s is draining, evacuated or no longer registered", target.ID).After(refusedRetryAfter)
}

// fail ends the request with a refusal. It aborts the response if that has begun,
// and sends nothing if the client has disconnected. The refusal of a later attempt
// does not tell whether an earlier one was executed.
func (j *job) fail(ctx context.Context, refusal *bergamotdale.Refusal) {
	if j.mayHaveRun && refusal.Outcome == bergamotdale.OutcomeNotRun {
		refusal = refusal.WithOutcome(bergamotdale.OutcomeUnknown)
	}
	if j.request.Context().Err() != nil {
		j.outcome, j.code, j.cause = "client-gone", refusal.Code, refusal
		j.broken = true
		return
	}
	if errors.Is(context.Cause(ctx), errAborted) && refusal.Outcome != bergamotdale.OutcomeNotRun {
		refusal = bergamotdale.Refuse(bergamotdale.CodeStopping, "the router stopped before the endpoint responded").
			WithOutcome(refusal.Outcome).WithCause(refusal.Cause)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && refusal.Outcome != bergamotdale.OutcomeNotRun {
		refusal = bergamotdale.Refuse(bergamotdale.CodeDeadlineExceeded, "the deadline of the request passed").
			WithOutcome(refusal.Outcome).WithCause(refusal.Cause)
	}
	if j.started {
		j.outcome, j.code, j.cause = "broken", refusal.Code, refusal
		j.broken = true
		return
	}
	j.writeRefusal(refusal)
}

// isEventStream reports whether the headers are those of a stream of server-sent
// events.
func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
