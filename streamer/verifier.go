package streamer

import (
	"io"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// ErrWrongRequest is returned for a frame whose request ID differs from that of
	// the response.
	ErrWrongRequest = errors.ConstError("frame belongs to another request")
	// ErrGap is returned for a data frame whose offset is negative or beyond the
	// next expected token.
	ErrGap = errors.ConstError("gap between frames")
	// ErrIncomplete is returned for an end frame whose length or checksum does not
	// match the received tokens.
	ErrIncomplete = errors.ConstError("response incomplete or altered")
	// ErrAfterEnd is returned for a frame after the final frame.
	ErrAfterEnd = errors.ConstError("frame after the final frame")
	// ErrUnknownKind is returned for a frame of an unknown kind.
	ErrUnknownKind = errors.ConstError("unknown frame kind")
)

// Verifier checks the frames of one response on the receiving side. After an error
// the stream that delivered the frame must be closed; the verifier keeps its
// position, so a new stream can continue there.
type Verifier struct {
	requestID            string
	allowMissingChecksum bool
	position             Position
	ended                bool
}

// NewVerifier returns a verifier that expects the response to the request from the
// position on.
func NewVerifier(requestID string, p Position) *Verifier {
	return &Verifier{requestID: requestID, position: p}
}

// AllowMissingChecksum makes the verifier accept an end frame without a checksum
// and fill in the computed one. Engines send no checksum; from every other
// sender a missing checksum is an error.
func (v *Verifier) AllowMissingChecksum() *Verifier {
	v.allowMissingChecksum = true
	return v
}

// Position returns the position after the last accepted frame.
func (v *Verifier) Position() Position {
	return v.position
}

// Ended reports whether the final frame was accepted.
func (v *Verifier) Ended() bool {
	return v.ended
}

// Accept checks a frame. It returns the frame without the tokens that were already
// accepted, and false if no new token remains in a data frame.
func (v *Verifier) Accept(f bergamotdale.Frame) (bergamotdale.Frame, bool, error) {
	if f.RequestID != v.requestID {
		return f, false, errors.Annotatef(ErrWrongRequest, "request ID %q instead of %q", f.RequestID, v.requestID)
	}
	if v.ended {
		return f, false, ErrAfterEnd
	}
	switch f.Kind {
	case bergamotdale.FrameData:
		return v.acceptData(f)
	case bergamotdale.FrameHeartbeat:
		return f, true, nil
	case bergamotdale.FrameEnd:
		return v.acceptEnd(f)
	case bergamotdale.FrameRefusal:
		v.ended = true
		return f, true, nil
	default:
		return f, false, errors.Annotatef(ErrUnknownKind, "%q", f.Kind)
	}
}

func (v *Verifier) acceptData(f bergamotdale.Frame) (bergamotdale.Frame, bool, error) {
	if f.Offset > v.position.Offset || f.Offset < 0 {
		return f, false, errors.Annotatef(ErrGap, "frame at offset %d, expected offset %d", f.Offset, v.position.Offset)
	}
	f, isNew := TrimBefore(f, v.position.Offset)
	if !isNew {
		return f, false, nil
	}
	v.position = v.position.Add(f.Tokens...)
	return f, true, nil
}

func (v *Verifier) acceptEnd(f bergamotdale.Frame) (bergamotdale.Frame, bool, error) {
	if f.Length != v.position.Offset {
		return f, false, errors.Annotatef(ErrIncomplete, "received %d of %d tokens", v.position.Offset, f.Length)
	}
	sum := v.position.Checksum.String()
	if f.Checksum == "" && v.allowMissingChecksum {
		f.Checksum = sum
	}
	if f.Checksum != sum {
		return f, false, errors.Annotatef(ErrIncomplete, "checksum %q instead of %q", f.Checksum, sum)
	}
	v.ended = true
	return f, true, nil
}

// TrimBefore removes the tokens of a data frame that precede the offset. If no
// token would remain, it returns the frame unchanged and false.
func TrimBefore(f bergamotdale.Frame, offset int) (bergamotdale.Frame, bool) {
	skip := offset - f.Offset
	if skip >= len(f.Tokens) {
		return f, false
	}
	if skip > 0 {
		f.Tokens = f.Tokens[skip:]
		f.Offset = offset
	}
	return f, true
}

// verifiedStream is a FrameStream that checks the frames of another one with a
// Verifier and omits frames without new tokens.
type verifiedStream struct {
	source   bergamotdale.FrameStream
	verifier *Verifier
}

// Verify returns a stream that checks every frame of s with the verifier. Next
// returns the errors of the verifier, and io.ErrUnexpectedEOF if s ends before its
// final frame.
func Verify(s bergamotdale.FrameStream, v *Verifier) bergamotdale.FrameStream {
	return &verifiedStream{source: s, verifier: v}
}

// Next implements bergamotdale.FrameStream.
func (s *verifiedStream) Next() (bergamotdale.Frame, error) {
	for {
		if s.verifier.Ended() {
			return bergamotdale.Frame{}, io.EOF
		}
		f, err := s.source.Next()
		if errors.Is(err, io.EOF) {
			return f, io.ErrUnexpectedEOF
		}
		if err != nil {
			return f, err
		}
		f, isNew, err := s.verifier.Accept(f)
		if err != nil {
			return f, err
		}
		if isNew {
			return f, nil
		}
	}
}

// Close implements bergamotdale.FrameStream.
func (s *verifiedStream) Close() error {
	return s.source.Close()
}
