package bergamotdale

import (
	"context"
	"time"
)

// Admission decides when a request may be sent to the endpoints of its service.
type Admission interface {
	// Acquire waits until the request may be sent and returns a function to call once
	// when the attempt has ended, or it returns a refusal: the request was not run.
	Acquire(ctx context.Context, r AdmissionRequest) (release func(AdmissionResult), refusal *Refusal)
}

// AdmissionRequest is one attempt of a request that asks for admission.
type AdmissionRequest struct {
	Service   string
	RequestID string
	// Workspace is empty for anonymous requests.
	Workspace string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Arrival is when the router got the request, and Deadline when it gives it up.
	Arrival, Deadline time.Time
	// Objective is the latency objective, counted from Arrival; zero for none.
	Objective time.Duration
	// Tried holds the IDs of the endpoints that are not tried again.
	Tried map[string]bool
	// Immediate is set if the request counts but must not wait, such as one that another
	// endpoint takes over.
	Immediate bool
	// Choose is called before Acquire returns, with the ID of the endpoint that has room
	// for the request. It is not called if all are equal. Nil means that the caller
	// chooses.
	Choose func(endpoint string)
}

// AdmissionOutcome states how an attempt ended.
type AdmissionOutcome int

const (
	// AdmissionServed means that the endpoint responded.
	AdmissionServed AdmissionOutcome = iota
	// AdmissionRejected means that the endpoint refused the request for lack of room.
	AdmissionRejected
	// AdmissionUnsent means that no endpoint got the request.
	AdmissionUnsent
	// AdmissionLost means that the endpoint did not respond.
	AdmissionLost
)

// AdmissionResult describes the end of an attempt.
type AdmissionResult struct {
	// Endpoint is the ID of the endpoint that got the request.
	Endpoint string
	Outcome  AdmissionOutcome
	// ReportsLoad is set if the response stated the load of the endpoint.
	ReportsLoad bool
}

// FeatureReader returns what the terms in a deployment's settings call for.
type FeatureReader func(terms []string) Features
