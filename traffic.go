package bergamotdale

import (
	"net/http"
	"time"
)

// RouteKind states how often the work behind a request may be executed.
type RouteKind string

const (
	// RouteIdempotent is the kind of requests that may be executed repeatedly.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce is the kind of requests that may be executed once.
	RouteAtMostOnce RouteKind = "at-most-once"
	// RouteStream is the kind of requests that are answered by a stream of
	// events. They may be executed once, unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// RouteTarget is a service that a route leads to.
type RouteTarget struct {
	Service string
	// Weight is the share of the route's requests relative to the sum of the
	// weights of the route.
	Weight int
}

// Route selects requests by host and path prefix and states how they are
// treated.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Targets is never empty.
	Targets []RouteTarget
	// Timeout bounds the time until the end of the response. Zero means none.
	Timeout time.Duration
	// Objective is the latency objective: to the response, or to the first
	// event of a stream.
	Objective time.Duration
	// Priority is 0 for the most urgent work.
	Priority int
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	// Resumable streams may continue at another endpoint after the last event.
	Resumable bool
}

// Idempotent reports whether a request of the route may be executed again.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// TrafficService describes the endpoints of a service.
type TrafficService struct {
	Name string
	// CopiesCache states that endpoints can copy cached prompts from each
	// other.
	CopiesCache bool
}

// TrafficLimits bound what clients may send.
type TrafficLimits struct {
	HeaderBytes int
	BodyBytes   int64
}

// WorkspaceKeys holds the API keys of a workspace.
type WorkspaceKeys struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if it is set.
	Priority *int
}

// TrafficConfig is one version of the routes, services and API keys that the
// operators declare.
type TrafficConfig struct {
	Version  int64
	Routes   []Route
	Services []TrafficService
	Limits   TrafficLimits
	// Workspaces is empty where no API keys are in use.
	Workspaces []WorkspaceKeys
}

// EndpointRecord is an endpoint as it registered itself.
type EndpointRecord struct {
	// ID changes with most restarts of the endpoint.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Draining endpoints get no new work.
	Draining bool
	// Incarnation tells apart the starts of an endpoint that keeps its ID.
	Incarnation int64
}

// PromptPart is a run of tokens of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Envelope is what the headers of a client's request say about it.
type Envelope struct {
	// RequestID is unique for each attempt of a client.
	RequestID string
	// APIKey is empty in anonymous requests.
	APIKey string
	// TimeLeft is how long the client waits; zero if it does not say.
	TimeLeft time.Duration
	// Model and Parts are empty for requests without a prompt. The last part
	// belongs to the request or its chat; the others are shared.
	Model string
	Parts []PromptPart
	// PromptTokens and OutputTokens bound the size of a generation.
	PromptTokens int
	OutputTokens int
	// ResumeAfter is the id of the last event that the client has received, and
	// empty at the start of a stream.
	ResumeAfter string
}

// AttemptHeaders is what a router states about one attempt of a request.
type AttemptHeaders struct {
	// EndpointID makes every other endpoint refuse the request.
	EndpointID string
	// Workspace is the owner of the API key; empty for anonymous requests.
	Workspace string
	// TimeLeft is the time that the endpoint may take.
	TimeLeft time.Duration
	// Priority is 0 for the most urgent work; negative for the default.
	Priority int
	// ResumeAfter continues a stream after the event with the id.
	ResumeAfter string
	// CopyFrom is the address of an endpoint from which the endpoint copies
	// what that one has cached of the prompt; empty for none.
	CopyFrom string
}

// ResponseInfo is what the headers of an endpoint's response say about it.
type ResponseInfo struct {
	// RequestID is the request that the response belongs to.
	RequestID string
	// NotExecuted states that the endpoint has not executed the request and
	// never will.
	NotExecuted bool
	// Signed states that the response carries the endpoint's signature.
	Signed bool
}

// Dialect translates between the HTTP headers and documents of a deployment
// and the types of the fleet. It decides nothing.
type Dialect interface {
	// Envelope reads the headers of a client's request.
	Envelope(h http.Header) (Envelope, error)
	// AttemptHeader returns the headers of an attempt, made from those of the
	// client's request.
	AttemptHeader(client http.Header, a AttemptHeaders) http.Header
	// ResponseInfo reads the headers of an endpoint's response.
	ResponseInfo(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the headers of an endpoint's response that belong
	// to the client's.
	ResponseHeader(endpoint http.Header) http.Header
	// RefusalHeader sets the headers of a refusal.
	RefusalHeader(h http.Header, requestID string)
	// TrafficConfig decodes the document of the operators.
	TrafficConfig(data []byte) (*TrafficConfig, error)
	// EndpointRecord decodes the record that the endpoint with the id wrote.
	EndpointRecord(id string, data []byte) (EndpointRecord, error)
}
