// Package bergamotdale defines the ports of the router fleet: the interfaces
// through which its packages reach the store, the VM list, the endpoints and
// each other, and the value types that cross them.
//
// Decision packages (placer, scheduler, limiter and so on) do not depend on
// these interfaces. They are pure functions of a snapshot, a time and a seed.
// Adapters (platformclient, engineclient, peerclient) implement the
// interfaces. The router package composes both.
package bergamotdale
