package pinner

import (
	"time"

	"github.com/bergamotdale/bergamotdale/chronicler"
)

// addUnrecorded marks a stream of this router for the store. The lock is held.
func (p *Pinner) addUnrecorded(stream string) {
	if len(p.unrecorded) >= maxPins {
		return
	}
	p.unrecorded = append(p.unrecorded, stream)
	select {
	case p.newStreams <- struct{}{}:
	default:
	}
}

// NewStreams returns a channel that receives a value after Unrecorded has got another
// stream.
func (p *Pinner) NewStreams() <-chan struct{} { return p.newStreams }

// recordOwn marks the streams of this router for the store whose services have several
// versions. They may have begun before the second one appeared.
func (p *Pinner) recordOwn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	marked := make(map[string]bool, len(p.unrecorded))
	for _, stream := range p.unrecorded {
		marked[stream] = true
	}
	now := p.Clock.Now()
	for _, r := range p.table.Records(now) {
		if r.Origin == p.Self && !marked[r.Stream] && p.isMixed(now, r.Service) {
			p.addUnrecorded(r.Stream)
		}
	}
}

// Unrecorded returns streams of this router that are not in the store and have to be.
// Recorded removes them.
func (p *Pinner) Unrecorded(limit int) []chronicler.Stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var streams []chronicler.Stream
	left := p.unrecorded[:0]
	for _, id := range p.unrecorded {
		r, ok := p.table.Get(now, id)
		if !ok {
			continue
		}
		left = append(left, id)
		if len(streams) < limit {
			streams = append(streams, chronicler.Stream{
				Hash: chronicler.HashStream(id), Service: r.Service, Version: r.Version,
				Endpoint: r.Endpoint, Incarnation: r.Incarnation, AgeMS: r.AgeMS,
			})
		}
	}
	p.unrecorded = left
	return streams
}

// Recorded removes the streams that are in the store now from those that have to be.
func (p *Pinner) Recorded(streams []chronicler.Stream) {
	recorded := make(map[uint64]bool, len(streams))
	for _, s := range streams {
		recorded[s.Hash] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.unrecorded[:0]
	for _, id := range p.unrecorded {
		if !recorded[chronicler.HashStream(id)] {
			left = append(left, id)
		}
	}
	p.unrecorded = left
}

// put adds what the store shows of a stream and returns its pin.
func (p *Pinner) put(stream string, s chronicler.Stream, maxAge time.Duration) Record {
	r := Record{
		Stream: stream, Pin: Pin{Service: s.Service, Version: s.Version},
		Source: Source{Endpoint: s.Endpoint, Incarnation: s.Incarnation, AgeMS: s.AgeMS}, LifetimeMS: max(1, maxAge.Milliseconds()),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Put(p.Clock.Now(), r)
	return r
}
