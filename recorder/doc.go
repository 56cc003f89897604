// Package recorder keeps the timeline of the fleet: a log of events that tells
// what happened to which request, chat and endpoint, and in which process.
//
// Each process records its events in a Ring, an in-memory ring buffer that keeps
// the latest ones. A Filter selects events, Ring.Handler serves them over HTTP,
// and Merge combines the events of several processes into one timeline.
package recorder
