package bergamotdale

import "context"

// VMState is the state of a VM in the list of the platform.
type VMState string

const (
	// VMLive is the state of a VM that is in use.
	VMLive VMState = "live"
	// VMDraining is the state of a VM that the platform is about to stop.
	VMDraining VMState = "draining"
)

// VM is an entry of the platform's list of VMs, the machines on which routers,
// engines and services run. The list may be some seconds old.
type VM struct {
	Name          string  `json:"name"`
	Address       string  `json:"address" doc:"host:port of the process on the VM"`
	FailureDomain string  `json:"failure-domain"`
	Role          string  `json:"role" doc:"router, engine or service"`
	State         VMState `json:"state"`
}

// VMLister reads the list of VMs of the platform.
type VMLister interface {
	// ListVMs returns the list. It may be some seconds old.
	ListVMs(ctx context.Context) ([]VM, error)
}
