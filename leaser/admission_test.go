package leaser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/leaser"
)

// Guards against a mode that D3 does not allow.
func TestAdmission(t *testing.T) {
	const past = leaser.TTL + 5*time.Second
	outage := leaser.Contact{
		Leased: true, SinceRenewal: past, Observed: time.Minute, FleetHeard: true, FleetAge: past, Known: 8, Reachable: 7,
	}
	with := func(f func(c *leaser.Contact)) leaser.Contact {
		c := outage
		f(&c)
		return c
	}
	for name, test := range map[string]struct {
		contact leaser.Contact
		mode    leaser.Mode
	}{
		"never leased":          {leaser.Contact{}, leaser.ModeNone},
		"renewed":               {leaser.Contact{Leased: true, SinceRenewal: 9 * time.Second}, leaser.ModeFull},
		"outage":                {outage, leaser.ModeFull},
		"peers have contact":    {with(func(c *leaser.Contact) { c.FleetAge = time.Second }), leaser.ModeReduced},
		"three quarters remain": {with(func(c *leaser.Contact) { c.Reachable = 6 }), leaser.ModeReduced},
		"resumed after a pause": {with(func(c *leaser.Contact) { c.Observed = time.Second }), leaser.ModeReduced},
		"claims were possible": {with(func(c *leaser.Contact) {
			c.SinceRenewal = time.Minute
			c.FleetAge = 49 * time.Second
		}), leaser.ModeReduced},
	} {
		assert.Equal(t, leaser.Admission(test.contact), test.mode, name)
	}
}

// Guards against knowledge of trouble that raises the mode: a longer time
// since the renewal, fewer members or a shorter observation.
func TestMoreTroubleNeverAdmitsMore(t *testing.T) {
	seconds := func(t *rapid.T, label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Second
	}
	rapid.Check(t, func(t *rapid.T) {
		c := leaser.Contact{
			Leased: true, FleetHeard: rapid.Bool().Draw(t, "heard"),
			SinceRenewal: seconds(t, "renewal", 40), Observed: seconds(t, "observed", 40), FleetAge: seconds(t, "age", 40),
			Known: rapid.IntRange(1, 20).Draw(t, "known"),
		}
		c.Reachable = rapid.IntRange(0, c.Known).Draw(t, "reachable")
		worse := c
		worse.SinceRenewal += seconds(t, "later", 40)
		worse.Observed = min(c.Observed, seconds(t, "paused", 40))
		worse.Reachable = rapid.IntRange(0, c.Reachable).Draw(t, "fewer")
		assert.Assert(t, leaser.Admission(worse) <= leaser.Admission(c))
	})
}
