// Package screener decides whether a request may be forwarded: whether its route
// and API key are in the current configuration, and whether that configuration is
// recent enough to decide it.
//
// The age of the configuration matters while the store is not available. A router
// that does not learn of revoked API keys refuses requests with keys after a
// limited time, so that a revoked key can't be used for longer. It also doesn't
// refuse a route or key as unknown that may have been added in the meantime.
package screener

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/matcher"
)

const (
	// staleAge is the age of the configuration from which an unknown route or key
	// may be a new one that this router does not have yet. The store confirms the
	// configuration every one to three seconds.
	staleAge = 4 * time.Second
	// retryAfter is how long a client waits before it retries at another router.
	retryAfter = 500 * time.Millisecond
	// keyMargin is subtracted from the maximum key age. It covers the time between
	// the check of the key and the start of the request at an endpoint.
	keyMargin = 500 * time.Millisecond
)

// ConfigState is the configuration that the router has at the time of a request,
// and its age.
type ConfigState struct {
	// Table is nil until the router has received a configuration.
	Table *matcher.Table
	// Age is the time since Table was last confirmed to be current.
	Age time.Duration
	// MaxKeyAge is the age up to which API keys are trusted; zero means no limit.
	MaxKeyAge time.Duration
}

// Request holds the properties of a request that decide whether it is forwarded.
type Request struct {
	Host        string
	Path        string
	APIKey      string
	HeaderBytes int
	// BodyBytes is the declared size of the body, or -1 if it is unknown.
	BodyBytes int64
}

// Admission says how an accepted request is handled.
type Admission struct {
	Route *bergamotdale.Route
	// Workspace is empty for anonymous requests.
	Workspace string
	// Priority is 0 for the most urgent requests and higher for less urgent ones.
	Priority int
}

// KeysTrusted reports whether the configuration is recent enough to forward
// requests with API keys.
func (state ConfigState) KeysTrusted() bool {
	return state.MaxKeyAge == 0 || state.Age < state.MaxKeyAge-keyMargin
}

// Screen returns the admission of the request, or the refusal if it may not be
// forwarded.
func Screen(state ConfigState, request Request) (Admission, *bergamotdale.Refusal) {
	if state.Table == nil {
		return Admission{}, bergamotdale.Refuse(bergamotdale.CodeNoConfiguration, "this router has not received a configuration yet").After(retryAfter)
	}
	limits := state.Table.Limits()
	if limits.HeaderBytes > 0 && request.HeaderBytes > limits.HeaderBytes {
		return Admission{}, bergamotdale.Refuse(bergamotdale.CodeHeaderTooLarge, "the headers have %d bytes, the limit is %d", request.HeaderBytes, limits.HeaderBytes)
	}
	if limits.BodyBytes > 0 && request.BodyBytes > limits.BodyBytes {
		return Admission{}, bergamotdale.Refuse(bergamotdale.CodeBodyTooLarge, "the body has %d bytes, the limit is %d", request.BodyBytes, limits.BodyBytes)
	}
	route := state.Table.Route(request.Host, request.Path)
	if route == nil {
		return Admission{}, state.refuseUnknown(bergamotdale.CodeUnknownRoute, "no route for host %q and path %q", request.Host, request.Path)
	}
	admission := Admission{Route: route, Priority: route.Priority}
	if !state.Table.RequiresKey(route) {
		return admission, nil
	}
	workspace := state.Table.Workspace(request.APIKey)
	if workspace == nil {
		return Admission{}, state.refuseUnknown(bergamotdale.CodeInvalidCredentials, "the API key belongs to no workspace")
	}
	if !state.KeysTrusted() {
		return Admission{}, bergamotdale.Refuse(bergamotdale.CodeKeysNotConfirmed,
			"the API keys were last confirmed %s ago", state.Age.Round(time.Millisecond)).After(retryAfter)
	}
	admission.Workspace = workspace.Name
	if workspace.Priority != nil {
		admission.Priority = *workspace.Priority
	}
	return admission, nil
}

// refuseUnknown returns the refusal for a route or key that the configuration does
// not have. If the configuration is stale, the refusal says so instead.
func (state ConfigState) refuseUnknown(code bergamotdale.Code, format string, args ...any) *bergamotdale.Refusal {
	if state.Age >= staleAge {
		return bergamotdale.Refuse(bergamotdale.CodeNoConfiguration,
			"the configuration was last confirmed %s ago", state.Age.Round(time.Millisecond)).After(retryAfter)
	}
	return bergamotdale.Refuse(code, format, args...)
}
