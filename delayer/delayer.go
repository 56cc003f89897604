// Package delayer decides how long a client waits before it retries a refused
// request.
//
// In an overload or an outage many clients are refused at the same time. With the
// same delay they would all retry at the same time and be refused again. The
// delays are therefore spread over a period, and they are shorter for more urgent
// priorities, so that urgent requests are retried first.
//
// A Schedule knows more: when endpoints take requests again that have named a time.
package delayer

import (
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// priorityStep is the additional delay of each less urgent priority, relative
	// to the shortest delay.
	priorityStep = 0.5
	// maxPrioritySteps limits the additional delay, so that the least urgent
	// requests are not delayed until clients have given up.
	maxPrioritySteps = 4
	// maxTimeLeftFraction is the fraction of a client's remaining time that the
	// delay may take. Clients give up on longer delays or ignore them.
	maxTimeLeftFraction = 0.25
)

// RetryDelay returns how long the client waits before it retries the request with
// the id. shortest is the minimum delay after which a retry can succeed, or 0 if
// it can't; priority is 0 for the most urgent requests; timeLeft is how long the
// client will still wait for a response, or 0 if unknown.
func RetryDelay(requestID string, shortest time.Duration, priority int, timeLeft time.Duration) time.Duration {
	if shortest <= 0 {
		return 0
	}
	steps := min(max(0, priority), maxPrioritySteps)
	// The hash spreads the delays evenly and gives the same delay on every router.
	spread := float64(hasher.Hash(requestID)>>11) / (1 << 53)
	delay := time.Duration(float64(shortest) * (1 + priorityStep*float64(steps) + spread))
	if timeLeft > 0 {
		delay = min(delay, time.Duration(float64(timeLeft)*maxTimeLeftFraction))
	}
	return delay
}
