package router

import (
	"github.com/samber/do/v2"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/engineclient"
	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/peerclient"
	"github.com/bergamotdale/bergamotdale/platformclient"
	"github.com/bergamotdale/bergamotdale/serviceclient"
)

// NewAdapters returns an injector with the implementations of the interfaces
// that a router process uses: clock, event recorder, peers, store, VM list,
// engines and services. Tests replace single ones with do.Override.
func NewAdapters(settings *loader.Settings, recorder bergamotdale.Recorder) do.Injector {
	i := do.New()
	do.ProvideValue[bergamotdale.Clock](i, bergamotdale.SystemClock{})
	do.ProvideValue[bergamotdale.Recorder](i, recorder)
	do.Provide(i, func(do.Injector) (bergamotdale.Peer, error) { return peerclient.New(), nil })
	do.Provide(i, func(do.Injector) (*platformclient.Client, error) {
		return &platformclient.Client{
			Addresses: settings.Stores,
			VMAddress: settings.VMList,
			Caller:    settings.ID,
		}, nil
	})
	do.Provide(i, func(i do.Injector) (bergamotdale.Store, error) {
		return do.Invoke[*platformclient.Client](i)
	})
	do.Provide(i, func(i do.Injector) (bergamotdale.VMLister, error) {
		return do.Invoke[*platformclient.Client](i)
	})
	do.Provide(i, func(do.Injector) (bergamotdale.Engine, error) {
		return &engineclient.Client{Caller: settings.ID}, nil
	})
	do.Provide(i, func(do.Injector) (bergamotdale.Service, error) {
		return &serviceclient.Client{Caller: settings.ID}, nil
	})
	return i
}
