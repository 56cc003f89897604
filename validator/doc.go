// Package validator checks the operators' configuration and compiles it into
// the immutable form that traffic reads.
//
// A Document is the configuration as operators write it. Parse reads it
// strictly and reports all faults at once with their positions.
//
// A Config is compiled from a document. It never changes, so any number of
// goroutines read it without locks; a new revision is a new Config.
package validator
