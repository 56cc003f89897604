package dispatcher

import (
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/streamer"
)

// reconnectGrace is how long a request without a reader keeps running. It
// covers the time in which a client notices a broken connection and comes back
// through another router.
const reconnectGrace = 10 * time.Second

// audience counts the readers of one request.
type audience struct {
	readers int
	// generation changes with each reader, so that an old grace period does
	// not cancel a request that was read again in between.
	generation int
}

// attachedStream is a stream to an entry router that counts as a reader.
type attachedStream struct {
	bergamotdale.FrameStream
	detach func()
	once   sync.Once
}

// Close implements bergamotdale.FrameStream.
func (s *attachedStream) Close() error {
	s.once.Do(s.detach)
	return s.FrameStream.Close()
}

// attach counts a reader of the request. Its stream has heartbeats wherever no
// frame comes in time, also while the request waits in the queue.
func (d *Dispatcher) attach(s bergamotdale.FrameStream, c bergamotdale.Completion) bergamotdale.FrameStream {
	id := c.StreamID()
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.readers[id]
	if a == nil {
		a = &audience{}
		d.readers[id] = a
	}
	a.readers++
	a.generation++
	return &attachedStream{
		FrameStream: streamer.NewWatchdog(s, d.Clock, id, streamer.Limits{Heartbeat: streamer.HeartbeatInterval}),
		detach:      func() { d.detach(id, c.Endpoint) },
	}
}

// detach removes a reader. A request without readers is cancelled after the
// grace period.
func (d *Dispatcher) detach(id, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.readers[id]
	a.readers--
	if a.readers == 0 {
		go d.cancelAbandoned(id, endpoint, a.generation)
	}
}

// cancelAbandoned cancels the request if nobody has read it again meanwhile.
func (d *Dispatcher) cancelAbandoned(id, endpoint string, generation int) {
	if bergamotdale.Wait(d.Context, d.Clock, reconnectGrace) != nil {
		return
	}
	d.mu.Lock()
	a := d.readers[id]
	if a == nil || a.readers > 0 || a.generation != generation {
		d.mu.Unlock()
		return
	}
	delete(d.readers, id)
	admission := d.admissions[endpoint]
	d.mu.Unlock()
	if admission != nil {
		admission.Cancel(id)
	}
}
