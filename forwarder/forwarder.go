// Package forwarder routes requests from the entry router, which is the router
// that the client is connected to. It chooses the endpoint of a request, sends
// the request in one hop to the router that owns the endpoint, follows redirects
// to another owner, and resumes a broken response stream from its token offset.
//
// Only the entry router retries. Trying another endpoint because the first one
// is at capacity is part of placement and does not count as a retry; a retry
// after a failure takes a token from the retry budget.
package forwarder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/quarantiner"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/streamer"
)

const (
	// streamAttempts is the maximum number of streams that are opened for one
	// request. A request that shares an engine with a request that crashes
	// engines can be hit by each of those crashes; the retry budget bounds the
	// retries of all requests together.
	streamAttempts = 8
	// maxRedirects is the maximum number of redirects to another owner that are
	// followed each time a request is sent to an endpoint.
	maxRedirects = 2
	// maxSpills is the maximum number of further endpoints that are tried when
	// the first one does not accept the request.
	maxSpills = 4
	// placementRounds is how often all candidate endpoints are tried for a new
	// request, and placementRoundInterval is the wait between two rounds. The load
	// bound of an engine is relative to the mean load of its group. When an idle
	// group receives a burst, that mean lags by up to 100 ms, during which every
	// engine can appear to be at its bound.
	placementRounds        = 4
	placementRoundInterval = 100 * time.Millisecond
	// resumePlacementRounds replaces placementRounds for a request that lost its
	// engine or owner after it was accepted. 100 rounds take 10 s: for some
	// seconds the mean still counts engines whose owner has died, so the load
	// bound keeps the remaining engines from accepting all of their streams.
	resumePlacementRounds = 100
	// crashRetryDelay is the wait before a retry after an engine crash. In this
	// time the routers learn which requests were running at the engine, so that
	// a request that crashes engines is not run beside other requests.
	crashRetryDelay = time.Second
	// pathForward is the peer message that sends a completion to the owner.
	pathForward = "forward"
)

// Directory is the entry router's view of the fleet. The view does not change
// during a method call.
type Directory interface {
	// Group returns the placement candidates of the model, or nil if the model
	// is unknown.
	Group(model string) *placer.Group
	// Owner returns the router that owns the endpoint, and false if there is
	// none.
	Owner(endpoint string) (bergamotdale.Member, bool)
	// Member returns the router with the ID, and false if it is unknown.
	Member(id string) (bergamotdale.Member, bool)
}

// LocalDispatcher executes completions at endpoints that this router owns.
type LocalDispatcher interface {
	Dispatch(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error)
}

// Suspects tracks the requests that may have crashed endpoints. A fingerprint
// identifies the content of a request; a suspect is a fingerprint that was
// running at an endpoint when it crashed.
type Suspects interface {
	// RecordBrokenStream records that the response stream of the fingerprint broke
	// off at its endpoint, and reports whether the fingerprint is a suspect of an
	// earlier crash.
	RecordBrokenStream(fingerprint string) bool
}

// Forwarder sends completions and service calls to the routers that own their
// endpoints and shards. The exported fields are set before the first call.
type Forwarder struct {
	// Self is the ID of this router.
	Self      string
	Directory Directory
	Local     LocalDispatcher
	Peer      bergamotdale.Peer
	Clock     bergamotdale.Clock
	Recorder  bergamotdale.Recorder
	Logger    *zap.Logger
	Budget    *retrier.Budget
	Suspects  Suspects
}

// Complete returns the response stream of a completion. When a connection, an
// owner or an engine is lost, the stream continues on another one, until the
// stream attempts or the retry budget are used up.
func (f *Forwarder) Complete(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	group := f.Directory.Group(c.Model)
	if group == nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeUnknownModel, "model %q does not exist", c.Model)
	}
	start, err := streamer.ResumePosition(c)
	if err != nil {
		return nil, err
	}
	f.Budget.AddRequest()
	r := &route{forwarder: f, completion: c, endpoints: f.candidateEndpoints(group, c)}
	if len(r.endpoints) == 0 {
		return nil, bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "no endpoint currently serves model %q", c.Model).After(time.Second)
	}
	return streamer.NewResumer(ctx, streamer.ResumerConfig{
		RequestID:   c.StreamID(),
		Start:       start,
		Open:        r.openStream,
		Attempts:    streamAttempts,
		Limits:      streamer.Limits{Silence: streamer.SilenceTimeout},
		Clock:       f.Clock,
		ShouldRetry: r.mayRetry,
	}), nil
}

