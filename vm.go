package bergamotdale

import "context"

// VMState is the state of a VM in the platform's list.
type VMState string

const (
	// VMLive is the state of a VM in service.
	VMLive VMState = "live"
	// VMDraining is the state of a VM that is about to be stopped.
	VMDraining VMState = "draining"
)

// VM is one row of the platform's list. Rows lag behind the truth by seconds.
type VM struct {
	Name          string  `json:"name"`
	Address       string  `json:"address" doc:"host:port of the process on the VM"`
	FailureDomain string  `json:"failure-domain"`
	Role          string  `json:"role" doc:"router, engine or service"`
	State         VMState `json:"state"`
}

// VMLister reads the platform's list of VMs.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}
