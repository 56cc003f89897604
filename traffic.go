package bergamotdale

import (
	"net/http"
	"time"
)

// RouteKind states whether a request may be executed more than once.
type RouteKind string

const (
	// RouteIdempotent is the kind of requests that may be executed more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce is the kind of requests that must not be executed twice.
	RouteAtMostOnce RouteKind = "at-most-once"
	// RouteStream is the kind of requests whose response is a stream of events.
	// They must not be executed twice, unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// RouteTarget is a service to which a route sends requests.
type RouteTarget struct {
	Service string
	// Weight determines the share of the requests: Weight divided by the sum of the
	// weights of all targets of the route.
	Weight int
}

// Route selects requests by host and path prefix and states how they are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Targets is never empty.
	Targets []RouteTarget
	// Timeout bounds the time until the end of the response. Zero means no bound.
	Timeout time.Duration
	// Objective is the latency objective: the time until the response, or until the
	// first event of a stream.
	Objective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// MaxAttempts is the maximum number of endpoints that a request is sent to.
	MaxAttempts int
	// Anonymous is true if requests need no API key.
	Anonymous bool
	// Resumable is true if a stream that was cut may continue at another endpoint
	// after the last event.
	Resumable bool
}

// Idempotent reports whether a request of the route may be executed more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// TrafficService holds the properties of the endpoints of a service.
type TrafficService struct {
	Name string
	// CopiesCache is true if the endpoints can copy cached prompts from each other.
	CopiesCache bool
	// ColdRate is the number of requests per second that an endpoint tolerates while it
	// is cold; zero for no limit.
	ColdRate float64
	// ColdStart is how long an endpoint is cold after it has started.
	ColdStart time.Duration
	// CacheTokens is the memory of an endpoint for running requests and cached prompts,
	// in tokens; zero if unknown.
	CacheTokens int64
	// MaxConns is the number of connections that an endpoint accepts from all routers;
	// zero if unknown.
	MaxConns int
}

// TrafficLimits holds the limits of clients: the maximum sizes of a request, in bytes,
// how long the headers of a request may take, and how long a connection may stay idle
// between two requests. Zero selects a default.
type TrafficLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WorkspaceKeys holds the API keys of a workspace.
type WorkspaceKeys struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if it is not nil.
	Priority *int
}

// TrafficConfig is one version of the configuration that the operators write: the
// routes, services, limits and API keys.
type TrafficConfig struct {
	Version  int64
	Routes   []Route
	Services []TrafficService
	Limits   TrafficLimits
	// Workspaces is empty if no API keys are in use.
	Workspaces []WorkspaceKeys
}

// DocumentFault is a fault of a configuration document that its decoded form does not show,
// for example a field that no reader knows.
type DocumentFault struct {
	// Path locates the value in the document, empty for the whole document.
	Path    string
	Message string
}

// EndpointRecord is the record with which an endpoint registers itself.
type EndpointRecord struct {
	// ID changes with most restarts of the endpoint, but not with all.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Version is the version of the endpoint's software, not of its weights. What two
	// versions write of one stream does not fit together. Endpoints that state none
	// count as one version.
	Version string
	// Draining is true if the endpoint must get no new requests.
	Draining bool
	// Incarnation distinguishes the restarts of an endpoint that keeps its ID. It is the
	// time of its start by its own clock, in milliseconds since the Unix epoch, or 0 if
	// unknown.
	Incarnation int64
	// Sequence rises with each report of an incarnation. Zero means unknown.
	Sequence int64
	// ColdFor is how much longer the endpoint was cold when it wrote the record; zero if
	// it was not.
	ColdFor time.Duration
}

