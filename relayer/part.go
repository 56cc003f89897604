package relayer

import (
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// progressTime is how long an endpoint must have been sending an answer for the parts of
// the prompt to be no suspects of its crash.
const progressTime = time.Second

// partMonitor follows how the endpoints answer a request, for the quarantine of
// prompt parts.
type partMonitor struct {
	// ids are the IDs of the parts of the prompt that other requests may share.
	ids []string
	// firstEvent is when the latest attempt got its first event, and reportedAt when
	// progress was last reported.
	firstEvent time.Time
	reportedAt time.Time
	// outcomeUnknown is the latest refusal after which an endpoint may have executed
	// the request, nil if there is none.
	outcomeUnknown *bergamotdale.Refusal
}

// sharedParts returns the IDs of all parts of a prompt but the last, which belongs to
// the request or its chat.
func sharedParts(e bergamotdale.Envelope) []string {
	if len(e.Parts) < 2 {
		return nil
	}
	ids := make([]string, 0, len(e.Parts)-1)
	for _, p := range e.Parts[:len(e.Parts)-1] {
		ids = append(ids, p.ID)
	}
	return ids
}

// recordFailure records how an attempt has failed.
func (m *partMonitor) recordFailure(f *failure) {
	if f.sent && f.refusal.Outcome != bergamotdale.OutcomeNotRun {
		m.outcomeUnknown = f.refusal
	}
}

// refusePart begins an attempt, or returns a final failure if a part of the prompt is
// quarantined. This may have happened after the request was accepted.
func (j *job) refusePart() *failure {
	j.parts.firstEvent, j.parts.reportedAt = time.Time{}, time.Time{}
	refusal := j.relayer.Quarantine.PartRefusal(j.parts.ids, true)
	if refusal == nil {
		return nil
	}
	if earlier := j.parts.outcomeUnknown; earlier != nil {
		refusal = earlier
	}
	return &failure{refusal: refusal, final: true}
}

// recordPartEvents records that the endpoint has sent events. Those that come later
// than progressTime after the first are progress.
func (j *job) recordPartEvents() {
	m, now := &j.parts, j.relayer.Clock.Now()
	if m.firstEvent.IsZero() {
		m.firstEvent = now
	}
	if now.Sub(m.firstEvent) >= progressTime && now.Sub(m.reportedAt) >= progressTime {
		m.reportedAt = now
		j.relayer.Quarantine.RecordPartProgress(m.ids)
	}
}

// recordPartEnd records that the response has ended. If only the end of the connection
// marks its end, the endpoint may also have crashed.
func (j *job) recordPartEnd(target subscriber.Endpoint, exchange *dialer.Exchange) {
	r, response, suspects := j.relayer, exchange.Response, j.suspectParts()
	switch delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0; {
	case len(j.parts.ids) == 0 || response.StatusCode >= http.StatusMultipleChoices:
	case delimited:
		r.Quarantine.RecordPartProgress(j.parts.ids)
	case len(suspects) > 0:
		go func() { r.recordPartCrash(target, suspects, r.Dialer.Probe(target.Address)) }()
	}
}

// suspectParts returns the parts of the prompt if the latest attempt has not made
// progress, so that they may be the cause of a crash now.
func (j *job) suspectParts() []string {
	if first := j.parts.firstEvent; !first.IsZero() && j.relayer.Clock.Now().Sub(first) >= progressTime {
		return nil
	}
	return j.parts.ids
}

// recordPartCrash records the crash of an endpoint with the suspect parts of a
// request, if the probe after the crash was refused. An endpoint that is only
// unreachable has not crashed.
func (r *Relayer) recordPartCrash(target subscriber.Endpoint, suspects []string, probeErr error) {
	if len(suspects) > 0 && errors.Is(probeErr, syscall.ECONNREFUSED) {
		r.Quarantine.RecordPartCrash(target.ID+"@"+strconv.FormatInt(target.Incarnation, 10), suspects)
	}
}
