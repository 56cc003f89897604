package bergamotdale

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether an endpoint executed a request or call. It tells a client
// whether a retry can execute the work twice.
type Outcome string

const (
	// OutcomeRun means that an endpoint executed the call.
	OutcomeRun Outcome = "run"
	// OutcomeNotRun means that no endpoint has executed the call and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that an endpoint may have executed the call.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the number of a reason why a request was not completed. The numbers are
// part of the API and never change. The table in docs/results.md lists them; a test
// compares it with this file.
type Code int

// Codes of errors in the request itself.
const (
	CodeInvalidJSON        Code = 101
	CodeBodyTooLarge       Code = 102
	CodeInvalidRequest     Code = 103
	CodeMissingKey         Code = 104
	CodeKeyReused          Code = 105
	CodeInvalidCredentials Code = 106
	CodeHeaderTooLarge     Code = 107
	// CodeBodyTooSlow is that of a request whose body arrived too slowly while the router
	// needed the memory for others.
	CodeBodyTooSlow Code = 108
)

// Codes that depend on the configuration in force.
const (
	CodeUnknownWorkspace     Code = 201
	CodeUnknownModel         Code = 202
	CodeUnknownService       Code = 203
	CodeUnknownPriorityClass Code = 204
	CodeModelNotAllowed      Code = 205
	CodeNoConfiguration      Code = 206
	CodeUnknownRoute         Code = 207
	CodeKeysNotConfirmed     Code = 208
)

// Codes of admission control.
const (
	CodeOverloaded       Code = 301
	CodeWaitTooLong      Code = 302
	CodeQuotaExceeded    Code = 303
	CodeQuarantined      Code = 304
	CodeNoEndpoint       Code = 305
	CodeRetryBudgetSpent Code = 306
	CodeStopping         Code = 307
	CodeCrashInDoubt     Code = 308
	CodeVersionUnknown   Code = 309
	CodeVersionGone      Code = 310
	// CodeTooManyConnections is that of a request on a connection in excess.
	CodeTooManyConnections Code = 311
	// CodeMemoryExhausted is that of a request that the router cannot hold now.
	CodeMemoryExhausted Code = 312
)

// Codes of calls that may be executed at most once.
const (
	CodeInProgress       Code = 401
	CodeOutcomeUnknown   Code = 402
	CodeStoreUnavailable Code = 403
	CodeAnswerNotKept    Code = 404
)

// Codes of a failure at an endpoint or of the connection to it.
const (
	CodeEndpointRefused  Code = 501
	CodeEndpointFailed   Code = 502
	CodeStreamLost       Code = 503
	CodeDeadlineExceeded Code = 504
)

// Codes of failures inside the fleet.
const (
	CodeNotOwner Code = 601
	CodeInternal Code = 602
	CodePeer     Code = 603
	// CodePlacedElsewhere tells the entry router to use the endpoint in
	// Refusal.Redirect instead.
	CodePlacedElsewhere Code = 604
)

// codeInfo holds the name and the properties of a code.
type codeInfo struct {
	name   string
	status int
	// retry is true if a later retry of the same request can succeed.
	retry bool
}

var codes = map[Code]codeInfo{
	CodeInvalidJSON:          {"invalid-json", http.StatusBadRequest, false},
	CodeBodyTooLarge:         {"body-too-large", http.StatusRequestEntityTooLarge, false},
	CodeInvalidRequest:       {"invalid-request", http.StatusBadRequest, false},
	CodeMissingKey:           {"missing-idempotency-key", http.StatusBadRequest, false},
	CodeKeyReused:            {"idempotency-key-reused", http.StatusUnprocessableEntity, false},
	CodeInvalidCredentials:   {"invalid-credentials", http.StatusUnauthorized, false},
	CodeHeaderTooLarge:       {"header-too-large", http.StatusRequestHeaderFieldsTooLarge, false},
	CodeBodyTooSlow:          {"body-too-slow", http.StatusRequestTimeout, true},
	CodeUnknownWorkspace:     {"unknown-workspace", http.StatusNotFound, false},
	CodeUnknownModel:         {"unknown-model", http.StatusNotFound, false},
	CodeUnknownService:       {"unknown-service", http.StatusNotFound, false},
	CodeUnknownPriorityClass: {"unknown-priority-class", http.StatusBadRequest, false},
	CodeModelNotAllowed:      {"model-not-allowed", http.StatusForbidden, false},
	CodeNoConfiguration:      {"no-configuration", http.StatusServiceUnavailable, true},
	CodeUnknownRoute:         {"unknown-route", http.StatusNotFound, false},
	CodeKeysNotConfirmed:     {"keys-not-confirmed", http.StatusServiceUnavailable, true},
	CodeOverloaded:           {"overloaded", http.StatusServiceUnavailable, true},
	CodeWaitTooLong:          {"wait-too-long", http.StatusServiceUnavailable, true},
	CodeQuotaExceeded:        {"quota-exceeded", http.StatusTooManyRequests, true},
	CodeQuarantined:          {"quarantined", http.StatusUnprocessableEntity, true},
	CodeNoEndpoint:           {"no-endpoint", http.StatusServiceUnavailable, true},
	CodeRetryBudgetSpent:     {"retry-budget-spent", http.StatusServiceUnavailable, true},
	CodeStopping:             {"stopping", http.StatusServiceUnavailable, true},
	CodeCrashInDoubt:         {"crash-in-doubt", http.StatusServiceUnavailable, true},
	CodeVersionUnknown:       {"version-unknown", http.StatusServiceUnavailable, false},
	CodeVersionGone:          {"version-gone", http.StatusServiceUnavailable, false},
	CodeTooManyConnections:   {"too-many-connections", http.StatusServiceUnavailable, true},
	CodeMemoryExhausted:      {"memory-exhausted", http.StatusServiceUnavailable, true},
	CodeInProgress:           {"in-progress", http.StatusConflict, true},
	CodeOutcomeUnknown:       {"outcome-unknown", http.StatusConflict, false},
	CodeStoreUnavailable:     {"store-unavailable", http.StatusServiceUnavailable, true},
	CodeAnswerNotKept:        {"answer-not-kept", http.StatusConflict, false},
	CodeEndpointRefused:      {"endpoint-refused", http.StatusServiceUnavailable, true},
	CodeEndpointFailed:       {"endpoint-failed", http.StatusBadGateway, false},
	CodeStreamLost:           {"stream-lost", http.StatusBadGateway, true},
	CodeDeadlineExceeded:     {"deadline-exceeded", http.StatusGatewayTimeout, false},
	CodeNotOwner:             {"not-owner", http.StatusMisdirectedRequest, true},
	CodeInternal:             {"internal", http.StatusInternalServerError, false},
	CodePeer:                 {"peer-unreachable", http.StatusBadGateway, true},
	CodePlacedElsewhere:      {"placed-elsewhere", http.StatusMisdirectedRequest, true},
}

// Codes returns all defined codes in no particular order.
func Codes() []Code {
	all := make([]Code, 0, len(codes))
	for c := range codes {
		all = append(all, c)
	}
	return all
}

// String returns the stable kebab-case name of the code.
func (c Code) String() string {
	if info, ok := codes[c]; ok {
		return info.name
	}
	return fmt.Sprintf("code-%d", int(c))
}

// HTTPStatus returns the HTTP status of a response with the code.
func (c Code) HTTPStatus() int {
	if info, ok := codes[c]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// Retryable reports whether a later retry of the same request can succeed.
func (c Code) Retryable() bool {
	return codes[c].retry
}

// Refusal is the final response to a request that the fleet does not complete. It
// implements error, so that all layers can return it unchanged.
type Refusal struct {
	Code    Code
	Message string
	// Outcome is OutcomeNotRun only if no byte of the call was sent to an endpoint
	// or if the endpoint itself refused the call.
	Outcome Outcome
	// RetryAfter is the time after which a retry can succeed, or zero if a retry
	// does not help.
	RetryAfter time.Duration
	// Redirect tells another router where to send the request instead. It is nil in
	// responses to clients.
	Redirect *Redirect
	// Cause is the underlying error. It is logged but not sent to clients.
	Cause error
}

// Redirect is the target to which a router refers another router.
type Redirect struct {
	// Owner is the ID of the router that owns the endpoint or shard as far as the
	// sender knows, and Epoch is the epoch of that ownership.
	Owner string `json:"owner,omitempty"`
	Epoch int64  `json:"epoch,omitempty"`
	// Endpoint is another endpoint of the same model group.
	Endpoint string `json:"endpoint,omitempty"`
}

// Refuse returns a refusal with OutcomeNotRun and a formatted message.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun}
}

// After sets RetryAfter, the time after which a retry can succeed, and returns r.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithOutcome sets the outcome and returns r.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	r.Outcome = o
	return r
}

// WithRedirect sets the target to use instead and returns r.
func (r *Refusal) WithRedirect(redirect Redirect) *Refusal {
	r.Redirect = &redirect
	return r
}

// WithCause sets the underlying error and returns r.
func (r *Refusal) WithCause(err error) *Refusal {
	r.Cause = err
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Cause != nil {
		return fmt.Sprintf("%s (%d): %s: %v", r.Code, int(r.Code), r.Message, r.Cause)
	}
	return fmt.Sprintf("%s (%d): %s", r.Code, int(r.Code), r.Message)
}

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error {
	return r.Cause
}