// candidateEndpoints returns the names of the endpoints to try for the chat, in
// order of preference.
func (f *Forwarder) candidateEndpoints(group *placer.Group, c bergamotdale.Completion) []string {
	indices := group.Order(make([]int, 0, maxSpills+1), placer.OrderRequest{
		Chat:  c.Chat,
		Now:   f.Clock.Now(),
		Limit: maxSpills + 1,
	})
	names := make([]string, len(indices))
	for i, index := range indices {
		names[i] = group.Candidate(index).Name
	}
	return names
}

// route holds the state of one completion while it is placed and retried.
type route struct {
	forwarder  *Forwarder
	completion bergamotdale.Completion
	// endpoints lists the endpoints that remain to be tried, the next one first.
	endpoints []string
	// endpointFailed is true after a failure at the endpoint, so that the next
	// stream is opened at another one.
	endpointFailed bool
	// redirected is true after the owner of the endpoint changed while the
	// request was in progress. Sending the request to the new owner is not a
	// retry.
	redirected bool
	// retryDelay is the wait before the next stream is opened. It is set after
	// the endpoint crashed while it ran the request, and after the stream of a
	// suspect broke off, since the endpoint may have crashed then.
	retryDelay time.Duration
	// exhausted is true once no endpoint has accepted the request or the retry
	// budget is used up. The refusal is final then.
	exhausted bool
}

// mayRetry reports whether another stream may be opened after a refusal, and
// prepares the route for it.
func (r *route) mayRetry(refusal *bergamotdale.Refusal) bool {
	if r.exhausted || retrier.Classify(refusal, true) == retrier.Final {
		return false
	}
	r.redirected = refusal.Code == bergamotdale.CodeNotOwner
	r.endpointFailed = !r.redirected
	r.retryDelay = r.delayAfter(refusal)
	return true
}

// delayAfter returns how long the request waits before a retry after a refusal.
// A suspect whose stream broke off waits until the owner of the engine has
// detected whether the engine crashed.
func (r *route) delayAfter(refusal *bergamotdale.Refusal) time.Duration {
	switch refusal.Code {
	case bergamotdale.CodeEndpointFailed:
		return crashRetryDelay
	case bergamotdale.CodeStreamLost:
		if r.forwarder.Suspects.RecordBrokenStream(r.completion.Fingerprint) {
			return quarantiner.InDoubtDuration
		}
	}
	return 0
}

// openStream opens a stream for the rest of the response. It implements
// streamer.OpenFunc.
func (r *route) openStream(ctx context.Context, p streamer.Position, attempt int) (bergamotdale.FrameStream, error) {
	if attempt > 0 && !r.redirected {
		if !r.forwarder.Budget.Take() {
			r.exhausted = true
			return nil, bergamotdale.Refuse(bergamotdale.CodeRetryBudgetSpent, "the retry budget is exhausted").
				WithOutcome(bergamotdale.OutcomeUnknown).After(retrier.ExhaustedRetryAfter)
		}
		r.recordEvent("request-retried", "")
	}
	if r.retryDelay > 0 {
		if err := bergamotdale.Wait(ctx, r.forwarder.Clock, r.retryDelay); err != nil {
			return nil, err
		}
		r.retryDelay = 0
	}
	if r.endpointFailed && len(r.endpoints) > 1 {
		r.endpoints = r.endpoints[1:]
	}
	r.endpointFailed, r.redirected = false, false
	c := r.completion
	c.ResumeFrom, c.ResumeChecksum = p.Offset, p.Checksum.String()
	c.Attempt = attempt
	return r.place(ctx, c)
}

// place tries the endpoints until one accepts the completion. If all of them are
// at their load bound, it tries them again after placementRoundInterval.
func (r *route) place(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	order := r.endpoints
	rounds := placementRounds
	if c.Attempt > 0 {
		rounds = resumePlacementRounds
	}
	for round := 1; ; round++ {
		stream, refusal := r.placeOnce(ctx, c)
		if refusal == nil {
			return stream, nil
		}
		if refusal.Code != bergamotdale.CodeOverloaded || round == rounds {
			return nil, refusal
		}
		if err := bergamotdale.Wait(ctx, r.forwarder.Clock, placementRoundInterval); err != nil {
			return nil, refusal
		}
		r.endpoints, r.exhausted = order, false
	}
}

