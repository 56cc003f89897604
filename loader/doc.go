// Package loader reads the process settings of a router strictly and reports
// every fault at once, with file, line and column.
package loader
