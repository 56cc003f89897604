// Package forwarder is the entry side of the request path. It chooses the
// endpoint of a request, sends the request one hop to the router that owns the
// endpoint, follows redirects, and resumes a broken stream from its offset.
//
// Only the entry router retries. Going to another endpoint because the first
// one is full is placement and costs no retry; a retry after a failure takes
// from the retry budget.
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
	// streamAttempts is how many streams one request may use in all. A request
	// that runs beside one that crashes engines can meet each of its crashes;
	// the retry budget bounds the retries of all requests together.
	streamAttempts = 8
	// maxRedirects is how many redirects are followed per stream.
	maxRedirects = 2
	// maxSpills is how many endpoints besides the first one are asked for room.
	maxSpills = 4
	// placeRounds is how often all endpoints are asked for room, and roundWait
	// the time between two rounds. The mean that the load bound is relative to
	// lags by up to 100 ms when a group that was idle gets a burst: for that
	// long every engine can seem to be at its bound.
	placeRounds = 4
	roundWait   = 100 * time.Millisecond
	// resumeRounds is the same for a request that was accepted before and lost
	// its engine or owner: 10 s. For some seconds the mean still counts engines
	// whose owner has died, so the others cannot take all of their streams.
	resumeRounds = 100
	// crashWait is the wait after a crash. In this time the fleet learns which
	// requests were running, so that one that crashes engines is run apart.
	crashWait = time.Second
	// pathForward is the message that carries a completion to the owner.
	pathForward = "forward"
)

// Directory is the entry router's view of the fleet. It is immutable for as
// long as one call of a method lasts.
type Directory interface {
	// Group returns the placement candidates of the model, nil if unknown.
	Group(model string) *placer.Group
	// Owner returns the router that owns the endpoint.
	Owner(endpoint string) (bergamotdale.Member, bool)
	// Member returns the router with the ID.
	Member(id string) (bergamotdale.Member, bool)
}

// Local executes a completion at an endpoint that this router owns itself.
type Local interface {
	Dispatch(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error)
}

// Suspects knows the requests that may have crashed endpoints.
type Suspects interface {
	// Broke records that the stream of the fingerprint broke at its endpoint,
	// and reports whether it is a suspect of an earlier crash.
	Broke(fingerprint string) bool
}

// Forwarder sends completions to the owners of their endpoints. Exported
// fields are set before the first call.
type Forwarder struct {
	// Self is the ID of this router.
	Self      string
	Directory Directory
	Local     Local
	Peer      bergamotdale.Peer
	Clock     bergamotdale.Clock
	Recorder  bergamotdale.Recorder
	Logger    *zap.Logger
	Budget    *retrier.Budget
	Suspects  Suspects
}

// Complete returns the stream of a completion. The stream survives the loss of
// connections, owners and engines as long as attempts and budget last.
func (f *Forwarder) Complete(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	group := f.Directory.Group(c.Model)
	if group == nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeUnknownModel, "no model %q", c.Model)
	}
	start, err := streamer.ResumePosition(c)
	if err != nil {
		return nil, err
	}
	f.Budget.AddRequest()
	r := &route{forwarder: f, completion: c, endpoints: f.order(group, c)}
	if len(r.endpoints) == 0 {
		return nil, bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "no endpoint serves %q now", c.Model).After(time.Second)
	}
	return streamer.NewResumer(ctx, streamer.Resume{
		RequestID: c.StreamID(),
		Start:     start,
		Open:      r.open,
		Attempts:  streamAttempts,
		Limits:    streamer.Limits{Silence: streamer.SilenceLimit},
		Clock:     f.Clock,
		Again:     r.again,
	}), nil
}

