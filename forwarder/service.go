package forwarder

import (
	"context"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/sharder"
)

const (
	// pathCommit is the peer message that sends a call to the owner of its shard.
	pathCommit = "commit"
	// commitAttempts is how often a call is sent to a shard owner at most.
	// Repeats are safe, because the shard executes each idempotency key at most
	// once.
	commitAttempts = 3
)

// CommitResponse is the peer message that returns the response of a call from
// the owner of its shard.
type CommitResponse struct {
	Response bergamotdale.ServiceResponse `json:"response"`
}

// Executor executes calls whose idempotency keys are in shards that this router
// owns.
type Executor interface {
	Execute(ctx context.Context, c bergamotdale.ServiceCall) (bergamotdale.ServiceResponse, error)
}

// Commit executes a call at most once. The call is sent to the router that owns
// the shard of its idempotency key; local is used if that is this router.
func (f *Forwarder) Commit(ctx context.Context, c bergamotdale.ServiceCall, local Executor) (bergamotdale.ServiceResponse, error) {
	f.Budget.AddRequest()
	owner, ok := f.Directory.Owner(sharder.NameForCall(c))
	if !ok {
		return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeStoreUnavailable,
			"the shard of the idempotency key has no owner").After(retrier.ExhaustedRetryAfter)
	}
	var refusal *bergamotdale.Refusal
	// maybeExecuted is true once an attempt may have executed the call.
	maybeExecuted := false
	for attempt := range commitAttempts {
		if attempt > 0 && !f.Budget.Take() {
			break
		}
		response, err := f.commitAt(ctx, owner, c, local)
		if err == nil {
			return response, nil
		}
		refusal = bergamotdale.AsRefusal(err)
		maybeExecuted = maybeExecuted || refusal.Outcome != bergamotdale.OutcomeNotRun
		next, retryable := f.nextCommitOwner(owner, refusal)
		if !retryable || ctx.Err() != nil {
			break
		}
		owner = next
	}
	return bergamotdale.ServiceResponse{}, clientCommitRefusal(refusal, maybeExecuted)
}

// commitAt executes the call at the given owner, which may be this router.
func (f *Forwarder) commitAt(ctx context.Context, owner bergamotdale.Member, c bergamotdale.ServiceCall, local Executor) (bergamotdale.ServiceResponse, error) {
	if owner.ID == f.Self {
		return local.Execute(ctx, c)
	}
	var response CommitResponse
	err := f.Peer.Call(ctx, owner.Address, pathCommit, c, &response)
	return response.Response, err
}

// nextCommitOwner returns the router to send the call to after a refusal, and
// false if the refusal is final.
func (f *Forwarder) nextCommitOwner(owner bergamotdale.Member, refusal *bergamotdale.Refusal) (bergamotdale.Member, bool) {
	switch refusal.Code {
	case bergamotdale.CodeNotOwner:
		if refusal.Redirect == nil {
			return owner, false
		}
		return f.Directory.Member(refusal.Redirect.Owner)
	case bergamotdale.CodePeer:
		return owner, true
	default:
		return owner, false
	}
}

// clientCommitRefusal returns the refusal that is sent to the client. If an
// earlier attempt may have executed the call, the outcome is unknown, even if the
// last attempt did not run: a client must not be told that an executed call was
// not run (I3).
func clientCommitRefusal(refusal *bergamotdale.Refusal, maybeExecuted bool) *bergamotdale.Refusal {
	final := *refusal
	final.Redirect = nil
	if final.Code == bergamotdale.CodeNotOwner {
		final.Code = bergamotdale.CodeStoreUnavailable
		final.Message = "the owner of the idempotency key's shard is changing"
	}
	if maybeExecuted && final.Outcome == bergamotdale.OutcomeNotRun {
		final.Outcome = bergamotdale.OutcomeUnknown
	}
	if final.RetryAfter == 0 && final.Code.Retryable() {
		final.RetryAfter = retrier.ExhaustedRetryAfter
	}
	return &final
}
