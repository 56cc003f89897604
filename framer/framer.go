// Package framer cuts a stream of server-sent events into whole events, so that
// a stream that breaks in the middle of an event can continue elsewhere after
// the last whole one.
package framer

import (
	"bytes"

	"github.com/juju/errors"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// Framer collects the bytes of a stream. The zero value is ready.
type Framer struct {
	pending []byte
	lastID  string
	events  int
}

// LastID returns the id of the last whole event that carried one.
func (f *Framer) LastID() string { return f.lastID }

// Events returns the number of whole events.
func (f *Framer) Events() int { return f.events }

// Pending returns the number of bytes of an event that is not whole yet.
func (f *Framer) Pending() int { return len(f.pending) }

// Drop discards the bytes of an event that is not whole.
func (f *Framer) Drop() { f.pending = f.pending[:0] }

// Push adds bytes and returns those of the events that are whole now. The
// result is valid until the next call.
func (f *Framer) Push(p []byte) ([]byte, error) {
	scanned := max(0, len(f.pending)-3)
	f.pending = append(f.pending, p...)
	whole := 0
	for {
		end := eventEnd(f.pending[max(whole, scanned):])
		if end < 0 {
			break
		}
		end += max(whole, scanned)
		f.note(f.pending[whole:end])
		whole = end
	}
	if len(f.pending)-whole > MaxEventBytes {
		return nil, errors.Errorf("an event is larger than %d bytes", MaxEventBytes)
	}
	events := bytes.Clone(f.pending[:whole])
	f.pending = append(f.pending[:0], f.pending[whole:]...)
	return events, nil
}

// eventEnd returns the index behind the first blank line, or -1.
func eventEnd(p []byte) int {
	end := -1
	if i := bytes.Index(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(p, []byte("\n\r\n")); i >= 0 && (end < 0 || i+3 < end) {
		end = i + 3
	}
	return end
}

// note takes in a whole event.
func (f *Framer) note(event []byte) {
	f.events++
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			f.lastID = string(bytes.TrimSpace(id))
		}
	}
}
