package relayer

// DefaultTimeout is the time limit of requests on a route without a timeout, for checks of a
// configuration.
const DefaultTimeout = defaultTimeout
