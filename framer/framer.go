// Package framer splits a stream of server-sent events into complete events. If a
// stream breaks in the middle of an event, another endpoint can continue it after
// the last complete one.
package framer

import (
	"bytes"

	"github.com/juju/errors"
)

// DefaultMaxEvent is the default of Framer.MaxEvent in bytes.
const DefaultMaxEvent = 64 << 10

// Framer buffers the bytes of a stream until they form complete events. The zero
// value is ready to use. Exported fields are set before the first call.
type Framer struct {
	// MaxEvent is the largest size in bytes of an incomplete event. Zero selects
	// DefaultMaxEvent.
	MaxEvent int

	// pending holds the bytes of the incomplete event.
	pending []byte
	lastID  string
	events  int
}

// LastID returns the id of the last complete event that had one.
func (f *Framer) LastID() string { return f.lastID }

// EventCount returns the number of complete events. Comments are none.
func (f *Framer) EventCount() int { return f.events }

// Pending returns the number of buffered bytes of an incomplete event.
func (f *Framer) Pending() int { return len(f.pending) }

// DiscardPending discards the buffered bytes of an incomplete event.
func (f *Framer) DiscardPending() { f.pending = f.pending[:0] }

// Push adds bytes of the stream and returns the bytes of the events that are now
// complete. The result is valid until the next call.
func (f *Framer) Push(p []byte) ([]byte, error) {
	// The last 3 bytes are searched again, because a blank line may be split
	// between two calls.
	scanned := max(0, len(f.pending)-3)
	f.pending = append(f.pending, p...)
	complete := 0
	for {
		end := eventEnd(f.pending[max(complete, scanned):])
		if end < 0 {
			break
		}
		end += max(complete, scanned)
		f.recordEvent(f.pending[complete:end])
		complete = end
	}
	if limit := f.maxEvent(); len(f.pending)-complete > limit {
		return nil, errors.Errorf("the incomplete server-sent event is larger than %d bytes", limit)
	}
	events := bytes.Clone(f.pending[:complete])
	f.pending = append(f.pending[:0], f.pending[complete:]...)
	return events, nil
}

// maxEvent returns the limit of an incomplete event.
func (f *Framer) maxEvent() int {
	if f.MaxEvent > 0 {
		return f.MaxEvent
	}
	return DefaultMaxEvent
}

// eventEnd returns the index after the first blank line, which ends an event, or
// -1. It reads the bytes once, so that many short events cost no more than one long
// one.
func eventEnd(p []byte) int {
	for i := bytes.IndexByte(p, '\n'); i >= 0; {
		rest := p[i+1:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 3
		}
		next := bytes.IndexByte(rest, '\n')
		if next < 0 {
			return -1
		}
		i += 1 + next
	}
	return -1
}

// recordEvent counts a complete event and records its id, if it has one. Lines
// that start with a colon are comments, which servers send to keep connections
// open.
func (f *Framer) recordEvent(event []byte) {
	hasField := false
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		hasField = hasField || len(line) > 0 && line[0] != ':'
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			f.lastID = string(bytes.TrimSpace(id))
		}
	}
	if hasField {
		f.events++
	}
}
