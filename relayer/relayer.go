// Package relayer is the reverse proxy of a router: it forwards the requests of
// clients to endpoints and relays the responses. Targets and bodies pass byte for
// byte.
//
// The router that accepts a request also sends it to the endpoint. Other packages
// make the decisions: screener whether a request may be forwarded, balancer to
// which endpoint, retrier whether it is sent to another endpoint after a failure,
// and framer after which event another endpoint resumes an interrupted stream.
package relayer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/gatekeeper"
	"github.com/bergamotdale/bergamotdale/locator"
	"github.com/bergamotdale/bergamotdale/pinner"
	"github.com/bergamotdale/bergamotdale/rationer"
	"github.com/bergamotdale/bergamotdale/reserver"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/screener"
	"github.com/bergamotdale/bergamotdale/selfmonitor"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

const (
	// retryRatioShare is the part of Limits.RetryRatio that each request adds to
	// the retry budget of its service. Half of the promised ratio leaves room for
	// an uneven distribution of requests among the routers.
	retryRatioShare = 0.5
	// retrySlackShare is the part of Limits.RetrySlack that is divided evenly
	// among the routers.
	retrySlackShare = 0.7
	// DefaultMaxResponse is the default of Limits.MaxResponse in bytes.
	DefaultMaxResponse = 64 << 20
	// From spreadFleet routers on, placement counts on requests that other routers
	// place at the same time; see balancer.Bound.Spread. In a smaller fleet each
	// router hears of the others' requests within a few hundred milliseconds.
	spreadFleet = 17
	fleetSpread = 0.5

	// errAborted is the cause of a context that ended because of Relayer.Abort.
	errAborted = errors.ConstError("the router has stopped")
)

// Directory is the router's local copy of the configuration and of the registered
// endpoints.
type Directory interface {
	// State returns the latest copy.
	State() *subscriber.State
	// Age returns the time since State was last known to be current, and false if
	// nothing has been read yet.
	Age() (time.Duration, bool)
}

// Quarantine refuses requests that probably crash endpoints. A fingerprint
// identifies equal requests of a workspace. Different requests can share parts of their
// prompts.
type Quarantine interface {
	// Refusal returns a refusal if the request is quarantined, else nil.
	Refusal(fingerprint string) *bergamotdale.Refusal
	// RecordCrash records that the endpoint crashed while the requests were running.
	RecordCrash(endpoint string, running []string)
	// RecordCompletion records that an endpoint completed the request without a
	// crash.
	RecordCompletion(fingerprint string)
	// PartRefusal returns a refusal if one of the shared parts of a prompt is
	// quarantined, else nil. sending is set right before the request is sent.
	PartRefusal(parts []string, sending bool) *bergamotdale.Refusal
	// RecordPartCrash records that an endpoint crashed that had hardly begun to answer
	// a request with the parts. endpoint names the endpoint and its incarnation.
	RecordPartCrash(endpoint string, parts []string)
	// RecordPartProgress records that an endpoint answers a request with the parts.
	RecordPartProgress(parts []string)
}

// Pins knows at which software version each stream began.
type Pins interface {
	// Pin records which software writes the events of a stream, before the client gets
	// the first event of a response. source is the endpoint if its incarnation is not
	// certain. timeLeft is how long the client may take the stream up, zero if unknown.
	Pin(ctx context.Context, stream string, pin pinner.Pin, source pinner.Source, timeLeft time.Duration)
	// MayBegin reports whether a new stream may begin at the version.
	MayBegin(service, version string) bool
	// Find returns the software that began a stream, or a refusal if that is unknown.
	Find(ctx context.Context, q pinner.Query) (pinner.Pin, *bergamotdale.Refusal)
}

// Limits are the promises to the operators that the relayer keeps. They come from
// the settings.
type Limits struct {
	// MaxKeyAge is the age of the configuration up to which API keys are
	// accepted, zero for no limit. It bounds how long a revoked key works.
	MaxKeyAge time.Duration
	// Placement is the load-balancing rule.
	Placement balancer.Policy
	// LoadMultiple is the largest load of an endpoint as a multiple of the mean.
	LoadMultiple float64
	// RetryRatio and RetrySlack bound the retries of all routers at a service in
	// any 10 s: RetryRatio times the number of its requests, plus RetrySlack.
	RetryRatio float64
	RetrySlack float64
	// MaxEvent is the largest size in bytes of an incomplete event of a stream, and
	// MaxResponse that of the body of any other response. Zero selects a default.
	MaxEvent    int
	MaxResponse int64
}

// maxResponse returns the limit of the body of a response.
func (l *Limits) maxResponse() int64 {
	if l.MaxResponse > 0 {
		return l.MaxResponse
	}
	return DefaultMaxResponse
}

// Report describes a finished request for the metrics.
type Report struct {
	// Kind is empty if no route was found.
	Kind    bergamotdale.RouteKind
	Outcome string
	Status  int
	// TimeToFirstByte is the time from the arrival of the request to the first
	// byte of an endpoint's response, zero if there was none.
	TimeToFirstByte time.Duration
	// Total is the time from the arrival of the request to its end.
	Total time.Duration
}

