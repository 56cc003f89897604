package platformserver

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotdale/bergamotdale"
)

// vmHistory holds the versions of the VM list, oldest first, so that each
// caller can be shown an older one.
type vmHistory struct {
	lagMin, lagMax time.Duration

	mu        sync.Mutex
	versions  []vmVersion
	overrides map[string][]bergamotdale.VM
}

type vmVersion struct {
	since time.Time
	vms   []bergamotdale.VM
}

func (h *vmHistory) set(now time.Time, vms []bergamotdale.VM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, vmVersion{now, append([]bergamotdale.VM{}, vms...)})
	for len(h.versions) > 1 && now.Sub(h.versions[1].since) > h.lagMax {
		h.versions = h.versions[1:]
	}
}

func (h *vmHistory) override(caller string, vms []bergamotdale.VM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.overrides == nil {
		h.overrides = map[string][]bergamotdale.VM{}
	}
	if vms == nil {
		delete(h.overrides, caller)
		return
	}
	h.overrides[caller] = append([]bergamotdale.VM{}, vms...)
}

// seen returns the list that the caller sees: the newest version that is at
// least as old as the caller's lag, or the oldest one.
func (h *vmHistory) seen(now time.Time, caller string) []bergamotdale.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	if vms, ok := h.overrides[caller]; ok {
		return vms
	}
	if len(h.versions) == 0 {
		return []bergamotdale.VM{}
	}
	at := now.Add(-h.lag(caller))
	vms := h.versions[0].vms
	for _, v := range h.versions {
		if !v.since.After(at) {
			vms = v.vms
		}
	}
	return vms
}

// lag spreads the callers evenly between the lag bounds.
func (h *vmHistory) lag(caller string) time.Duration {
	const steps = 1024
	part := time.Duration(xxhash.Sum64String(caller) % steps)
	return h.lagMin + (h.lagMax-h.lagMin)*part/steps
}
