// Package admitter admits work to one owned engine. An Admission holds the queue,
// the running set, the learned concurrency limit and the placement overrides of
// the engine. It decides when a request starts, runs it at the engine, and
// writes its frames to a replay buffer.
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

// Environment is what all admissions of a router share. Its fields are set
// before New.
type Environment struct {
	Engine     bergamotdale.Engine
	Clock      bergamotdale.Clock
	Recorder   bergamotdale.Recorder
	Logger     *zap.Logger
	Ownership  Ownership
	Loads      Loads
	Quarantine Quarantine
	Replayer   *replayer.Replayer
	// Draining is called when an owned engine reports that it is draining.
	Draining func(endpoint string)
	// PollInterval is the time between two load reports of an engine.
	PollInterval time.Duration
	// Context ends every run at an engine.
	Context context.Context
	// Jobs counts queued and running requests, including those whose engine
	// has been handed over.
	Jobs *sync.WaitGroup
}

// Policy is the part of the configuration that admission needs. It is
// immutable.
type Policy struct {
	Classes []scheduler.Class
	// ClassIndex maps the name of a priority class to its index in Classes.
	ClassIndex map[string]int
	// Bound is the load bound of every model group (I1).
	Bound placer.LoadBound
	// Weight returns the share of a workspace.
	Weight func(workspace string) float64
	// TargetTokenTime is the inter-token latency that engines should keep.
	TargetTokenTime time.Duration
}

// Assignment is an engine that this router owns.
type Assignment struct {
	Name           string
	Address        string
	MaxConcurrency int
	Epoch          int64
	Draining       bool
	// Confirmed is true where no previous owner can admit work any more.
	Confirmed bool
}

// Ownership tells how sure this router is that it alone owns an engine.
type Ownership interface {
	// Admits reports whether this router may admit work to the engine now.
	Admits(endpoint string) bool
	// Expired reports whether the lease is not known to be valid while another
	// router may have claimed the engine.
	Expired() bool
	// Confirmed records that a load report has shown no foreign load.
	Confirmed(endpoint string, epoch int64)
}

// Loads gives the shared load of a model group.
type Loads interface {
	// Mean returns the mean load of the group; false if it was never known.
	Mean(group string) (placer.GroupLoad, bool)
	// Refresh brings the mean of the group up to date and reports whether it
	// may have changed.
	Refresh(group string) bool
	// Changed tells that the load of an owned engine has changed.
	Changed()
	// LeastLoaded returns an engine of the group with room, other than the
	// one given, or "".
	LeastLoaded(group, except string) string
}

// Quarantine knows the requests that were running when engines crashed.
type Quarantine interface {
	// Refusal returns the refusal of a quarantined fingerprint, or nil.
	Refusal(fingerprint string) *bergamotdale.Refusal
	// MayRun reports whether the fingerprint may start beside the running ones.
	MayRun(fingerprint string, running []string) bool
	// Broke records that the stream of the fingerprint broke, and reports
	// whether it is a suspect of an earlier crash.
	Broke(fingerprint string) bool
	// Crashed records the fingerprints that were running at a crash.
	Crashed(endpoint string, fingerprints []string)
	// Completed records that the fingerprint ran to its end.
	Completed(fingerprint string)
}

// Handover is what the next owner of an engine needs to know.
type Handover struct {
	// Overrides maps hashes of chats to the endpoints that they were placed at.
	Overrides map[uint64]string `json:"overrides,omitempty"`
	// Running is the number of requests that finish at the previous owner.
	Running int `json:"running"`
}

// Load is the load of an owned engine, for the aggregator of its group.
type Load struct {
	Endpoint string
	// Load is the number of requests that run or wait.
	Load    int
	Running int
	Limit   int
	Epoch   int64
}
