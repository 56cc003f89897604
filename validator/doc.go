// Package validator checks the configuration that operators write and compiles it
// into the immutable form that the request path reads.
//
// A Document is the configuration as operators write it: priority classes,
// models and their adapters, engines, services, workspaces and limits. Parse
// rejects unknown keys, invalid values, duplicates and undeclared references,
// and reports all problems together with their positions.
//
// A Config is compiled from a Document and has look-ups by name and API key. It
// is immutable, so any number of goroutines can read it without locks; a new
// revision of the configuration is a new Config.
package validator
