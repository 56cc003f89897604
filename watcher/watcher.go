// Package watcher polls the platform's list of VMs. While the platform is
// unavailable, it keeps the list of the last successful read.
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

// VMs caches the platform's list of VMs. It is itself a VMLister for the gossiper, so
// that a router polls the platform only once per interval. Exported fields must be
// set before Run.
type VMs struct {
	Lister bergamotdale.VMLister
	Clock  bergamotdale.Clock
	Logger *zap.Logger
	// Interval is the time between two reads and the timeout of each.
	Interval time.Duration
	// Seeds are the addresses of routers from the settings that are added to the
	// list.
	Seeds []string

	updated chan struct{}
	// firstRead is closed after the first attempt to read the list.
	firstRead chan struct{}

	mu  sync.Mutex
	vms []bergamotdale.VM
}

// New returns a VMs that has not read the list yet.
func New() *VMs {
	return &VMs{updated: make(chan struct{}, 1), firstRead: make(chan struct{})}
}

// Updated returns a channel that receives a value after each successful read, also
// if the list is the same. Reads that the receiver has not seen yet are combined.
func (w *VMs) Updated() <-chan struct{} {
	return w.updated
}

// FirstRead returns a channel that is closed after the first attempt to read the
// list, whether or not it succeeded.
func (w *VMs) FirstRead() <-chan struct{} {
	return w.firstRead
}

// Run reads the list at once and then every Interval until the context is done.
func (w *VMs) Run(ctx context.Context) error {
	w.readList(ctx)
	close(w.firstRead)
	for bergamotdale.Wait(ctx, w.Clock, w.Interval) == nil {
		w.readList(ctx)
	}
	return nil
}

// readList reads the list once. It keeps the cached list if that fails.
func (w *VMs) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.Interval)
	defer cancel()
	vms, err := w.Lister.ListVMs(ctx)
	if err != nil {
		w.Logger.Warn("reading the VM list failed", zap.Error(err))
		return
	}
	w.mu.Lock()
	w.vms = vms
	w.mu.Unlock()
	select {
	case w.updated <- struct{}{}:
	default:
	}
}

// ListVMs implements bergamotdale.VMLister with the cached list and the seeds. It
// waits for the first attempt to read the list, because the gossiper would otherwise
// get an empty list and ask again only seconds later.
func (w *VMs) ListVMs(ctx context.Context) ([]bergamotdale.VM, error) {
	select {
	case <-w.firstRead:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return w.cachedWithSeeds(), nil
}

// cachedWithSeeds returns the cached list and a live router for each seed.
func (w *VMs) cachedWithSeeds() []bergamotdale.VM {
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

// Draining returns the names of the VMs that the platform is about to stop.
func (w *VMs) Draining() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.FilterMap(w.vms, func(vm bergamotdale.VM, _ int) (string, bool) {
		return vm.Name, vm.State == bergamotdale.VMDraining
	})
}

// RouterAddresses returns the addresses of the routers in the cached list and the
// seeds, without the given address and without duplicates.
func (w *VMs) RouterAddresses(exceptAddress string) []string {
	return lo.Uniq(lo.FilterMap(w.cachedWithSeeds(), func(vm bergamotdale.VM, _ int) (string, bool) {
		return vm.Address, vm.Role == detector.RouterRole && vm.Address != exceptAddress
	}))
}
