package pinner

import (
	"context"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// RegistrationTime is the longest time from the start of an endpoint until its record
	// names the new incarnation.
	RegistrationTime = 300 * time.Millisecond
	// confirmWait is how long a stream that is taken up waits until its pin is certain,
	// and confirmPoll the time between two looks.
	confirmWait = 1500 * time.Millisecond
	confirmPoll = 50 * time.Millisecond
)

// certainty is how certain a pin is.
type certainty int

const (
	certain certainty = iota
	// undecided means that the state is not yet recent enough to tell.
	undecided
	// wrong means that the endpoint may have had another version when it began the
	// stream.
	wrong
)

// confirmed returns the pin of the record once it is certain, or a refusal if it is not.
func (p *Pinner) confirmed(ctx context.Context, r Record) (Pin, *bergamotdale.Refusal) {
	asked := false
	for waited := time.Duration(0); ; waited += confirmPoll {
		switch p.judge(&r) {
		case certain:
			return r.Pin, nil
		case wrong:
			return Pin{}, bergamotdale.Refuse(bergamotdale.CodeVersionUnknown,
				"endpoint %s started again with another software version about when it began stream %q", r.Endpoint, r.Stream)
		}
		if !asked && p.isRunning(ctx, r) {
			p.confirm(r.Stream)
			return r.Pin, nil
		}
		asked = true
		if waited >= confirmWait || bergamotdale.Wait(ctx, p.Clock, confirmPoll) != nil {
			return Pin{}, bergamotdale.Refuse(bergamotdale.CodePeer,
				"this router does not know yet whether endpoint %s had version %q when it began stream %q", r.Endpoint, r.Version, r.Stream).
				After(unconfirmedRetryAfter)
		}
	}
}

// isRunning reports whether the endpoint that began the stream says that it is still the
// same incarnation.
func (p *Pinner) isRunning(ctx context.Context, r Record) bool {
	p.mu.Lock()
	endpoints := p.state.Endpoints(r.Service)
	p.mu.Unlock()
	for _, e := range endpoints {
		if e.ID == r.Endpoint {
			incarnation, err := p.Ask(ctx, e)
			return err == nil && incarnation == r.Incarnation
		}
	}
	return false
}

func (p *Pinner) confirm(stream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Confirm(stream)
}

// judge reports how certain the pin of a record is. An endpoint whose record still
// names the incarnation, in a state from after the first event, had the version.
func (p *Pinner) judge(r *Record) certainty {
	if r.Endpoint == "" {
		return certain
	}
	age, known := p.Age()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	current, ok := p.table.Get(now, r.Stream)
	if !ok {
		return wrong
	}
	*r = current
	if r.Endpoint == "" {
		return certain
	}
	for _, e := range p.state.Endpoints(r.Service) {
		if e.ID == r.Endpoint && e.Incarnation != r.Incarnation && e.Version != r.Version {
			return wrong
		}
	}
	if !known || age+RegistrationTime > time.Duration(r.AgeMS)*time.Millisecond {
		return undecided
	}
	p.table.Confirm(r.Stream)
	return certain
}
