// Package recorder keeps the timeline: what happened to which request, chat
// and endpoint, in which process.
//
// Each process has a Ring, a bounded buffer of its latest events. A Filter
// selects events, Handler serves them over HTTP, and Merge orders the events
// of several processes.
package recorder
