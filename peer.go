package bergamotdale

import "context"

// Peer is the client of other routers. The address argument is host:port, and the path
// argument is relative to /peer/v1/, for example "ping".
type Peer interface {
	// Call sends the request as JSON and decodes the response into response. It
	// returns a refusal by the other router as *Refusal. If no connection could be
	// opened, it returns a *Refusal with CodePeer and OutcomeNotRun; if the response
	// was lost, one with CodePeer and OutcomeUnknown.
	Call(ctx context.Context, address, path string, request, response any) error
	// Stream sends the request as JSON and returns the frames of the response.
	Stream(ctx context.Context, address, path string, request any) (FrameStream, error)
}
