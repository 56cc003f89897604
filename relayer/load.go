package relayer

import (
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// recordLoad records the load that the target states in a response, if it does.
func (j *job) recordLoad(target subscriber.Endpoint, load *bergamotdale.ReportedLoad) {
	if load == nil {
		return
	}
	r := j.relayer
	first, err := r.Tracker.RecordLoad(r.Clock.Now(), target.ID, target.Service, target.Slots, *load)
	switch {
	case err != nil:
		r.Logger.Debug("load that an endpoint states is not used", zap.String("endpoint", target.ID),
			zap.String("request-id", j.envelope.RequestID), zap.Error(err))
	case first:
		r.Logger.Info("requests placed by estimated loads", zap.String("service", target.Service))
	}
}

// choose returns the index of the candidate for the request, or -1 without candidates.
func (j *job) choose(candidates []balancer.Candidate, limits *Limits) int {
	r := j.relayer
	now, bound := r.Clock.Now(), r.loadBound(limits)
	request := balancer.Request{RequestID: j.envelope.RequestID, Key: j.key, HasPrompt: len(j.envelope.Parts) > 0}
	if bound.Live = r.Tracker.Live(now, j.service); bound.Live && request.HasPrompt {
		request.Popular = r.Tracker.RecordKey(now, j.key, j.envelope.RequestID)
		for i, part := range j.envelope.Parts {
			request.Tokens += int64(part.Tokens)
			if i < len(j.envelope.Parts)-1 {
				request.PrefixTokens += int64(part.Tokens)
			}
		}
	}
	return limits.Placement.Place(request, candidates, bound)
}