// order returns the names of the endpoints to try for the chat.
func (f *Forwarder) order(group *placer.Group, c bergamotdale.Completion) []string {
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

// route is the way of one completion through the fleet.
type route struct {
	forwarder  *Forwarder
	completion bergamotdale.Completion
	// endpoints holds those that are still to be tried; the first is next.
	endpoints []string
	// broken is true after the endpoint itself failed, so that the next stream
	// goes to another one.
	broken bool
	// redirected is true after the owner of the endpoint has changed under the
	// request. Following it is not a retry.
	redirected bool
	// pause is the wait before the next stream: after the endpoint crashed under
	// the request, or may have crashed under a suspect.
	pause time.Duration
	// exhausted is true once no endpoint has room; the refusal is final then.
	exhausted bool
}

// again reports whether a refused stream may be replaced by another one.
func (r *route) again(refusal *bergamotdale.Refusal) bool {
	if r.exhausted || retrier.Classify(refusal, true) == retrier.Final {
		return false
	}
	r.redirected = refusal.Code == bergamotdale.CodeNotOwner
	r.broken = !r.redirected
	r.pause = r.pauseAfter(refusal)
	return true
}

// pauseAfter returns how long the request waits after a refusal. A suspect
// whose stream broke waits until its owner knows whether the engine crashed.
func (r *route) pauseAfter(refusal *bergamotdale.Refusal) time.Duration {
	switch refusal.Code {
	case bergamotdale.CodeEndpointFailed:
		return crashWait
	case bergamotdale.CodeStreamLost:
		if r.forwarder.Suspects.Broke(r.completion.Fingerprint) {
			return quarantiner.InDoubtDuration
		}
	}
	return 0
}

// open opens a stream for the rest of the response.
func (r *route) open(ctx context.Context, p streamer.Position, attempt int) (bergamotdale.FrameStream, error) {
	if attempt > 0 && !r.redirected {
		if !r.forwarder.Budget.Take() {
			r.exhausted = true
			return nil, bergamotdale.Refuse(bergamotdale.CodeRetryBudgetSpent, "no retry budget left").
				WithOutcome(bergamotdale.OutcomeUnknown).After(retrier.ExhaustedRetryAfter)
		}
		r.record("request-retried", "")
	}
	if r.pause > 0 {
		if err := bergamotdale.Wait(ctx, r.forwarder.Clock, r.pause); err != nil {
			return nil, err
		}
		r.pause = 0
	}
	if r.broken && len(r.endpoints) > 1 {
		r.endpoints = r.endpoints[1:]
	}
	r.broken, r.redirected = false, false
	c := r.completion
	c.ResumeFrom, c.ResumeChecksum = p.Offset, p.Checksum.String()
	c.Attempt = attempt
	return r.place(ctx, c)
}

// place asks endpoints until one accepts the completion. If all of them are at
// their load bound, it asks them again a moment later.
func (r *route) place(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	order := r.endpoints
	rounds := placeRounds
	if c.Attempt > 0 {
		rounds = resumeRounds
	}
	for round := 1; ; round++ {
		stream, refusal := r.placeOnce(ctx, c)
		if refusal == nil {
			return stream, nil
		}
		if refusal.Code != bergamotdale.CodeOverloaded || round == rounds {
			return nil, refusal
		}
		if err := bergamotdale.Wait(ctx, r.forwarder.Clock, roundWait); err != nil {
			return nil, refusal
		}
		r.endpoints, r.exhausted = order, false
	}
}

// placeOnce asks each endpoint once until one accepts the completion.
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
		best = better(best, refusal)
		if !r.advance(refusal) {
			break
		}
		// Whoever is asked second must not send the chat back.
		c.Attempt++
	}
	r.exhausted = true
	return nil, finalRefusal(best)
}

// advance makes another endpoint the next one. It reports whether there is one.
func (r *route) advance(refusal *bergamotdale.Refusal) bool {
	r.record("request-spilled", refusal.Error())
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

// better returns the refusal that tells the client to come back earlier.
func better(a, b *bergamotdale.Refusal) *bergamotdale.Refusal {
	if a == nil || (b.RetryAfter > 0 && (a.RetryAfter == 0 || b.RetryAfter < a.RetryAfter)) {
		return b
	}
	return a
}

// finalRefusal hides what only routers need to know from the client.
func finalRefusal(r *bergamotdale.Refusal) *bergamotdale.Refusal {
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

// send sends the completion to the owner of its endpoint. It follows redirects
// to other owners.
func (f *Forwarder) send(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	owner, ok := f.Directory.Owner(c.Endpoint)
	if !ok {
		return nil, bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "%s has no owner", c.Endpoint)
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

// sendTo sends the completion to a router.
func (f *Forwarder) sendTo(ctx context.Context, owner bergamotdale.Member, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	f.Logger.Debug("request forwarded", zap.String("request-id", c.RequestID),
		zap.String("endpoint", c.Endpoint), zap.String("owner", owner.ID))
	if owner.ID == f.Self {
		return f.Local.Dispatch(ctx, c)
	}
	return f.Peer.Stream(ctx, owner.Address, pathForward, c)
}

// record adds an event of the request to the timeline.
func (r *route) record(kind, detail string) {
	event := r.completion.Event(r.forwarder.Clock.Now(), kind, detail)
	event.Endpoint = r.endpoints[0]
	r.forwarder.Recorder.Record(event)
}
