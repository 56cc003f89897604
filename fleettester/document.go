package fleettester

import (
	"fmt"
	"time"

	"github.com/bergamotdale/bergamotdale/validator"
)

// Names in the configuration of a fleet.
const (
	Model              = "linen-chat"
	ServiceName        = "booking"
	CallConfirm        = "confirm"
	CallLookup         = "lookup"
	Workspace          = "clinic"
	LargeWorkspace     = "hotel"
	ClassUrgent        = "urgent"
	ClassNormal        = "normal"
	ClassBatch         = "batch"
	failureDomainCount = 3
)

// MaxConcurrency is the number of concurrent requests that the configuration
// permits in each engine.
const MaxConcurrency = 8

// failureDomain returns the failure domain of the router or endpoint with the
// index.
func (f *Fleet) failureDomain(i int) string {
	return fmt.Sprintf("domain-%d", i%failureDomainCount+1)
}

// document returns the configuration of the fleet.
func (f *Fleet) document() (*validator.Document, error) {
	d := &validator.Document{
		PriorityClasses: []validator.PriorityClassSpec{
			{Name: ClassUrgent, Level: 0, MinShare: 0.3, MaxWait: 5 * time.Second, FirstTokenTarget: time.Second},
			{Name: ClassNormal, Level: 1, MinShare: 0.2, MaxWait: 20 * time.Second, FirstTokenTarget: 5 * time.Second},
			{Name: ClassBatch, Level: 2, MinShare: 0.1, MaxWait: time.Minute, FirstTokenTarget: time.Minute},
		},
		Models: []validator.ModelSpec{{Name: Model}},
		Workspaces: []validator.WorkspaceSpec{
			{Name: Workspace, Weight: 1, TokensPerSecond: 100000, DefaultPriorityClass: ClassUrgent},
			{Name: LargeWorkspace, Weight: 1, TokensPerSecond: 100000, DefaultPriorityClass: ClassNormal},
		},
	}
	d.Limits.SetDefaults()
	for i, e := range f.engines {
		d.Engines = append(d.Engines, validator.EngineSpec{
			Name: e.Name, Address: e.Address, FailureDomain: f.failureDomain(i), Models: []string{Model}, MaxConcurrency: MaxConcurrency,
		})
	}
	if len(f.services) > 0 {
		d.Services = []validator.ServiceSpec{f.serviceSpec()}
	}
	if f.AdjustDocument != nil {
		f.AdjustDocument(d)
	}
	data, err := d.YAML()
	if err != nil {
		return nil, err
	}
	return validator.Parse("fleet.yaml", data)
}

// serviceSpec returns the configuration of the service and its endpoints.
func (f *Fleet) serviceSpec() validator.ServiceSpec {
	spec := validator.ServiceSpec{
		Name:  ServiceName,
		Calls: []validator.CallSpec{{Name: CallConfirm}, {Name: CallLookup, Idempotent: true}},
	}
	for i, s := range f.services {
		spec.Endpoints = append(spec.Endpoints, validator.EndpointSpec{
			Name: s.Name, Address: s.Address, FailureDomain: f.failureDomain(i),
		})
	}
	return spec
}
