package streamer

import "github.com/bergamotdale/bergamotdale"

// ResumePosition returns the position from which the client wants tokens.
func ResumePosition(c bergamotdale.Completion) (Position, error) {
	if c.ResumeFrom == 0 {
		return Position{}, nil
	}
	checksum, err := ParseChecksum(c.ResumeChecksum)
	if err != nil {
		return Position{}, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest,
			"the checksum at the resume offset is not valid").WithCause(err)
	}
	return Position{Offset: c.ResumeFrom, Checksum: checksum}, nil
}
