package streamer

import "github.com/bergamotdale/bergamotdale"

// ResumePosition returns the position at which the client resumes the response.
// It is the zero position if the client starts at the first token.
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
