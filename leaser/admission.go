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
	// SincePause is the time since the last pause of the process ended, or 0 if its last
	// heartbeat is so old that it may only just have resumed. Shortly after a pause, what
	// the router knows of the fleet may date from before the pause.
	SincePause time.Duration
	// FleetHasContact is true if this router knows of a successful call of the store by
	// any router, itself included. SinceFleetContact is the time since the latest such
	// call, and has no meaning if FleetHasContact is false.
	FleetHasContact   bool
	SinceFleetContact time.Duration
	// KnownMembers is the larger of two numbers taken at the last successful renewal:
	// the members known then, including this router and dead members, and the routers in
	// the VM list. ReachableMembers is how many of the members known then are alive or
	// draining now, this router included.
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
// lease (D3 of docs/design.md) requires only more than half. But when the network
// splits into halves, a router detects the members of the other half as unreachable
// one by one: at 360 members it has detected a quarter of the fleet after 6 s and the
// whole half only after its lease has expired.
const (
	reachableNumerator   = 3
	reachableDenominator = 4
)
