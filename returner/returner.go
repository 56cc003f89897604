// Package returner decides when a client whose request was refused comes back.
//
// It answers many clients that are refused at the same moment, in a flood or an
// outage: told the same time, they would return together and be refused again.
// Urgent requests return first, and those of one priority spread over a period.
package returner

import (
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// priorityStep is how much later the next less urgent priority returns,
	// relative to the shortest wait.
	priorityStep = 0.5
	// maxSteps bounds the steps, so that the least urgent is not sent away for
	// longer than its time.
	maxSteps = 4
	// leftShare is the part of a client's remaining time that a wait may take.
	// Clients give up on longer waits or ignore them.
	leftShare = 0.25
)

// Wait returns when the request with the id comes back. shortest is the least
// wait that makes sense, priority is 0 for the most urgent work, and left is the
// time that the client still waits, zero if unknown.
func Wait(id string, shortest time.Duration, priority int, left time.Duration) time.Duration {
	if shortest <= 0 {
		return 0
	}
	steps := min(max(0, priority), maxSteps)
	// The hash spreads the requests evenly, and the same on every router.
	spread := float64(hasher.Hash(id)>>11) / (1 << 53)
	wait := time.Duration(float64(shortest) * (1 + priorityStep*float64(steps) + spread))
	if left > 0 {
		wait = min(wait, time.Duration(float64(left)*leftShare))
	}
	return wait
}
