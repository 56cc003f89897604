package platformserver

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/lagger"
)

// vmViews is the VM list as the callers see it.
type vmViews struct {
	lagMin, lagMax time.Duration
	history        lagger.History[[]bergamotdale.VM]

	mu        sync.Mutex
	overrides map[string][]bergamotdale.VM
}

func newVMViews(lagMin, lagMax time.Duration) *vmViews {
	v := &vmViews{lagMin: lagMin, lagMax: lagMax, overrides: map[string][]bergamotdale.VM{}}
	v.history.MaxLag = lagMax
	return v
}

func (v *vmViews) set(now time.Time, vms []bergamotdale.VM) {
	v.history.Set(now, append([]bergamotdale.VM{}, vms...))
}

// override replaces the list of one caller; nil ends that.
func (v *vmViews) override(caller string, vms []bergamotdale.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vms == nil {
		delete(v.overrides, caller)
		return
	}
	v.overrides[caller] = append([]bergamotdale.VM{}, vms...)
}

// seen returns the list that the caller sees.
func (v *vmViews) seen(now time.Time, caller string) []bergamotdale.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vms, ok := v.overrides[caller]; ok {
		return vms
	}
	vms := v.history.Lagged(now, v.lag(caller))
	if vms == nil {
		return []bergamotdale.VM{}
	}
	return vms
}

// lag spreads the callers evenly between the lag bounds.
func (v *vmViews) lag(caller string) time.Duration {
	const steps = 1024
	part := time.Duration(xxhash.Sum64String(caller) % steps)
	return v.lagMin + (v.lagMax-v.lagMin)*part/steps
}
