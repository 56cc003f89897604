package committer

import (
	"context"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
	"github.com/bergamotdale/bergamotdale/registrar"
)

// Execute runs the call at most once for the key of the request, even if the
// request is repeated or the shard changes owners in between. The error is
// always a *bergamotdale.Refusal. Its outcome states whether a call was ever
// executed for the key, not only for this request.
//
// The call starts after its intent is committed and does not inherit the
// cancellation of ctx: if the client disconnects, the call still completes and
// its response is recorded for a repeat. A client that disconnects before the
// call starts gets a not-run outcome, and the key can be used again.
func (s *Shard) Execute(ctx context.Context, r Request, call CallFunc) (Response, error) {
	if refusal := r.validate(); refusal != nil {
		return Response{}, refusal
	}
	record := r.journalRecord()
	for {
		s.lock.Lock()
		joined := s.registry.Join(record, ctx.Err(), s.settings.Clock.Now())
		s.lock.Unlock()
		switch {
		case joined.Refusal != nil:
			return Response{}, joined.Refusal
		case joined.Record != nil:
			return responseOrRefusal(joined.Record.ServiceResponse(), true, joined.Recorded, nil)
		case joined.Segment != nil:
			return s.readSealedResponse(ctx, record, *joined.Segment)
		case joined.Leader:
			return s.executeAsLeader(ctx, joined.Flight, call)
		}
		response, retry, err := s.waitForFlight(ctx, joined.Flight)
		if !retry {
			return response, err
		}
	}
}

// responseOrRefusal returns the refusal as an error if there is one, or else the
// response.
func responseOrRefusal(r bergamotdale.ServiceResponse, repeated, recorded bool, refusal *bergamotdale.Refusal) (Response, error) {
	if refusal != nil {
		return Response{}, refusal
	}
	return Response{ServiceResponse: r, Repeated: repeated, Recorded: recorded}, nil
}

// executeAsLeader executes the call of a flight that this request started; a
// flight is a call in progress that all concurrent requests with its key share. It
// waits until the intent is committed, runs the call, and waits until its record
// is committed or cannot be committed at present.
func (s *Shard) executeAsLeader(ctx context.Context, f *registrar.Flight, call CallFunc) (Response, error) {
	select {
	case <-f.Ready():
	case <-ctx.Done():
	}
	if !s.beginCall(ctx, f) {
		response, recorded, refusal := f.Result()
		return responseOrRefusal(response, false, recorded, refusal)
	}
	go s.runCall(context.WithoutCancel(ctx), f, call)
	select {
	case <-f.Done():
		response, recorded, refusal := f.Result()
		return responseOrRefusal(response, false, recorded, refusal)
	case <-ctx.Done():
		s.lock.Lock()
		defer s.lock.Unlock()
		response, recorded, refusal := s.registry.ResultOnDisconnect(f)
		return responseOrRefusal(response, false, recorded, refusal)
	}
}

// beginCall marks the call of the flight as running. It returns false if the
// call must not run, in which case the flight has ended.
func (s *Shard) beginCall(ctx context.Context, f *registrar.Flight) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if ctx.Err() != nil {
		s.registry.Abandon(f, ctx.Err(), s.settings.Clock.Now())
		return false
	}
	if !s.registry.BeginCall(f) {
		return false
	}
	s.callsStarted++
	return true
}

// runCall executes the call within CallTimeout and reports its result to the
// registry.
func (s *Shard) runCall(ctx context.Context, f *registrar.Flight, call CallFunc) {
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
	s.registry.EndCall(f, response, err, s.settings.Clock.Now())
}

// waitForFlight waits for the flight that another request with the same key
// started. The second result is true if that request was canceled before its
// call started, so that this request may start the call itself.
func (s *Shard) waitForFlight(ctx context.Context, f *registrar.Flight) (Response, bool, error) {
	select {
	case <-f.Done():
	case <-ctx.Done():
		return Response{}, false, registrar.InProgressRefusal()
	case <-s.settings.Clock.After(s.settings.RepeatWait):
		return Response{}, false, registrar.InProgressRefusal()
	}
	if f.Abandoned() {
		return Response{}, true, nil
	}
	response, recorded, refusal := f.RepeatResult()
	r, err := responseOrRefusal(response, true, recorded, refusal)
	return r, false, err
}

// readSealedResponse returns the response that a sealed segment holds for the
// key of the record.
func (s *Shard) readSealedResponse(ctx context.Context, record journaler.Record, segment journaler.Segment) (Response, error) {
	value, err := s.readSealedSegment(ctx, segment)
	if err != nil {
		return Response{}, registrar.UnreadableRefusal(bergamotdale.CodeStoreUnavailable, err)
	}
	found, err := journaler.FindRecord(value, record.ID())
	if err != nil {
		return Response{}, registrar.UnreadableRefusal(bergamotdale.CodeInternal, err)
	}
	return responseOrRefusal(found.ServiceResponse(), true, true, registrar.NotKeptRefusal(found))
}

// readSealedSegment returns the value of a sealed segment. It caches the last
// one, so that a client that repeats the same key often causes one read of the
// store.
func (s *Shard) readSealedSegment(ctx context.Context, segment journaler.Segment) ([]byte, error) {
	s.lock.Lock()
	cached, down := s.cachedSegment, s.registry.StoreDown()
	s.lock.Unlock()
	if cached.value != nil && cached.number == segment.Number {
		return cached.value, nil
	}
	if down {
		return nil, bergamotdale.ErrUnavailable
	}
	value, err := s.fencer.ReadSegment(ctx, segment)
	if err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cachedSegment = cachedSegment{number: segment.Number, value: value}
	return value, nil
}
