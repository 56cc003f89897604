// Package storetester provides an in-memory bergamotdale.Store and a manually
// advanced bergamotdale.Clock for tests.
//
// The store implements the interface exactly: versions are modification indices
// that rise over all keys, leases expire on the given clock, and a blocked Watch
// counts as one call. A test can inject faults: an outage, a write that takes
// effect although its response is lost, and a write that is lost before it takes
// effect. A hook before each call lets a test fail single calls or run another
// writer in between.
package storetester
