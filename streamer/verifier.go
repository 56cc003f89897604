package streamer

import (
	"io"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// ErrForeign is returned for a frame of another request.
	ErrForeign = errors.ConstError("frame of another request")
	// ErrGap is returned for a frame that skips tokens.
	ErrGap = errors.ConstError("gap between frames")
	// ErrIncomplete is returned for an end whose length or checksum differs
	// from the tokens received.
	ErrIncomplete = errors.ConstError("response incomplete or altered")
	// ErrAfterEnd is returned for a frame after the final frame.
	ErrAfterEnd = errors.ConstError("frame after the end")
	// ErrKind is returned for a frame of an unknown kind.
	ErrKind = errors.ConstError("unknown frame kind")
)

// Verifier checks the frames of one response on the receiving side. After an
// error the stream that delivered the frame must be given up; the verifier
// keeps its position for a resumed stream.
type Verifier struct {
	requestID string
	unsealed  bool
	position  Position
	ended     bool
}

// NewVerifier returns a verifier that expects the response of the request from
// the position on.
func NewVerifier(requestID string, p Position) *Verifier {
	return &Verifier{requestID: requestID, position: p}
}

// AllowUnsealed makes the verifier accept an end frame without a checksum and
// fill it in. Engines send none; on every other hop a missing checksum is an
// error.
func (v *Verifier) AllowUnsealed() *Verifier {
	v.unsealed = true
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

// Accept checks a frame. It returns the frame without the tokens that were
// accepted before, and false where nothing new remains.
func (v *Verifier) Accept(f bergamotdale.Frame) (bergamotdale.Frame, bool, error) {
	if f.RequestID != v.requestID {
		return f, false, errors.Annotatef(ErrForeign, "%q instead of %q", f.RequestID, v.requestID)
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
		return f, false, errors.Annotatef(ErrKind, "%q", f.Kind)
	}
}

func (v *Verifier) acceptData(f bergamotdale.Frame) (bergamotdale.Frame, bool, error) {
	if f.Offset > v.position.Offset || f.Offset < 0 {
		return f, false, errors.Annotatef(ErrGap, "frame at %d, expected %d", f.Offset, v.position.Offset)
	}
	f, fresh := Trim(f, v.position.Offset)
	if !fresh {
		return f, false, nil
	}
	v.position = v.position.Add(f.Tokens...)
	return f, true, nil
}

func (v *Verifier) acceptEnd(f bergamotdale.Frame) (bergamotdale.Frame, bool, error) {
	if f.Length != v.position.Offset {
		return f, false, errors.Annotatef(ErrIncomplete, "%d of %d tokens", v.position.Offset, f.Length)
	}
	sum := v.position.Checksum.String()
	if f.Checksum == "" && v.unsealed {
		f.Checksum = sum
	}
	if f.Checksum != sum {
		return f, false, errors.Annotatef(ErrIncomplete, "checksum %q instead of %q", f.Checksum, sum)
	}
	v.ended = true
	return f, true, nil
}

// Trim removes the tokens of a data frame before the offset. It returns false
// where no token remains.
func Trim(f bergamotdale.Frame, offset int) (bergamotdale.Frame, bool) {
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

// verified is a FrameStream whose frames pass a verifier.
type verified struct {
	source   bergamotdale.FrameStream
	verifier *Verifier
}

// Verify returns the stream with every frame checked. An error of the verifier
// is returned by Next like a cut stream. A stream that ends before its final
// frame returns io.ErrUnexpectedEOF.
func Verify(s bergamotdale.FrameStream, v *Verifier) bergamotdale.FrameStream {
	return &verified{source: s, verifier: v}
}

// Next implements bergamotdale.FrameStream.
func (s *verified) Next() (bergamotdale.Frame, error) {
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
		f, fresh, err := s.verifier.Accept(f)
		if err != nil {
			return f, err
		}
		if fresh {
			return f, nil
		}
	}
}

// Close implements bergamotdale.FrameStream.
func (s *verified) Close() error {
	return s.source.Close()
}
