// Package watcher reads the platform's list of VMs and keeps its last known state
// through outages.
package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/detector"
)

// VMs is the list of VMs as last read. It serves the gossiper too, so that a
// router reads the list only once. Exported fields are set before Run.
type VMs struct {
	Lister   bergamotdale.VMLister
	Clock    bergamotdale.Clock
	Logger   *zap.Logger
	Interval time.Duration
	// Seeds are addresses of routers to add to the list.
	Seeds []string

	changed chan struct{}
	// first is closed after the first attempt to read the list.
	first chan struct{}

	mu  sync.Mutex
	vms []bergamotdale.VM
}

// New returns an empty list.
func New() *VMs {
	return &VMs{changed: make(chan struct{}, 1), first: make(chan struct{})}
}

// Updated returns a channel that receives after the list was read.
func (w *VMs) Updated() <-chan struct{} {
	return w.changed
}

// FirstRead returns a channel that is closed after the first attempt to read the
// list.
func (w *VMs) FirstRead() <-chan struct{} {
	return w.first
}

// Run reads the list until the context is done.
func (w *VMs) Run(ctx context.Context) error {
	w.read(ctx)
	close(w.first)
	for bergamotdale.Wait(ctx, w.Clock, w.Interval) == nil {
		w.read(ctx)
	}
	return nil
}

func (w *VMs) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.Interval)
	defer cancel()
	vms, err := w.Lister.ListVMs(ctx)
	if err != nil {
		w.Logger.Warn("VM list not read", zap.Error(err))
		return
	}
	w.mu.Lock()
	w.vms = vms
	w.mu.Unlock()
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// ListVMs implements bergamotdale.VMLister with the last known list and the
// seeds of the settings. It waits for the first attempt to read the list: the
// gossiper asks again only seconds later.
func (w *VMs) ListVMs(ctx context.Context) ([]bergamotdale.VM, error) {
	select {
	case <-w.first:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return w.known(), nil
}

// known returns the last known list and the seeds.
func (w *VMs) known() []bergamotdale.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	vms := append([]bergamotdale.VM(nil), w.vms...)
	for _, seed := range w.Seeds {
		vms = append(vms, bergamotdale.VM{
			Name: seed, Address: seed, Role: detector.RouterRole, State: bergamotdale.VMLive,
		})
	}
	return vms
}

// Draining returns the names of the VMs that are about to be stopped.
func (w *VMs) Draining() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.FilterMap(w.vms, func(vm bergamotdale.VM, _ int) (string, bool) {
		return vm.Name, vm.State == bergamotdale.VMDraining
	})
}

// RouterAddresses returns the addresses of the other routers in the list.
func (w *VMs) RouterAddresses(except string) []string {
	return lo.Uniq(lo.FilterMap(w.known(), func(vm bergamotdale.VM, _ int) (string, bool) {
		return vm.Address, vm.Role == detector.RouterRole && vm.Address != except
	}))
}
