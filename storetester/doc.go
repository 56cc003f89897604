// Package storetester holds an in-memory bergamotdale.Store and a manual
// bergamotdale.Clock for tests.
//
// The store follows the port exactly: versions are modification indices that
// rise over all keys, leases expire on the given clock, and a blocked Watch
// counts as one call. Faults are switched on by the test: an outage, a write
// that takes effect although its response is lost, a write that is lost before
// it takes effect, and a hook before each call that can interleave another
// writer.
package storetester
