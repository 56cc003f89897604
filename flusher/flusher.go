// Package flusher writes the events of a stream to a client in few packets.
//
// On a lossy network path every packet may be lost, and the wait for its
// retransmission delays all later events. Fewer packets mean fewer such stalls.
package flusher

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// flushInterval is the minimum time between two flushes of a stream. Events that
// follow each other faster share a packet. On a path that loses one packet in a
// thousand, every packet saved lowers the number of stalls.
const flushInterval = 50 * time.Millisecond

// Writer writes the events of one stream to a client. Its methods may be called
// concurrently.
type Writer struct {
	writer     http.ResponseWriter
	controller *http.ResponseController

	mu        sync.Mutex
	lastFlush time.Time
	// timer is set while a delayed flush is scheduled.
	timer *time.Timer
	// err is the first failure of a write or flush.
	err error
	// pending is set while written events have not been flushed.
	pending bool
	stopped bool
}

// New returns a Writer for the response w.
func New(w http.ResponseWriter) *Writer {
	return &Writer{writer: w, controller: http.NewResponseController(w)}
}

// Write writes complete events. It flushes them at once if the last flush was at
// least flushInterval ago, and schedules a flush otherwise.
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
	wait := flushInterval - time.Since(w.lastFlush)
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

// flush sends all written events to the client. The lock is held.
func (w *Writer) flush() {
	w.lastFlush, w.pending = time.Now(), false
	if err := w.controller.Flush(); err != nil {
		w.err = errors.Trace(err)
	}
}

// Stop cancels a scheduled flush. If the stream is not complete, Stop flushes the
// pending events. The HTTP server flushes the rest of a complete response itself,
// but an interrupted stream is not ended in that way.
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
