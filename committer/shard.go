package committer

import (
	"context"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// ErrFenced is returned where another owner has taken the shard over.
const ErrFenced = errors.ConstError("shard taken over")

// Shard is a shard owned by this process. Its methods may be called
// concurrently.
type Shard struct {
	settings Settings
	done     chan struct{}
}

// Open takes the shard over: it reads the journal and fences the previous
// owner. It returns ErrFenced if the journal has a later epoch.
func Open(ctx context.Context, s Settings) (*Shard, error) {
	return &Shard{settings: s, done: make(chan struct{})}, nil
}

// Run commits records until the context ends or the shard is fenced, in which
// case it returns ErrFenced.
func (s *Shard) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Execute runs the call at most once for the key of the request, however often
// and on however many owners the request is repeated. The error is always a
// *bergamotdale.Refusal.
func (s *Shard) Execute(ctx context.Context, r Request, call CallFunc) (Response, error) {
	return Response{}, bergamotdale.Refuse(bergamotdale.CodeStoreUnavailable, "not implemented")
}

// Done is closed when the shard has stopped.
func (s *Shard) Done() <-chan struct{} {
	return s.done
}

// Drain waits until no call is in progress and all records are committed.
func (s *Shard) Drain(ctx context.Context) error {
	return nil
}
