package router

import (
	"context"

	"github.com/bergamotdale/bergamotdale/elector"
	"github.com/bergamotdale/bergamotdale/placer"
)

// ownership implements admitter.Ownership with the elector.
type ownership struct {
	router *Router
}

// Admits implements admitter.Ownership.
func (o *ownership) Admits(endpoint string) bool {
	return o.router.admissionMode(endpoint) != elector.ModeNone
}

// Expired implements admitter.Ownership.
func (o *ownership) Expired() bool {
	return o.router.elector.Lease.Mode() != elector.ModeFull
}

// ConfirmFull implements admitter.Ownership.
func (o *ownership) ConfirmFull(endpoint string, epoch int64) {
	o.router.elector.ConfirmFull(endpoint, epoch)
}

// loads implements admitter.Loads with the aggregator and the view.
type loads struct {
	router *Router
}

// group returns the name of the model group of a model or adapter, and the name
// itself if the model is not known.
func (l *loads) group(model string) string {
	v := l.router.views.Current()
	if v.Config() == nil {
		return model
	}
	if m, ok := v.Config().Model(model); ok {
		return m.GroupName()
	}
	return model
}

// Mean implements admitter.Loads.
func (l *loads) Mean(model string) (placer.GroupLoad, bool) {
	mean, ok := l.router.loads.Mean(l.group(model))
	if !ok {
		return placer.GroupLoad{}, false
	}
	return placer.GroupLoad{Requests: mean.Total, Engines: mean.Endpoints, Age: mean.Age}, true
}

// Refresh implements admitter.Loads.
func (l *loads) Refresh(model string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	return l.router.loads.Refresh(ctx, l.group(model))
}

// NotifyLoadChange implements admitter.Loads.
func (l *loads) NotifyLoadChange() {
	l.router.loads.NotifyLoadChange()
}

// LeastLoaded implements admitter.Loads.
func (l *loads) LeastLoaded(model, except string) string {
	mean, ok := l.router.loads.Mean(l.group(model))
	if !ok {
		return ""
	}
	v := l.router.views.Current()
	for _, s := range mean.LeastLoaded {
		if s.Endpoint != except && !v.Draining(s.Endpoint) {
			return s.Endpoint
		}
	}
	return ""
}
