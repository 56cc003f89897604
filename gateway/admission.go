package gateway

import (
	"context"

	"github.com/juju/errors"
	"github.com/samber/do/v2"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/regulator"
)

// buildAdmission creates the admission and connects it if the settings call for it.
func (g *Gateway) buildAdmission() {
	if !do.MustInvoke[bergamotdale.FeatureReader](g.Adapters)(g.Settings.Terms).SharedAdmission {
		return
	}
	r := regulator.New(g.clock)
	r.Self, r.FailureDomain = g.self.ID, g.Settings.FailureDomain
	r.Directory, r.Tracker, r.Gatekeeper = g.directory, g.tracker, g.gatekeeper
	r.Routers, r.Logger = g.relayer.Routers, g.Logger.Named("regulator")
	g.regulator, g.relayer.Admission = r, r
	g.collector.Demand, g.exchanger.Demand = r, r
}

// runAdmission lets waiting requests go until the context is done.
func (g *Gateway) runAdmission(ctx context.Context) error {
	if g.regulator == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return g.regulator.Run(ctx)
}

// registerAdmissionGauges registers the values of the admission.
func (g *Gateway) registerAdmissionGauges() error {
	if g.regulator == nil {
		return nil
	}
	for _, gauge := range []struct {
		name, description string
		read              func() int64
	}{
		{"bergamotdale.admission.waiting", "requests that wait in this router for services with few endpoints", g.regulator.WaitingCount},
		{"bergamotdale.admission.refused", "requests that the admission has refused since the start", g.regulator.RefusedCount},
		{"bergamotdale.admission.share", "thousandths of a request that this router may have in flight on average at services with few endpoints",
			g.regulator.ShareMilli},
	} {
		if err := g.meter.RegisterGauge(gauge.name, gauge.description, gauge.read); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
