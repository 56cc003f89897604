package chronicler

import "context"

// WriteStreams writes a document of streams.
func (c *Chronicler) WriteStreams(ctx context.Context, streams []Stream) error {
	return c.writeStreams(ctx, streams)
}
