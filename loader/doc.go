// Package loader reads the settings file of a router process.
//
// Settings are for a router that serves chat completions and service calls,
// GatewaySettings for a router that forwards HTTP requests by host and path.
// Unknown keys, values of a wrong type and values out of range are errors. All
// errors of a file are reported together, each with file, line and column.
package loader
