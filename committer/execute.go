package committer

import (
	"context"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
	"github.com/bergamotdale/bergamotdale/registrar"
)

// Execute runs the call at most once for the key of the request, however often
// and on however many owners the request is repeated. The error is always a
// *bergamotdale.Refusal; its outcome is about the key, not only about this
// request.
//
// The call runs after its intent is committed, and without the cancellation of
// ctx: where the client leaves, the call is finished and its response recorded
// for a repeat. A client that leaves before the call starts gets not-run, and
// the key is free again.
func (s *Shard) Execute(ctx context.Context, r Request, call CallFunc) (Response, error) {
	if refusal := r.validate(); refusal != nil {
		return Response{}, refusal
	}
	record := r.record()
	for {
		s.lock.Lock()
		answer := s.register.Join(record, ctx.Err(), s.settings.Clock.Now())
		s.lock.Unlock()
		switch {
		case answer.Refusal != nil:
			return Response{}, answer.Refusal
		case answer.Record != nil:
			return respond(answer.Record.ServiceResponse(), true, answer.Recorded, nil)
		case answer.Segment != nil:
			return s.repeat(ctx, record, *answer.Segment)
		case answer.Leader:
			return s.lead(ctx, answer.Flight, call)
		}
		response, again, err := s.follow(ctx, answer.Flight)
		if !again {
			return response, err
		}
	}
}

// respond returns a response, or the refusal as an error.
func respond(r bergamotdale.ServiceResponse, repeated, recorded bool, refusal *bergamotdale.Refusal) (Response, error) {
	if refusal != nil {
		return Response{}, refusal
	}
	return Response{ServiceResponse: r, Repeated: repeated, Recorded: recorded}, nil
}

// lead waits for the commit of the intent, runs the call and waits for the
// commit of its record.
func (s *Shard) lead(ctx context.Context, f *registrar.Flight, call CallFunc) (Response, error) {
	select {
	case <-f.Granted():
	case <-ctx.Done():
	}
	if !s.begin(ctx, f) {
		response, recorded, refusal := f.Result()
		return respond(response, false, recorded, refusal)
	}
	go s.run(context.WithoutCancel(ctx), f, call)
	select {
	case <-f.Done():
		response, recorded, refusal := f.Result()
		return respond(response, false, recorded, refusal)
	case <-ctx.Done():
		s.lock.Lock()
		defer s.lock.Unlock()
		response, recorded, refusal := s.register.Leave(f)
		return respond(response, false, recorded, refusal)
	}
}

// begin moves the flight to running. It returns false where the call must not
// run; the flight has ended then.
func (s *Shard) begin(ctx context.Context, f *registrar.Flight) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if ctx.Err() != nil {
		s.register.Abandon(f, ctx.Err(), s.settings.Clock.Now())
		return false
	}
	if !s.register.Begin(f) {
		return false
	}
	s.calls++
	return true
}

// run executes the call and reports its result.
func (s *Shard) run(ctx context.Context, f *registrar.Flight, call CallFunc) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-s.settings.Clock.After(s.settings.CallTimeout):
			cancel()
		case <-ctx.Done():
		}
	}()
	response, err := call(ctx)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.register.Ran(f, response, err, s.settings.Clock.Now())
}

// follow waits for the flight of another request with the same key. It returns
// true where that request left before the call started.
func (s *Shard) follow(ctx context.Context, f *registrar.Flight) (Response, bool, error) {
	select {
	case <-f.Done():
	case <-ctx.Done():
		return Response{}, false, registrar.InProgress()
	case <-s.settings.Clock.After(s.settings.RepeatWait):
		return Response{}, false, registrar.InProgress()
	}
	if f.Abandoned() {
		return Response{}, true, nil
	}
	response, recorded, refusal := f.RepeatResult()
	r, err := respond(response, true, recorded, refusal)
	return r, false, err
}

// repeat returns the response that a sealed segment holds.
func (s *Shard) repeat(ctx context.Context, record journaler.Record, segment journaler.Segment) (Response, error) {
	value, err := s.sealedValue(ctx, segment)
	if err != nil {
		return Response{}, registrar.Unreadable(bergamotdale.CodeStoreUnavailable, err)
	}
	found, err := journaler.FindRecord(value, record.ID())
	if err != nil {
		return Response{}, registrar.Unreadable(bergamotdale.CodeInternal, err)
	}
	return respond(found.ServiceResponse(), true, true, registrar.NotKept(found))
}

// sealedValue returns the value of a sealed segment. The last one read is kept,
// so a client that repeats one key often costs one read.
func (s *Shard) sealedValue(ctx context.Context, segment journaler.Segment) ([]byte, error) {
	s.lock.Lock()
	kept, down := s.fetched, s.register.Down()
	s.lock.Unlock()
	if kept.value != nil && kept.number == segment.Number {
		return kept.value, nil
	}
	if down {
		return nil, bergamotdale.ErrUnavailable
	}
	value, err := s.fencer.Fetch(ctx, segment)
	if err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fetched = fetched{number: segment.Number, value: value}
	return value, nil
}
