package dialer

import (
	"slices"
	"time"
)

// HasIdle reports whether an idle connection to the address was opened at least the given
// time ago and can be reused. The endpoint may have closed it.
func (d *Dialer) HasIdle(address string, age time.Duration) bool {
	now := d.elapsed()
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.idle[address], func(c *Conn) bool { return now-c.openedAt >= age && now < c.expires })
}