// PromptPart is a sequence of tokens in a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Envelope is the information in the headers of a client's request.
type Envelope struct {
	// RequestID is different for each attempt of a client.
	RequestID string
	// APIKey is empty for anonymous requests.
	APIKey string
	// TimeLeft is the time that the client waits for the response; zero if the
	// headers do not state it.
	TimeLeft time.Duration
	// Model and Parts are empty for requests without a prompt. The last part is
	// specific to the request or its chat; requests may share the others.
	Model string
	Parts []PromptPart
	// PromptTokens and OutputTokens are upper bounds of the number of tokens of the
	// prompt and of the generated text.
	PromptTokens int
	OutputTokens int
	// ResumeAfter is the ID of the last event that the client has received, or empty
	// at the start of a stream.
	ResumeAfter string
	// Resumes is the RequestID of the attempt that brought the client the first event
	// of the stream that it takes up; empty if it takes none up or does not say.
	Resumes string
}

// AttemptHeaders is the information that a router sends to an endpoint in the headers
// of an attempt.
type AttemptHeaders struct {
	// EndpointID is the ID of the intended endpoint. Any other endpoint that receives
	// the request refuses it.
	EndpointID string
	// Workspace is the workspace of the API key; empty for anonymous requests.
	Workspace string
	// TimeLeft is the time that the endpoint has to respond.
	TimeLeft time.Duration
	// Priority is 0 for the most urgent requests. A negative value selects the
	// default.
	Priority int
	// ResumeAfter is the ID of the event after which a stream continues; empty to
	// start at the beginning.
	ResumeAfter string
	// CopyFrom is the address of another endpoint from which the endpoint copies the
	// cached part of the prompt; empty for none.
	CopyFrom string
}

// ResponseInfo is the information in the headers of an endpoint's response.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// NotExecuted is true if the endpoint has not executed the request and will not
	// execute it.
	NotExecuted bool
	// Signed is true if the response carries the endpoint's signature.
	Signed bool
	// Leaving is true if the endpoint that got the request says that it leaves: it
	// wants no other request, and ends.
	Leaving bool
	// ClosedFor is the time for which the endpoint, with a refusal, wants no request
	// from this router. It is zero if the endpoint names none, and negative if what it
	// names is no number.
	ClosedFor time.Duration
	// ColdFor is how much longer the endpoint is cold, zero if it says nothing.
	ColdFor time.Duration
	// Load is what the endpoint says of its load, nil if it says nothing.
	Load *ReportedLoad
}

// ReportedLoad is the load of an endpoint as the headers of its response state it.
type ReportedLoad struct {
	// Running and Waiting are the numbers of requests that run and that are queued, and
	// Slots is the number that can run at once.
	Running, Waiting, Slots int
	// Slowdown is how much longer work takes on the endpoint's machine at this moment than
	// usual: 1 as usual, 2 twice as long. It is zero if the endpoint does not say.
	Slowdown float64
}

// Features are the parts of the router that a deployment's settings call for.
type Features struct {
	// SharedAdmission divides the capacity of a service with few endpoints among the
	// routers.
	SharedAdmission bool
	// LiveLoad corrects reported loads by what has happened since the report.
	LiveLoad bool
}

// Dialect converts between the HTTP headers and stored documents of a deployment and
// the types of this package. It makes no routing decisions.
type Dialect interface {
	// Envelope parses the headers of a client's request.
	Envelope(h http.Header) (Envelope, error)
	// AttemptHeader returns the headers of the request to an endpoint, based on the
	// headers of the client's request.
	AttemptHeader(client http.Header, a AttemptHeaders) http.Header
	// ResponseInfo parses the status and headers of an endpoint's response.
	ResponseInfo(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the headers of an endpoint's response that are passed
	// on to the client.
	ResponseHeader(endpoint http.Header) http.Header
	// IncarnationURI is the request target at which an endpoint says which incarnation it
	// is, and Incarnation decodes that document. The result is zero if it does not say.
	IncarnationURI() string
	Incarnation(document []byte) (int64, error)
	// RefusalHeader adds the headers of a refusal to h.
	RefusalHeader(h http.Header, requestID string)
	// TrafficConfig decodes the configuration document of the operators.
	TrafficConfig(data []byte) (*TrafficConfig, error)
	// EndpointRecord decodes the record that the endpoint with the ID wrote.
	EndpointRecord(id string, data []byte) (EndpointRecord, error)
}
