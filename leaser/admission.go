package leaser

import "time"

// Mode tells how many requests the owner of an endpoint may admit. Larger modes
// admit more.
type Mode int

const (
	// ModeNone admits nothing: the router is not the owner, or is handing over the
	// ownership.
	ModeNone Mode = iota
	// ModeReduced admits up to half the concurrency limit, because another
	// router may also believe that it is the owner.
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

// AdmissionInput holds what a router knows of the store and the fleet when it decides
// how much to admit.
type AdmissionInput struct {
	// Leased is true once the router has obtained any lease.
	Leased bool
	// SinceRenewal is the time since the start of the last successful renewal.
	SinceRenewal time.Duration
	// SincePause is the time since the last pause of the process, 0 if it may be
	// paused now. What the router knows of the fleet may date from before the pause.
	SincePause time.Duration
	// FleetHasContact is true if a contact of any router with the store is known, and
	// SinceFleetContact is the time since the latest one.
	FleetHasContact   bool
	SinceFleetContact time.Duration
	// KnownMembers is the number of members known at the last successful renewal, this
	// router and dead ones included, or of routers in the VM list if that is larger.
	// ReachableMembers is how many of these members respond, this router included.
	KnownMembers     int
	ReachableMembers int
}

// AdmissionMode returns how much a router may admit (D3 of docs/design.md). With a
// valid lease it admits fully, and before its first lease nothing. After the lease
// has expired it admits fully only if the store appears to be down for the whole
// fleet, so that no other router can have taken over, and otherwise up to half the
// limit.
func AdmissionMode(input AdmissionInput) Mode {
	switch {
	case !input.Leased:
		return ModeNone
	case input.SinceRenewal < TTL:
		return ModeFull
	case input.SincePause < TTL+ContactSpreadTime:
		return ModeReduced
	case input.FleetHasContact && input.SinceFleetContact < TTL+ContactSpreadTime:
		// The store responds to other routers, or did until a moment ago.
		return ModeReduced
	case input.FleetHasContact && input.SinceRenewal-input.SinceFleetContact >= TTL:
		// The store responded to other routers after this lease had expired, so
		// another router may have taken over before the outage.
		return ModeReduced
	case input.ReachableMembers*reachableDenominator <= input.KnownMembers*reachableNumerator:
		// The network may be partitioned, with the store reachable from the other
		// side.
		return ModeReduced
	}
	return ModeFull
}

// More than three quarters of the known members must respond before a router treats
// the store as down for the whole fleet. The decision on admission with an expired
// lease (D3 of docs/design.md) requires only more than half, but a router detects a
// partition into halves member by member: at 360 members it misses a quarter after
// 6 s and the whole half only after its lease has expired.
const (
	reachableNumerator   = 3
	reachableDenominator = 4
)