// placeOnce tries each endpoint at most once until one accepts the completion.
func (r *route) placeOnce(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, *bergamotdale.Refusal) {
	var best *bergamotdale.Refusal
	for range maxSpills + 1 {
		c.Endpoint = r.endpoints[0]
		stream, err := r.forwarder.send(ctx, c)
		if err == nil {
			return stream, nil
		}
		refusal := bergamotdale.AsRefusal(err)
		if retrier.Classify(refusal, true) == retrier.Final && refusal.Code != bergamotdale.CodePlacedElsewhere {
			return nil, refusal
		}
		best = earlierRetry(best, refusal)
		if !r.nextEndpoint(refusal) {
			break
		}
		// An attempt above zero tells the next endpoint's owner not to redirect
		// the chat to another endpoint.
		c.Attempt++
	}
	r.exhausted = true
	return nil, clientRefusal(best)
}

// nextEndpoint drops the endpoint that refused the request and moves to the one
// that the refusal redirects to, or else to the next in the list. It reports
// whether there is one.
func (r *route) nextEndpoint(refusal *bergamotdale.Refusal) bool {
	r.recordEvent("request-spilled", refusal.Error())
	tried, rest := r.endpoints[0], r.endpoints[1:]
	if refusal.Redirect != nil && refusal.Redirect.Endpoint != "" && refusal.Redirect.Endpoint != tried {
		rest = append([]string{refusal.Redirect.Endpoint}, rest...)
	}
	if len(rest) == 0 {
		return false
	}
	r.endpoints = rest
	return true
}

// earlierRetry returns the refusal with the shorter RetryAfter, where zero means
// that none is given. a may be nil.
func earlierRetry(a, b *bergamotdale.Refusal) *bergamotdale.Refusal {
	if a == nil || (b.RetryAfter > 0 && (a.RetryAfter == 0 || b.RetryAfter < a.RetryAfter)) {
		return b
	}
	return a
}

// clientRefusal returns the refusal that is sent to the client: without the
// redirect and the codes that only routers interpret, and always with a
// RetryAfter.
func clientRefusal(r *bergamotdale.Refusal) *bergamotdale.Refusal {
	final := *r
	final.Redirect = nil
	if final.Code == bergamotdale.CodeNotOwner || final.Code == bergamotdale.CodePlacedElsewhere {
		final.Code = bergamotdale.CodeNoEndpoint
	}
	if final.RetryAfter == 0 {
		final.RetryAfter = time.Second
	}
	return &final
}

// send sends the completion to the owner of its endpoint and follows redirects
// to other owners.
func (f *Forwarder) send(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	owner, ok := f.Directory.Owner(c.Endpoint)
	if !ok {
		return nil, bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "endpoint %s has no owner", c.Endpoint)
	}
	var refusal *bergamotdale.Refusal
	for range maxRedirects + 1 {
		stream, err := f.sendTo(ctx, owner, c)
		if err == nil {
			return stream, nil
		}
		if !errors.As(err, &refusal) || refusal.Code != bergamotdale.CodeNotOwner || refusal.Redirect == nil {
			return nil, err
		}
		next, known := f.Directory.Member(refusal.Redirect.Owner)
		if !known || next.ID == owner.ID {
			return nil, refusal
		}
		owner = next
	}
	return nil, refusal
}

// sendTo sends the completion to the given owner, which may be this router.
func (f *Forwarder) sendTo(ctx context.Context, owner bergamotdale.Member, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	f.Logger.Debug("request forwarded", zap.String("request-id", c.RequestID),
		zap.String("endpoint", c.Endpoint), zap.String("owner", owner.ID))
	if owner.ID == f.Self {
		return f.Local.Dispatch(ctx, c)
	}
	return f.Peer.Stream(ctx, owner.Address, pathForward, c)
}

// recordEvent adds an event at the current endpoint to the timeline of the
// request.
func (r *route) recordEvent(kind, detail string) {
	event := r.completion.Event(r.forwarder.Clock.Now(), kind, detail)
	event.Endpoint = r.endpoints[0]
	r.forwarder.Recorder.Record(event)
}
