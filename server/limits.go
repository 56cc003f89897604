package server

// Limits of what the server accepts from a client, for checks of a configuration.
const (
	// MaxHeaderBytes is the largest size of the headers of a request.
	MaxHeaderBytes = maxHeaderBytes
	// ReadHeaderTimeout is the longest time in which the headers of a request may arrive.
	ReadHeaderTimeout = readHeaderTimeout
	// DefaultIdleTimeout is how long a connection may be idle if the configuration does not
	// say.
	DefaultIdleTimeout = defaultIdleTimeout
)
