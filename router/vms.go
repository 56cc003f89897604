package router

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/gossiper"
)

// vmWatcher reads the VM list and keeps its last known state through outages.
// It serves the gossiper too, so that a router reads the list only once.
type vmWatcher struct {
	lister   bergamotdale.VMLister
	clock    bergamotdale.Clock
	logger   *zap.Logger
	interval time.Duration
	seeds    []string
	changed  chan struct{}
	// first is closed after the first attempt to read the list.
	first chan struct{}

	mu  sync.Mutex
	vms []bergamotdale.VM
}

// run reads the list until the context is done.
func (w *vmWatcher) run(ctx context.Context) error {
	w.read(ctx)
	close(w.first)
	for bergamotdale.Wait(ctx, w.clock, w.interval) == nil {
		w.read(ctx)
	}
	return nil
}

func (w *vmWatcher) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.interval)
	defer cancel()
	vms, err := w.lister.ListVMs(ctx)
	if err != nil {
		w.logger.Warn("VM list not read", zap.Error(err))
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
func (w *vmWatcher) ListVMs(ctx context.Context) ([]bergamotdale.VM, error) {
	select {
	case <-w.first:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return w.known(), nil
}

// known returns the last known list and the seeds.
func (w *vmWatcher) known() []bergamotdale.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	vms := append([]bergamotdale.VM(nil), w.vms...)
	for _, seed := range w.seeds {
		vms = append(vms, bergamotdale.VM{
			Name: seed, Address: seed, Role: gossiper.RouterRole, State: bergamotdale.VMLive,
		})
	}
	return vms
}

// draining returns the names of the VMs that are about to be stopped.
func (w *vmWatcher) draining() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.FilterMap(w.vms, func(vm bergamotdale.VM, _ int) (string, bool) {
		return vm.Name, vm.State == bergamotdale.VMDraining
	})
}

// routers returns the addresses of the other routers in the list.
func (w *vmWatcher) routers(except string) []string {
	return lo.Uniq(lo.FilterMap(w.known(), func(vm bergamotdale.VM, _ int) (string, bool) {
		return vm.Address, vm.Role == gossiper.RouterRole && vm.Address != except
	}))
}
