package streamer

import (
	"github.com/bergamotdale/bergamotdale"
)

// Framer builds the frames of one response on the sending side and tracks their
// offset and checksum. It is not safe for concurrent use.
type Framer struct {
	requestID string
	position  Position
}

// NewFramer returns a framer that continues the response of the request at the
// position. The zero position starts a new response.
func NewFramer(requestID string, p Position) *Framer {
	return &Framer{requestID: requestID, position: p}
}

// Position returns the position after the last data frame.
func (f *Framer) Position() Position {
	return f.position
}

// Data returns the next data frame.
func (f *Framer) Data(tokens ...string) bergamotdale.Frame {
	frame := bergamotdale.Frame{
		RequestID: f.requestID,
		Kind:      bergamotdale.FrameData,
		Offset:    f.position.Offset,
		Tokens:    tokens,
	}
	f.position = f.position.Add(tokens...)
	return frame
}

// Heartbeat returns a heartbeat frame at the current offset.
func (f *Framer) Heartbeat() bergamotdale.Frame {
	return heartbeatFrame(f.requestID, f.position.Offset)
}

// End returns the end frame of the complete response.
func (f *Framer) End(finishReason string) bergamotdale.Frame {
	return bergamotdale.Frame{
		RequestID:    f.requestID,
		Kind:         bergamotdale.FrameEnd,
		Offset:       f.position.Offset,
		Length:       f.position.Offset,
		Checksum:     f.position.Checksum.String(),
		FinishReason: finishReason,
	}
}

// Refuse returns the refusal frame that ends a response that is not completed.
func (f *Framer) Refuse(r *bergamotdale.Refusal) bergamotdale.Frame {
	return RefusalFrame(f.requestID, f.position.Offset, r)
}

func heartbeatFrame(requestID string, offset int) bergamotdale.Frame {
	return bergamotdale.Frame{RequestID: requestID, Kind: bergamotdale.FrameHeartbeat, Offset: offset}
}

// RefusalFrame returns the refusal frame that ends the response at the offset.
func RefusalFrame(requestID string, offset int, r *bergamotdale.Refusal) bergamotdale.Frame {
	return bergamotdale.Frame{
		RequestID: requestID,
		Kind:      bergamotdale.FrameRefusal,
		Offset:    offset,
		Refusal:   r.Wire(requestID),
	}
}
