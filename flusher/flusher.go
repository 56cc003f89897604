// Package flusher writes the events of a stream to a client in few packets.
//
// It answers a lossy path: each packet is a chance of a stall, which delays all
// events behind it.
package flusher

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// flushInterval is the least time between two packets of a stream to a client.
// Events that follow each other faster share a packet: on a path that loses one
// packet in a thousand, each packet less is a stall less.
const flushInterval = 50 * time.Millisecond

// Writer writes the events of one stream.
type Writer struct {
	writer  http.ResponseWriter
	control *http.ResponseController

	mu      sync.Mutex
	flushed time.Time
	timer   *time.Timer
	err     error
	// pending is set while written events have not been sent.
	pending bool
	stopped bool
}

// New returns a writer to the client.
func New(w http.ResponseWriter) *Writer {
	return &Writer{writer: w, control: http.NewResponseController(w)}
}

// Write passes on whole events, at once if the last packet is long enough ago.
func (w *Writer) Write(events []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	if _, err := w.writer.Write(events); err != nil {
		w.err = errors.Trace(err)
		return w.err
	}
	w.pending = true
	wait := flushInterval - time.Since(w.flushed)
	if wait <= 0 {
		w.flush()
		return w.err
	}
	if w.timer == nil {
		w.timer = time.AfterFunc(wait, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.timer = nil
			if !w.stopped {
				w.flush()
			}
		})
	}
	return nil
}

// flush sends what was written. The lock is held.
func (w *Writer) flush() {
	w.flushed, w.pending = time.Now(), false
	if err := w.control.Flush(); err != nil {
		w.err = errors.Trace(err)
	}
}

// Stop sends what is left and ends delayed sending. The end of a response sends
// the rest by itself, but a stream that breaks off has no such end.
func (w *Writer) Stop(complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.pending && !complete {
		w.flush()
	}
}
