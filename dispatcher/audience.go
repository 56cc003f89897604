package dispatcher

import (
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/streamer"
)

// reconnectGrace is how long a request without a reader keeps running. It covers
// the time that a client needs to detect a broken connection and reconnect
// through another router.
const reconnectGrace = 10 * time.Second

// requestReaders counts the open streams of one request.
type requestReaders struct {
	count int
	// generation increases with each attached reader, so that the end of an
	// earlier grace period does not cancel a request that was read again in the
	// meantime.
	generation int
}

// attachedStream is a stream to an entry router that counts as a reader of its
// request until it is closed.
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

// attach registers s as a reader of the request. The returned stream inserts
// heartbeats when no frame arrives within the heartbeat interval, also while the
// request waits in the queue.
func (d *Dispatcher) attach(s bergamotdale.FrameStream, c bergamotdale.Completion) bergamotdale.FrameStream {
	id := c.StreamID()
	d.mu.Lock()
	defer d.mu.Unlock()
	readers := d.readers[id]
	if readers == nil {
		readers = &requestReaders{}
		d.readers[id] = readers
	}
	readers.count++
	readers.generation++
	return &attachedStream{
		FrameStream: streamer.NewWatchdog(s, d.Clock, id, streamer.Limits{Heartbeat: streamer.HeartbeatInterval}),
		detach:      func() { d.detach(id, c.Endpoint) },
	}
}

// detach removes a reader of the request. A request without readers is cancelled
// after reconnectGrace.
func (d *Dispatcher) detach(id, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	readers := d.readers[id]
	readers.count--
	if readers.count == 0 {
		go d.cancelAbandoned(id, endpoint, readers.generation)
	}
}

// cancelAbandoned waits for reconnectGrace and cancels the request unless a reader
// was attached in the meantime.
func (d *Dispatcher) cancelAbandoned(id, endpoint string, generation int) {
	if bergamotdale.Wait(d.Context, d.Clock, reconnectGrace) != nil {
		return
	}
	d.mu.Lock()
	readers := d.readers[id]
	if readers == nil || readers.count > 0 || readers.generation != generation {
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
