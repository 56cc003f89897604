package pinner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/chronicler"
)

const (
	// joinWait is how long a router that has just started waits until it knows the other
	// routers, and joinPoll the time between two looks. From joinLimit after its start on
	// it takes itself for the only one.
	joinWait  = 400 * time.Millisecond
	joinPoll  = 20 * time.Millisecond
	joinLimit = 3 * time.Second
)

// lookTimeout bounds the time for which a stream that is taken up waits for the store.
const lookTimeout = time.Second

// unconfirmedRetryAfter is the time after which a client may take a stream up again if
// no router that may know its version has responded.
const unconfirmedRetryAfter = 300 * time.Millisecond

// Query describes a stream that a client takes up.
type Query struct {
	// Stream is the ID of the stream, empty if the client does not name it.
	Stream string
	// Service is the service to which the stream would be sent.
	Service string
	// MaxAge bounds the age of the stream; zero selects MaxStreamAge.
	MaxAge time.Duration
}

// Find returns the software that has begun a stream, or a refusal if that is unknown. It
// asks the routers that store the pin of the stream. Without a pin, what the store lists
// decides: the registered endpoints do not show which versions have left. Only if the
// store does not respond, or does not know, what the routers have seen counts instead.
func (p *Pinner) Find(ctx context.Context, q Query) (Pin, *bergamotdale.Refusal) {
	if q.MaxAge <= 0 {
		q.MaxAge = MaxStreamAge
	}
	p.mu.Lock()
	now := p.Clock.Now()
	p.maxAge = max(p.maxAge, min(q.MaxAge, maxLifetime))
	own, found := p.table.Get(now, q.Stream)
	seen := []Versions{p.history.Versions(now, q.Service)}
	mixed := p.isMixed(now, q.Service)
	p.mu.Unlock()
	if found {
		return p.confirmed(ctx, own)
	}
	looked, evidence := false, storeEvidence{}
	if !mixed || !p.Joined() {
		// The store alone can tell, also while the other routers are not known yet.
		looked, evidence = true, p.look(ctx, q)
		if pin, refusal, decided := p.decide(ctx, q, evidence); decided {
			return pin, refusal
		}
	}
	if !p.awaitJoined(ctx) {
		return Pin{}, bergamotdale.Refuse(bergamotdale.CodePeer,
			"this router has just started and knows no other that may know the software version of stream %q", q.Stream).
			After(unconfirmedRetryAfter)
	}
	record, fromPeers, unanswered := p.ask(ctx, q)
	if record != nil {
		p.mu.Lock()
		p.putStored(*record)
		p.mu.Unlock()
		return p.confirmed(ctx, *record)
	}
	if !looked {
		evidence = p.look(ctx, q)
		if pin, refusal, decided := p.decide(ctx, q, evidence); decided {
			return pin, refusal
		}
	}
	if len(fromPeers) == 0 && (unanswered > 0 || !evidence.responded) {
		return Pin{}, bergamotdale.Refuse(bergamotdale.CodePeer,
			"neither the store nor any of %d routers that may know the software version of stream %q has responded", unanswered, q.Stream).
			After(unconfirmedRetryAfter)
	}
	if version, sole := SoleVersion(append(seen, fromPeers...), q.MaxAge); sole && evidence.allows(version) {
		return Pin{Service: q.Service, Version: version}, nil
	}
	if unanswered > 0 {
		return Pin{}, bergamotdale.Refuse(bergamotdale.CodePeer, "%d routers that may know the software version of stream %q have not responded",
			unanswered, q.Stream).After(unconfirmedRetryAfter)
	}
	if !evidence.responded {
		return Pin{}, bergamotdale.Refuse(bergamotdale.CodePeer, "the store, which may know the software version of stream %q, has not responded",
			q.Stream).After(unconfirmedRetryAfter)
	}
	return Pin{}, bergamotdale.Refuse(bergamotdale.CodeVersionUnknown,
		"service %s has or had several software versions, and it is not known which one began stream %q", q.Service, q.Stream)
}

// storeEvidence is what the store shows of a stream and its service.
type storeEvidence struct {
	chronicler.Evidence
	// responded is set if the store has responded.
	responded bool
}

// allows reports whether the store does not contradict that the version is the only one.
func (e storeEvidence) allows(version string) bool {
	return len(e.Versions) == 0 || len(e.Versions) == 1 && e.Versions[0] == version
}

// look reads from the store what it shows of the stream.
func (p *Pinner) look(ctx context.Context, q Query) storeEvidence {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	e, err := p.Chronicle.Look(ctx, q.Stream, q.Service)
	if err != nil {
		p.Logger.Info("store does not tell which software version began a stream", zap.String("stream", q.Stream), zap.Error(err))
	}
	return storeEvidence{e, err == nil}
}

// decide returns the software that began the stream, or a refusal, if the store shows
// enough to tell, and reports whether it does.
func (p *Pinner) decide(ctx context.Context, q Query, e storeEvidence) (Pin, *bergamotdale.Refusal, bool) {
	switch {
	case e.Stream != nil:
		pin, refusal := p.confirmed(ctx, p.put(q.Stream, *e.Stream, q.MaxAge))
		return pin, refusal, true
	case e.Complete && len(e.Versions) == 1:
		return Pin{Service: q.Service, Version: e.Versions[0]}, nil, true
	default:
		return Pin{}, nil, false
	}
}

// awaitJoined waits until the other routers are known, and reports whether they are.
func (p *Pinner) awaitJoined(ctx context.Context) bool {
	for waited := time.Duration(0); !p.Joined(); waited += joinPoll {
		if p.Clock.Now().Sub(p.startedAt) >= joinLimit {
			return true
		}
		if waited >= joinWait || bergamotdale.Wait(ctx, p.Clock, joinPoll) != nil {
			return false
		}
	}
	return true
}

// ask asks routers for the pin of a stream until one has it. It returns the pin, or nil,
// what the routers that responded have seen of the versions of the service, and how
// many did not respond.
func (p *Pinner) ask(ctx context.Context, q Query) (*Record, []Versions, int) {
	var seen []Versions
	unanswered := 0
	routers := p.holders(Record{Stream: q.Stream}, p.Members(), 2*findBatch)
	for first := 0; first < len(routers); first += findBatch {
		batch := routers[first:min(first+findBatch, len(routers))]
		responses := make(chan *FindResponse, len(batch))
		batchCtx, cancel := context.WithTimeout(ctx, callTimeout)
		for _, m := range batch {
			go func() { responses <- p.askOne(batchCtx, m, q) }()
		}
		failed := 0
		for range batch {
			response := <-responses
			switch {
			case response == nil:
				failed++
			case response.Record != nil:
				cancel()
				return response.Record, seen, unanswered
			default:
				seen = append(seen, response.Versions)
			}
		}
		cancel()
		unanswered += failed
		if failed == 0 {
			break
		}
	}
	return nil, seen, unanswered
}

// askOne asks a router for the pin of a stream. It returns nil if it does not respond.
func (p *Pinner) askOne(ctx context.Context, m bergamotdale.Member, q Query) *FindResponse {
	response := &FindResponse{}
	if err := p.Peer.Call(ctx, m.Address, FindPath, FindRequest{Stream: q.Stream, Service: q.Service}, response); err != nil {
		p.Logger.Debug("failed to ask another router for a pin", zap.String("peer", m.ID), zap.String("stream", q.Stream), zap.Error(err))
		return nil
	}
	return response
}
