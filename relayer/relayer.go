// Package relayer forwards clients' requests byte for byte to endpoints and
// their responses back.
//
// A request is sent by the router that accepted it; its decisions are made by
// screener (may it be forwarded), balancer (where), retrier (again elsewhere)
// and framer (where a broken stream continues).
package relayer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/locator"
	"github.com/bergamotdale/bergamotdale/pacer"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/screener"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

const (
	// retryPerRequest is what each request adds to the retry budget of its
	// service. Half of the promised ratio leaves room for uneven routers.
	retryPerRequest = 0.5
	// retrySlackShare is the part of the promised slack that the routers divide
	// among themselves.
	retrySlackShare = 0.7
)

// Directory is what the router knows of the platform.
type Directory interface {
	State() *subscriber.State
	// Age returns the time since State was known to be current.
	Age() (time.Duration, bool)
}

// Quarantine contains requests that crash endpoints.
type Quarantine interface {
	Refusal(fingerprint string) *bergamotdale.Refusal
	Crashed(endpoint string, running []string)
	Completed(fingerprint string)
}

// Limits are the promises that bound the relayer.
type Limits struct {
	// MaxKeyAge is the age of the configuration up to which API keys are
	// trusted; zero means any.
	MaxKeyAge time.Duration
	// Placement is the rule by which endpoints are chosen.
	Placement balancer.Policy
	// LoadMultiple is the largest load of an endpoint relative to the mean.
	LoadMultiple float64
	// RetryRatio and RetrySlack bound the repeated sends of all routers to a
	// service, relative to its requests in RetryWindow and in addition.
	RetryRatio float64
	RetrySlack float64
}

// Report describes a finished request to the metrics.
type Report struct {
	// Kind is empty if no route was found.
	Kind    bergamotdale.RouteKind
	Outcome string
	Status  int
	// First is the time to the first byte of the response, zero without one.
	First time.Duration
	Total time.Duration
}

// Relayer is the handler of clients' requests. Exported fields are set before
// it serves.
type Relayer struct {
	Domain     string
	Dialect    bergamotdale.Dialect
	Directory  Directory
	Tracker    *tracker.Tracker
	Locator    *locator.Locator
	Dialer     *dialer.Dialer
	Quarantine Quarantine
	// Health tells whether this router itself is the cause of slow answers.
	Health *pacer.Monitor
	Clock  bergamotdale.Clock
	Logger *zap.Logger
	Start  *Start
	// Routers returns the number of live routers, at least 1.
	Routers func() int
	// Refusing returns a refusal for new requests while the router stops.
	Refusing func() *bergamotdale.Refusal
	// Finished is called after each request.
	Finished func(Report)

	limits atomic.Pointer[Limits]

	mu      sync.Mutex
	budgets map[string]*retrier.Budget
}

// SetLimits puts limits into force. It is called before the first request, and
// again when the settings change.
func (r *Relayer) SetLimits(l Limits) { r.limits.Store(&l) }

// ServeHTTP implements http.Handler.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	j := &job{relayer: r, writer: w, request: req, arrival: r.Clock.Now(), tried: map[string]bool{}}
	r.Start.Wait(req.Context())
	if refusal := j.accept(); refusal != nil {
		j.refuse(refusal)
		j.report()
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), j.deadline)
	defer cancel()
	j.budget().AddRequest()
	j.forward(ctx)
	j.report()
	if j.broken {
		// The client must not take a part of the response for the whole.
		panic(http.ErrAbortHandler)
	}
}

// budget returns the retry budget of a service.
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
		b = retrier.NewBudgetSize(capacity, limits.RetryRatio*retryPerRequest)
		r.budgets[service] = b
	}
	b.SetCapacity(capacity)
	return b
}

// knowledge returns what the router knows now.
func (r *Relayer) knowledge() screener.ConfigState {
	age, _ := r.Directory.Age()
	return screener.ConfigState{Table: r.Directory.State().Table, Age: age, MaxKeyAge: r.limits.Load().MaxKeyAge}
}
