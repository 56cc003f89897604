// Package auditor checks a version of the traffic configuration before the operators send
// it: whether it means what it says, and what it changes. A router follows whatever decodes,
// so an entry that never matches or a key that is gone shows only in the traffic.
//
// It has no I/O. API keys are never part of a finding as a whole.
package auditor

import (
	"fmt"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// Severity says what follows from a finding.
type Severity string

const (
	// SeverityError is that of a finding because of which the version should not be sent.
	SeverityError Severity = "error"
	// SeverityWarning is that of a finding that may be intended and takes something away.
	SeverityWarning Severity = "warning"
	// SeverityInfo is that of any other difference.
	SeverityInfo Severity = "info"
)

// Kind groups findings.
type Kind string

const (
	// KindInvalid is a value that the format does not allow.
	KindInvalid Kind = "invalid"
	// KindNeverMatches is an entry that no request can reach.
	KindNeverMatches Kind = "never-matches"
	// KindContradiction is a pair of values of which one makes the other pointless.
	KindContradiction Kind = "contradiction"
	// KindDifference is a difference from the version in force.
	KindDifference Kind = "difference"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     Kind     `json:"kind"`
	// Path locates the value in the checked version, for example routes[2].timeout. It is
	// that of the list if the entry is missing there.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Bounds are what a router accepts or assumes, whatever the configuration says. Zero leaves
// a check out.
type Bounds struct {
	// HeaderBytes and HeaderTimeout bound the headers of a request.
	HeaderBytes   int
	HeaderTimeout time.Duration
	// DefaultTimeout applies to routes without a timeout, and DefaultIdleTimeout to
	// connections if the limits have none.
	DefaultTimeout     time.Duration
	DefaultIdleTimeout time.Duration
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	for _, f := range findings {
		if f.Severity == SeverityError {
			return true
		}
	}
	return false
}

// Check returns what is wrong with a version by itself.
func Check(config *bergamotdale.TrafficConfig, bounds Bounds) []Finding {
	a := &audit{config: config, bounds: bounds}
	if config.Version < 1 {
		a.fail(KindInvalid, "version", "version %d is not positive", config.Version)
	}
	a.checkRoutes()
	a.checkServices()
	a.checkLimits()
	a.checkWorkspaces()
	return a.findings
}

// audit collects the findings of a check.
type audit struct {
	config   *bergamotdale.TrafficConfig
	bounds   Bounds
	findings []Finding
}

// add adds a finding.
func (a *audit) add(severity Severity, kind Kind, path, format string, args ...any) {
	a.findings = append(a.findings, Finding{Severity: severity, Kind: kind, Path: path, Message: fmt.Sprintf(format, args...)})
}

// fail adds an error.
func (a *audit) fail(kind Kind, path, format string, args ...any) {
	a.add(SeverityError, kind, path, format, args...)
}

// checkName checks the name of entry number i of a list. seen holds the earlier ones.
func (a *audit) checkName(list string, i int, name string, seen map[string]int) {
	path := fmt.Sprintf("%s[%d].name", list, i)
	first, repeated := seen[name]
	switch {
	case name == "":
		a.fail(KindInvalid, path, "the name is missing")
	case repeated:
		a.fail(KindInvalid, path, "%q is also the name of %s[%d]", name, list, first)
	default:
		seen[name] = i
	}
}

// checkServices checks the services.
func (a *audit) checkServices() {
	used := usedServices(a.config)
	seen := map[string]int{}
	for i := range a.config.Services {
		s := &a.config.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		a.checkName("services", i, s.Name, seen)
		if !used[s.Name] {
			a.fail(KindNeverMatches, path, "no route that can match sends requests to service %q", s.Name)
		}
		if s.ColdRate > 0 && s.ColdStart <= 0 {
			a.add(SeverityWarning, KindContradiction, path+".cold-start", "service %q limits the rate of a cold endpoint to %v/s, but a start takes no time", s.Name, s.ColdRate)
		}
		if s.ColdStart > 0 && s.ColdRate <= 0 {
			a.fail(KindContradiction, path+".cold-rate", "endpoints of service %q are cold for %s after a start, but no rate is stated", s.Name, s.ColdStart)
		}
	}
}

// checkLimits checks the limits of clients.
func (a *audit) checkLimits() {
	l, b := a.config.Limits, a.bounds
	for _, limit := range []struct {
		path  string
		value int64
	}{
		{"limits.header-bytes", int64(l.HeaderBytes)},
		{"limits.body-bytes", l.BodyBytes},
		{"limits.header-timeout", int64(l.HeaderTimeout)},
		{"limits.idle-timeout", int64(l.IdleTimeout)},
	} {
		if limit.value < 0 {
			a.fail(KindInvalid, limit.path, "the limit is negative")
		}
	}
	if b.HeaderBytes > 0 && l.HeaderBytes > b.HeaderBytes {
		a.fail(KindContradiction, "limits.header-bytes", "the server accepts headers of %d bytes at most, so a limit of %d is never reached", b.HeaderBytes, l.HeaderBytes)
	}
	if b.HeaderTimeout > 0 && l.HeaderTimeout > b.HeaderTimeout {
		a.fail(KindContradiction, "limits.header-timeout", "the server waits %s for headers at most, so a limit of %s is never reached", b.HeaderTimeout, l.HeaderTimeout)
	}
	idle := l.IdleTimeout
	if idle == 0 {
		idle = b.DefaultIdleTimeout
	}
	if idle > 0 && idle < l.HeaderTimeout {
		a.add(SeverityWarning, KindContradiction, "limits.idle-timeout", "a connection may be idle for %s, which is shorter than the %s in which headers may arrive", idle, l.HeaderTimeout)
	}
}
