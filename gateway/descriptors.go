package gateway

import (
	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// descriptorLimit returns how many descriptors the process may have: the lower of its
// resource limit and the setting, which is zero if the resource limit alone counts.
func descriptorLimit(setting int) (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Annotate(err, "reading the limit of descriptors")
	}
	descriptors := int(min(limit.Cur, maxDescriptors))
	if setting > 0 {
		descriptors = min(descriptors, setting)
	}
	return descriptors, nil
}

// maxDescriptors stands for a process without a limit of descriptors.
const maxDescriptors = 1 << 20
