// Package admitter controls admission to the engines that a router owns.
//
// Each engine (a model server) is owned by one router, which alone decides what
// runs there. For each owned engine an Admission holds the queue, the running
// requests, the learned concurrency limit and the placement overrides: the chats
// that it redirected to another engine because of its load. An Admission refuses
// requests above the load bound, starts and preempts the others, and writes the
// frames of their responses to replay buffers. When another router becomes the
// owner, a Handover carries over the state that it needs.
package admitter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/replayer"
	"github.com/bergamotdale/bergamotdale/scheduler"
)

// Environment holds what all admissions of a router share. Its fields are set
// before New is called.
type Environment struct {
	Engine     bergamotdale.Engine
	Clock      bergamotdale.Clock
	Recorder   bergamotdale.Recorder
	Logger     *zap.Logger
	Ownership  Ownership
	Loads      Loads
	Quarantine Quarantine
	Replayer   *replayer.Replayer
	// OnDraining is called with the name of an owned engine whose load report
	// says that it is draining.
	OnDraining func(endpoint string)
	// PollInterval is the time between two reads of an engine's load report, and
	// the timeout of one.
	PollInterval time.Duration
	// Context cancels all streams to engines when it ends.
	Context context.Context
	// Jobs counts queued and running requests, including those whose engine
	// has been handed over.
	Jobs *sync.WaitGroup
}

// Policy is the part of the configuration that admissions need. It is immutable.
type Policy struct {
	Classes []scheduler.Class
	// ClassIndex maps the name of a priority class to its index in Classes.
	ClassIndex map[string]int
	// Bound limits the load of an engine relative to the mean of its model
	// group (I1).
	Bound placer.LoadBound
	// Weight returns the weight of a workspace in fair queueing.
	Weight func(workspace string) float64
	// TargetTokenTime is the inter-token latency above which the concurrency limit
	// of an engine is lowered.
	TargetTokenTime time.Duration
}

// Assignment describes an engine that this router owns.
type Assignment struct {
	Name           string
	Address        string
	MaxConcurrency int
	// Epoch increases with each change of the owner.
	Epoch    int64
	Draining bool
	// Confirmed is true once no previous owner can admit requests any more.
	Confirmed bool
}

// Ownership tells whether this router may act as the owner of an engine, and
// whether another router may do so at the same time.
type Ownership interface {
	// Admits reports whether this router may admit requests to the engine now.
	Admits(endpoint string) bool
	// Expired reports whether this router's lease may have expired while another
	// router may have claimed the engine.
	Expired() bool
	// ConfirmFull lifts the reduced limit of a new owner. The engine's load report
	// has shown no requests of another owner.
	ConfirmFull(endpoint string, epoch int64)
}

// Loads provides the load of model groups, as the routers share it. A model
// group consists of the engines that serve a model and its adapters.
type Loads interface {
	// Mean returns the mean load of the model's group, and false if none is known.
	Mean(model string) (placer.GroupLoad, bool)
	// Refresh updates the mean load of the model's group and reports whether it
	// may have changed.
	Refresh(model string) bool
	// NotifyLoadChange signals that the load of an owned engine has changed.
	NotifyLoadChange()
	// LeastLoaded returns an engine of the model's group that is below its load
	// bound and is not the excepted one, or "" if there is none.
	LeastLoaded(model, except string) string
}

// Quarantine tracks requests that were running when engines crashed and refuses
// those that crash engines repeatedly. A fingerprint identifies the content of a
// request, so that repeated attempts count together. A suspect is a fingerprint
// that was running at a crash.
type Quarantine interface {
	// Refusal returns the refusal of a quarantined fingerprint, or nil.
	Refusal(fingerprint string) *bergamotdale.Refusal
	// MayRun reports whether the fingerprint may start while the others run at the
	// same engine.
	MayRun(fingerprint string, running []string) bool
	// RecordBrokenStream records that the response stream of the fingerprint broke
	// off, and reports whether the fingerprint is a suspect of an earlier crash.
	RecordBrokenStream(fingerprint string) bool
	// RecordCrash records that the engine crashed while the fingerprints were
	// running.
	RecordCrash(endpoint string, fingerprints []string)
	// RecordCompletion records that the fingerprint ran to completion.
	RecordCompletion(fingerprint string)
}

// Handover is the state that the previous owner of an engine sends to the next
// one.
type Handover struct {
	// Overrides maps hashes of chat IDs to the endpoints that the chats were
	// redirected to.
	Overrides map[uint64]string `json:"overrides,omitempty"`
	// Running is the number of requests that the previous owner still runs at the
	// engine.
	Running int `json:"running"`
}

// Load is the load of an owned engine, as reported to the aggregator of its
// model group.
type Load struct {
	Endpoint string
	// Load is the number of requests that run or wait.
	Load    int
	Running int
	// Limit is the number of requests that may run now.
	Limit int
	Epoch int64
}