// Relayer is the HTTP handler for the requests of clients. Exported fields are set
// before it serves.
type Relayer struct {
	// FailureDomain is that of this router.
	FailureDomain string
	Dialect       bergamotdale.Dialect
	Directory     Directory
	Tracker       *tracker.Tracker
	// Doubt reports whether an endpoint may have left without the router knowing in
	// time, and since when an endpoint must have been heard to be known not to have
	// left; nil for never.
	Doubt      func(now time.Time) (since time.Time, doubtful bool)
	Locator    *locator.Locator
	Dialer     *dialer.Dialer
	Gatekeeper *gatekeeper.Gatekeeper
	Rationer   *rationer.Rationer
	// OnGone is called for an endpoint whose port refuses connections; nil for none.
	OnGone     func(subscriber.Endpoint)
	Quarantine Quarantine
	Pins       Pins
	// Admission decides when an attempt may be sent; nil for at once.
	Admission bergamotdale.Admission
	// Health tells whether this router itself is overloaded, so that timeouts are
	// not the fault of the endpoints.
	Health *selfmonitor.Monitor
	Clock  bergamotdale.Clock
	Logger *zap.Logger
	// StartupGate delays requests until the first configuration has been read.
	StartupGate *StartupGate
	// Routers returns the number of live routers, at least 1.
	Routers func() int
	// ProcessRefusal returns a refusal for a new request if this process takes none, such
	// as while it shuts down, else nil.
	ProcessRefusal func(context.Context) *bergamotdale.Refusal
	// Reserver decides which requests may hold memory.
	Reserver *reserver.Reserver
	// Abort is done when the router ends the requests in progress, at the deadline of a
	// planned stop. Nil means never.
	Abort context.Context
	// OnFinished is called after each request.
	OnFinished func(Report)

	limits  atomic.Pointer[Limits]
	returns returns

	mu sync.Mutex
	// budgets holds the retry budgets by service.
	budgets map[string]*retrier.Budget
}

// SetLimits sets the limits for the requests from now on. It is called before the
// first request, and again when the settings change.
func (r *Relayer) SetLimits(l Limits) { r.limits.Store(&l) }

// ServeHTTP implements http.Handler.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	j := &job{relayer: r, writer: w, request: req, arrival: r.Clock.Now(), tried: map[string]bool{}}
	j.framer.MaxEvent = r.limits.Load().MaxEvent
	j.writer = &clientWriter{ResponseWriter: w, job: j}
	defer j.hold.release()
	r.StartupGate.Wait(req.Context())
	if refusal := j.accept(); refusal != nil {
		if j.hold.connectionTaken() {
			j.recordUnanswered(refusal)
		} else {
			j.writeRefusal(refusal)
		}
		j.report()
		if j.broken {
			panic(http.ErrAbortHandler)
		}
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), j.deadline)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	if r.Abort != nil {
		defer context.AfterFunc(r.Abort, func() { abort(errAborted) })()
	}
	j.budget().AddRequest()
	j.recordArrival()
	j.forward(ctx)
	j.discardSuccessor()
	j.report()
	if j.broken {
		// Aborting the connection keeps the client from taking a truncated
		// response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// budget returns the retry budget of a service, created on first use. Its capacity
// follows the number of live routers.
func (r *Relayer) budget(service string) *retrier.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budgets == nil {
		r.budgets = map[string]*retrier.Budget{}
	}
	limits := r.limits.Load()
	capacity := max(1, limits.RetrySlack*retrySlackShare/float64(max(1, r.Routers())))
	b := r.budgets[service]
	if b == nil {
		b = retrier.NewBudgetSize(capacity, limits.RetryRatio*retryRatioShare)
		r.budgets[service] = b
	}
	b.SetCapacity(capacity)
	return b
}

// loadBound returns the bound by which requests are placed.
func (r *Relayer) loadBound(limits *Limits) balancer.Bound {
	b := balancer.Bound{Multiple: limits.LoadMultiple}
	if r.Routers() >= spreadFleet {
		b.Spread = fleetSpread
	}
	return b
}

// isUsable reports whether the endpoint may get new requests and is still the
// incarnation that was chosen, which may have another software version than the next.
func (r *Relayer) isUsable(target subscriber.Endpoint) bool {
	for _, e := range r.Directory.State().Endpoints(target.Service) {
		if e.ID == target.ID {
			return e.Incarnation == target.Incarnation && e.Version == target.Version && e.Usable(r.Clock.Now())
		}
	}
	return false
}

// screeningState returns the configuration and its age, by which a request is
// screened.
func (r *Relayer) screeningState() screener.ConfigState {
	age, _ := r.Directory.Age()
	return screener.ConfigState{Table: r.Directory.State().Table, Age: age, MaxKeyAge: r.limits.Load().MaxKeyAge}
}
