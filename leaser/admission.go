package leaser

import "time"

// Mode is how much work an owner may admit. Larger modes admit more.
type Mode int

const (
	// ModeNone admits nothing: the router is not the owner or hands over.
	ModeNone Mode = iota
	// ModeReduced admits up to half the concurrency limit, because another
	// router may believe that it is the owner too.
	ModeReduced
	// ModeFull admits up to the concurrency limit.
	ModeFull
)

// String returns the kebab-case name of the mode.
func (m Mode) String() string {
	switch m {
	case ModeReduced:
		return "reduced"
	case ModeFull:
		return "full"
	}
	return "none"
}

// Contact is what a router knows of the store and the fleet when it decides
// how much to admit.
type Contact struct {
	// Leased is true once a lease was granted.
	Leased bool
	// SinceRenewal is the time since the start of the last confirmed renewal.
	SinceRenewal time.Duration
	// Observed is the time for which the router has run without a pause. What
	// it knows of the fleet is older than that after a pause.
	Observed time.Duration
	// FleetHeard is true if any router has had contact with the store, and
	// FleetAge is the time since.
	FleetHeard bool
	FleetAge   time.Duration
	// Known is the number of members remembered at the last renewal, this
	// router and dead ones included, or of routers in the VM list if that is
	// larger. Reachable is how many of the remembered ones respond.
	Known     int
	Reachable int
}

// Admission returns the mode that the state of the lease allows (D3).
func Admission(c Contact) Mode {
	switch {
	case !c.Leased:
		return ModeNone
	case c.SinceRenewal < TTL:
		return ModeFull
	case c.Observed < TTL+OutageSettle:
		return ModeReduced
	case c.FleetHeard && c.FleetAge < TTL+OutageSettle:
		// The store works for others, or did so until a moment ago.
		return ModeReduced
	case c.FleetHeard && c.SinceRenewal-c.FleetAge >= TTL:
		// The store worked for others after this lease had expired, so a
		// claim may have been made before the outage.
		return ModeReduced
	case c.Reachable*reachableDen <= c.Known*reachableNum:
		// The other side of a partition may have the store.
		return ModeReduced
	}
	return ModeFull
}

// More than three quarters of the known members must respond before an outage
// of the store counts as such. Half of the fleet would do by D3, but a router
// learns of a partition into halves member by member: at 360 members it misses
// a quarter after 6 s and the whole half only after its lease has expired.
const (
	reachableNum = 3
	reachableDen = 4
)
