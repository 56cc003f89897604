package platformserver

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/lagger"
)

// vmViews holds the VM list and determines which version of it each caller sees:
// an earlier one, by the delay of the caller, or an override.
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

// override sets the list that one caller sees; nil removes the override.
func (v *vmViews) override(caller string, vms []bergamotdale.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vms == nil {
		delete(v.overrides, caller)
		return
	}
	v.overrides[caller] = append([]bergamotdale.VM{}, vms...)
}

// visibleTo returns the list that the caller sees.
func (v *vmViews) visibleTo(now time.Time, caller string) []bergamotdale.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vms, ok := v.overrides[caller]; ok {
		return vms
	}
	vms := v.history.Lagged(now, v.lagOf(caller))
	if vms == nil {
		return []bergamotdale.VM{}
	}
	return vms
}

// lagOf returns the delay with which the caller sees changes. The delays are
// derived from a hash of the caller's name, which spreads them evenly between
// the bounds and keeps that of a caller constant.
func (v *vmViews) lagOf(caller string) time.Duration {
	const steps = 1024
	step := time.Duration(xxhash.Sum64String(caller) % steps)
	return v.lagMin + (v.lagMax-v.lagMin)*step/steps
}
