// Package screener decides whether a request may be forwarded at all: whether
// its route and API key are in the configuration in force, and whether that
// configuration is recent enough to say so.
//
// It answers an outage of the store. A router that cannot hear of revoked API
// keys refuses requests with keys before a revoked one could be used for too
// long, and it does not call a route or key unknown that may just be new.
package screener

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/matcher"
)

const (
	// unconfirmedAge is the age of the configuration from which an unknown
	// route or key may be a new one that this router has not heard of. The
	// store confirms the configuration every one to three seconds.
	unconfirmedAge = 4 * time.Second
	// retryAfter is when a client may try again at another router.
	retryAfter = 500 * time.Millisecond
	// keyMargin covers the time between the check and the start of the work.
	keyMargin = 500 * time.Millisecond
)

// Knowledge is what the router knows at the time of the request.
type Knowledge struct {
	// Table is nil before the first configuration.
	Table *matcher.Table
	// Age is the time since Table was known to be current.
	Age time.Duration
	// MaxKeyAge is the age up to which API keys are trusted; zero means any.
	MaxKeyAge time.Duration
}

// Subject is what a request asks for.
type Subject struct {
	Host        string
	Path        string
	APIKey      string
	HeaderBytes int
	// BodyBytes is the stated size of the body, or -1.
	BodyBytes int64
}

// Verdict is how the request is treated.
type Verdict struct {
	Route *bergamotdale.Route
	// Workspace is empty for anonymous requests.
	Workspace string
	// Priority is 0 for the most urgent work.
	Priority int
}

// KeysTrusted reports whether requests with API keys may be forwarded.
func (k Knowledge) KeysTrusted() bool {
	return k.MaxKeyAge == 0 || k.Age < k.MaxKeyAge-keyMargin
}

// Screen returns how to treat the request, or its refusal.
func Screen(k Knowledge, s Subject) (Verdict, *bergamotdale.Refusal) {
	if k.Table == nil {
		return Verdict{}, bergamotdale.Refuse(bergamotdale.CodeNoConfiguration, "no configuration yet").After(retryAfter)
	}
	limits := k.Table.Limits()
	if limits.HeaderBytes > 0 && s.HeaderBytes > limits.HeaderBytes {
		return Verdict{}, bergamotdale.Refuse(bergamotdale.CodeHeaderTooLarge, "headers of %d bytes, at most %d", s.HeaderBytes, limits.HeaderBytes)
	}
	if limits.BodyBytes > 0 && s.BodyBytes > limits.BodyBytes {
		return Verdict{}, bergamotdale.Refuse(bergamotdale.CodeBodyTooLarge, "body of %d bytes, at most %d", s.BodyBytes, limits.BodyBytes)
	}
	route := k.Table.Route(s.Host, s.Path)
	if route == nil {
		return Verdict{}, k.unknown(bergamotdale.CodeUnknownRoute, "no route for host %q and path %q", s.Host, s.Path)
	}
	v := Verdict{Route: route, Priority: route.Priority}
	if !k.Table.RequiresKey(route) {
		return v, nil
	}
	workspace := k.Table.Workspace(s.APIKey)
	if workspace == nil {
		return Verdict{}, k.unknown(bergamotdale.CodeInvalidCredentials, "the API key belongs to no workspace")
	}
	if !k.KeysTrusted() {
		return Verdict{}, bergamotdale.Refuse(bergamotdale.CodeKeysNotConfirmed,
			"the API keys were last confirmed %s ago", k.Age.Round(time.Millisecond)).After(retryAfter)
	}
	v.Workspace = workspace.Name
	if workspace.Priority != nil {
		v.Priority = *workspace.Priority
	}
	return v, nil
}

// unknown refuses what the configuration does not have, unless it may have
// changed since it was confirmed.
func (k Knowledge) unknown(code bergamotdale.Code, format string, args ...any) *bergamotdale.Refusal {
	if k.Age >= unconfirmedAge {
		return bergamotdale.Refuse(bergamotdale.CodeNoConfiguration,
			"the configuration was last confirmed %s ago", k.Age.Round(time.Millisecond)).After(retryAfter)
	}
	return bergamotdale.Refuse(code, format, args...)
}
