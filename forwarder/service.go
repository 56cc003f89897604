package forwarder

import (
	"context"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/sharder"
)

const (
	// pathCommit is the message that carries a call to the owner of its shard.
	pathCommit = "commit"
	// commitAttempts is how often a call is sent to a shard owner. Repeats are
	// safe, because the shard runs a key at most once.
	commitAttempts = 3
)

// CommitResponse is the response to a call that was executed under a shard.
type CommitResponse struct {
	Response bergamotdale.ServiceResponse `json:"response"`
}

// Executor executes calls under the shards that this router owns itself.
type Executor interface {
	Execute(ctx context.Context, c bergamotdale.ServiceCall) (bergamotdale.ServiceResponse, error)
}

// Commit executes a call at most once, at the owner of the shard of its key.
func (f *Forwarder) Commit(ctx context.Context, c bergamotdale.ServiceCall, local Executor) (bergamotdale.ServiceResponse, error) {
	f.Budget.AddRequest()
	owner, ok := f.Directory.Owner(sharder.NameForCall(c))
	if !ok {
		return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeStoreUnavailable,
			"the shard of the key has no owner").After(retrier.ExhaustedRetryAfter)
	}
	var refusal *bergamotdale.Refusal
	// sent is true once a router may have executed the call.
	sent := false
	for attempt := range commitAttempts {
		if attempt > 0 && !f.Budget.Take() {
			break
		}
		response, err := f.commitAt(ctx, owner, c, local)
		if err == nil {
			return response, nil
		}
		refusal = bergamotdale.AsRefusal(err)
		sent = sent || refusal.Outcome != bergamotdale.OutcomeNotRun
		next, again := f.nextCommitOwner(owner, refusal)
		if !again || ctx.Err() != nil {
			break
		}
		owner = next
	}
	return bergamotdale.ServiceResponse{}, commitRefusal(refusal, sent)
}

// commitAt executes the call at a router.
func (f *Forwarder) commitAt(ctx context.Context, owner bergamotdale.Member, c bergamotdale.ServiceCall, local Executor) (bergamotdale.ServiceResponse, error) {
	if owner.ID == f.Self {
		return local.Execute(ctx, c)
	}
	var response CommitResponse
	err := f.Peer.Call(ctx, owner.Address, pathCommit, c, &response)
	return response.Response, err
}

// nextCommitOwner returns the router to ask next, and false where the refusal
// is final.
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

// commitRefusal is the final response to the client. An earlier attempt with an
// unknown outcome makes the whole outcome unknown (I3).
func commitRefusal(refusal *bergamotdale.Refusal, sent bool) *bergamotdale.Refusal {
	final := *refusal
	final.Redirect = nil
	if final.Code == bergamotdale.CodeNotOwner {
		final.Code = bergamotdale.CodeStoreUnavailable
		final.Message = "the shard of the key is changing its owner"
	}
	if sent && final.Outcome == bergamotdale.OutcomeNotRun {
		final.Outcome = bergamotdale.OutcomeUnknown
	}
	if final.RetryAfter == 0 && final.Code.Retryable() {
		final.RetryAfter = retrier.ExhaustedRetryAfter
	}
	return &final
}
