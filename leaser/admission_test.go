package leaser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/leaser"
)

// Guards against full admission while another router may be the owner, and against
// any other mode than the one that the state of the lease and the reachable members
// allow (D3 of docs/design.md).
func TestAdmission(t *testing.T) {
	const expired = leaser.TTL + 5*time.Second
	outage := leaser.AdmissionInput{
		Leased: true, SinceRenewal: expired, SincePause: time.Minute, FleetHasContact: true, SinceFleetContact: expired, KnownMembers: 8, ReachableMembers: 7,
	}
	outageWith := func(f func(c *leaser.AdmissionInput)) leaser.AdmissionInput {
		c := outage
		f(&c)
		return c
	}
	for name, test := range map[string]struct {
		input leaser.AdmissionInput
		mode  leaser.Mode
	}{
		"never leased":          {leaser.AdmissionInput{}, leaser.ModeNone},
		"renewed":               {leaser.AdmissionInput{Leased: true, SinceRenewal: 9 * time.Second}, leaser.ModeFull},
		"outage":                {outage, leaser.ModeFull},
		"peers have contact":    {outageWith(func(c *leaser.AdmissionInput) { c.SinceFleetContact = time.Second }), leaser.ModeReduced},
		"three quarters remain": {outageWith(func(c *leaser.AdmissionInput) { c.ReachableMembers = 6 }), leaser.ModeReduced},
		"resumed after a pause": {outageWith(func(c *leaser.AdmissionInput) { c.SincePause = time.Second }), leaser.ModeReduced},
		"takeover was possible": {outageWith(func(c *leaser.AdmissionInput) {
			c.SinceRenewal = time.Minute
			c.SinceFleetContact = 49 * time.Second
		}), leaser.ModeReduced},
	} {
		assert.Equal(t, leaser.AdmissionMode(test.input), test.mode, name)
	}
}

// Guards against a worse state that admits more: a longer time since the renewal,
// fewer reachable members or a more recent pause.
func TestWorseStateNeverAdmitsMore(t *testing.T) {
	seconds := func(t *rapid.T, label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Second
	}
	rapid.Check(t, func(t *rapid.T) {
		c := leaser.AdmissionInput{
			Leased: true, FleetHasContact: rapid.Bool().Draw(t, "heard"),
			SinceRenewal: seconds(t, "renewal", 40), SincePause: seconds(t, "observed", 40), SinceFleetContact: seconds(t, "age", 40),
			KnownMembers: rapid.IntRange(1, 20).Draw(t, "known"),
		}
		c.ReachableMembers = rapid.IntRange(0, c.KnownMembers).Draw(t, "reachable")
		worse := c
		worse.SinceRenewal += seconds(t, "later", 40)
		worse.SincePause = min(c.SincePause, seconds(t, "paused", 40))
		worse.ReachableMembers = rapid.IntRange(0, c.ReachableMembers).Draw(t, "fewer")
		assert.Assert(t, leaser.AdmissionMode(worse) <= leaser.AdmissionMode(c))
	})
}
