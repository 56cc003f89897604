package bergamotdale

import "context"

// Peer sends messages to other routers. Address is host:port and path is
// below /peer/v1/, for example "ping".
type Peer interface {
	// Call sends the request as JSON and decodes the response into response.
	// A refusal by the peer is returned as *Refusal. A connection that could
	// not be opened is a *Refusal with CodePeer and OutcomeNotRun; a response
	// that was lost has CodePeer and OutcomeUnknown.
	Call(ctx context.Context, address, path string, request, response any) error
	// Stream sends the request as JSON and reads the response as frames.
	Stream(ctx context.Context, address, path string, request any) (FrameStream, error)
}
