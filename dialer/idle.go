package dialer

import (
	"slices"
	"time"
)

// Replaces reports whether the connection was opened because the endpoint had closed an idle
// one earlier than it says, or sent something on it: it may have started again.
func (c *Conn) Replaces() bool { return c.replaces }

// Return puts back a connection over which nothing was written since Get, or only by Fetch. It
// stays idle no longer than before, as its endpoint has seen nothing meanwhile.
//
// It is closed if an older one is idle: what a young connection does not prove, an older one
// may, and the one that was used last is taken first.
func (d *Dialer) Return(c *Conn) {
	if remaining := c.expires - d.elapsed(); c.reused && remaining > 0 && !d.HasIdle(c.address, d.elapsed()-c.openedAt) {
		d.putIdle(c, remaining+idleMargin)
		return
	}
	c.Close()
}

// HasIdle reports whether an idle connection to the address was opened at least the given
// time ago and can be reused. The endpoint may have closed it.
func (d *Dialer) HasIdle(address string, age time.Duration) bool {
	now := d.elapsed()
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.idle[address], func(c *Conn) bool { return now-c.openedAt >= age && now < c.expires })
}
