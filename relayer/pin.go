package relayer

import (
	"context"
	"slices"
	"strconv"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/pinner"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// takesUp reports whether the request takes up a stream that began in another response.
func (j *job) takesUp() bool {
	return j.verdict.Route.Kind == bergamotdale.RouteStream && (j.envelope.ResumeAfter != "" || j.envelope.Resumes != "")
}

// maxStreamID is the length of a stream's ID, in bytes, from which its hash is used
// instead: clients choose the IDs, and routers store them.
const maxStreamID = 64

// streamID returns the ID under which the pin of the stream is stored: that of the
// attempt that brought its first event, which belongs to a workspace. It returns "" if
// the client takes a stream up and does not name it.
func (j *job) streamID() string {
	id := j.envelope.RequestID
	if j.takesUp() {
		id = j.envelope.Resumes
	}
	if id == "" {
		return ""
	}
	if j.verdict.Workspace != "" {
		id = j.verdict.Workspace + "/" + id
	}
	if len(id) > maxStreamID {
		id = strconv.FormatUint(hasher.Hash(id), 16)
	}
	return id
}

// findPin finds the software that began the stream that the request takes up, if it
// takes one up. It returns a refusal if the stream cannot go on.
func (j *job) findPin() *bergamotdale.Refusal {
	if !j.takesUp() {
		return nil
	}
	route := j.verdict.Route
	pin, refusal := j.relayer.Pins.Find(j.request.Context(), pinner.Query{Stream: j.streamID(), Service: j.service, MaxAge: route.Timeout})
	if refusal != nil {
		return refusal
	}
	if !slices.ContainsFunc(route.Targets, func(t bergamotdale.RouteTarget) bool { return t.Service == pin.Service }) {
		return bergamotdale.Refuse(bergamotdale.CodeVersionGone, "the route no longer leads to service %s, which began stream %q", pin.Service, j.streamID())
	}
	j.service = pin.Service
	j.pin.Store(&pin)
	return j.versionGone()
}

// pinStream records that the target writes the events of the stream, before the client
// gets the first one.
func (j *job) pinStream(ctx context.Context, conn *dialer.Conn, target subscriber.Endpoint) {
	if j.started {
		return
	}
	pin := pinner.Pin{Service: target.Service, Version: target.Version}
	j.pin.Store(&pin)
	stream := j.streamID()
	if !j.verdict.Route.Resumable || stream == "" {
		return
	}
	var source pinner.Source
	if j.pinInDoubt = !j.relayer.isConfirmed(conn, target); j.pinInDoubt {
		source = pinner.Source{Endpoint: target.ID, Incarnation: target.Incarnation}
	}
	j.relayer.Pins.Pin(ctx, stream, pin, source, max(0, j.envelope.TimeLeft-j.relayer.Clock.Now().Sub(j.arrival)))
}

// isOfPin reports whether the stream may go on at the endpoint.
func (j *job) isOfPin(e subscriber.Endpoint) bool {
	pin := j.pin.Load()
	return pin == nil || e.Version == pin.Version
}

// ofPin returns the endpoints at which the stream may go on, or begin if it is new.
func (j *job) ofPin(endpoints []subscriber.Endpoint) []subscriber.Endpoint {
	if j.pin.Load() == nil {
		return j.ofRecordedVersions(endpoints)
	}
	var chosen []subscriber.Endpoint
	for _, e := range endpoints {
		if j.isOfPin(e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// ofRecordedVersions returns the endpoints at which a new stream that can be taken up may
// begin. If none of the usable ones is of a version at which it may, it may begin at any:
// a version is recorded within moments.
func (j *job) ofRecordedVersions(endpoints []subscriber.Endpoint) []subscriber.Endpoint {
	route := j.verdict.Route
	if route.Kind != bergamotdale.RouteStream || !route.Resumable {
		return endpoints
	}
	now, usable := j.relayer.Clock.Now(), false
	recorded := make([]subscriber.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if j.relayer.Pins.MayBegin(e.Service, e.Version) {
			recorded = append(recorded, e)
			usable = usable || e.Usable(now)
		}
	}
	if !usable {
		return endpoints
	}
	return recorded
}

// versionGone returns a refusal if no endpoint of the version that began the stream is
// registered but those that leave, else nil.
func (j *job) versionGone() *bergamotdale.Refusal {
	pin := j.pin.Load()
	if pin == nil {
		return nil
	}
	for _, e := range j.relayer.Directory.State().Endpoints(j.service) {
		if e.Version == pin.Version && !e.Draining && !j.relayer.Gatekeeper.Leaving(e) {
			return nil
		}
	}
	return bergamotdale.Refuse(bergamotdale.CodeVersionGone, "no endpoint of service %s serves version %q, which began stream %q",
		pin.Service, pin.Version, j.streamID())
}
