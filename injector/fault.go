// Package injector injects faults into the fake servers that tests use in
// place of engines, services and the platform. An Injector wraps the handler of
// such a server and applies each active fault to the requests that the fault
// matches. Faults are added and removed through its methods or over HTTP.
//
// POST /faults adds the Fault in the request body and returns it with its ID,
// GET /faults lists the active faults, and DELETE /faults removes the fault
// with the ID in the query parameter id, or all faults without that parameter.
// The control, counter and settings paths stay reachable under every fault
// except a total outage of a server that has no control address.
package injector

import (
	"net/http"
	"strings"

	"github.com/bergamotdale/bergamotdale/requester"
)

// Kind is the effect of a fault.
type Kind string

const (
	// Freeze simulates a stopped process: no request is executed and no
	// response is written until the fault is removed, then all of them continue.
	Freeze Kind = "freeze"
	// Drop accepts connections and never responds. A connection that carried
	// a matching request stays without responses after the fault is removed.
	Drop Kind = "drop"
	// Silence permanently stops all responses on the connections that are open
	// when the fault is added, without closing them; new connections work. The
	// fault takes effect once and is not listed.
	Silence Kind = "silence"
	// Cut closes the connections of the requests that are being handled when
	// the fault is added. The fault takes effect once and is not listed.
	Cut Kind = "cut"
	// Delay waits for DelayMS before each matching request is executed.
	Delay Kind = "delay"
	// LoseResponse executes the request and closes the connection instead of
	// sending the response.
	LoseResponse Kind = "lose-response"
	// Refuse responds with status 503 and the outcome not-run, and does not
	// execute the request.
	Refuse Kind = "refuse"
	// Outage closes the connection of each matching request without executing
	// it. An outage without match fields and Count is total: it also closes the
	// connections of the requests that are being handled, and a server run by
	// Serve closes its listener, so that new connections are refused.
	Outage Kind = "outage"
	// Crash ends the process when the execution of a request starts whose body
	// contains Mark.
	Crash Kind = "crash"
)

var validKinds = map[Kind]bool{
	Freeze: true, Drop: true, Silence: true, Cut: true, Delay: true,
	LoseResponse: true, Refuse: true, Outage: true, Crash: true,
}

// Fault describes a fault. The match fields Path, Method and Caller select the
// requests that it applies to; an empty field matches every request.
type Fault struct {
	// ID identifies the fault; the injector assigns it.
	ID   int64 `json:"id,omitempty"`
	Kind Kind  `json:"kind"`
	// Path is a prefix of the URL paths of matching requests.
	Path string `json:"path,omitempty"`
	// Method is the HTTP method of matching requests.
	Method string `json:"method,omitempty"`
	// Caller is the value of requester.CallerHeader in matching requests.
	Caller string `json:"caller,omitempty"`
	// Mark is the text in a request body that triggers a Crash.
	Mark string `json:"mark,omitempty"`
	// DelayMS is the duration of a Delay in milliseconds.
	DelayMS int64 `json:"delay-ms,omitempty"`
	// Count is the number of requests that the fault still applies to. Zero
	// means no limit: it applies until it is removed.
	Count int `json:"count,omitempty"`
	// DurationMS is the time in milliseconds after which the fault is removed.
	// Zero means that it is not removed automatically.
	DurationMS int64 `json:"duration-ms,omitempty"`
}

// isTotalOutage reports whether the fault is an outage that applies to every
// request.
func (f Fault) isTotalOutage() bool {
	return f.Kind == Outage && f.Path == "" && f.Method == "" && f.Caller == "" && f.Count == 0
}

// matches reports whether the request has the properties in the match fields.
func (f Fault) matches(r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, f.Path) {
		return false
	}
	if f.Method != "" && f.Method != r.Method {
		return false
	}
	return f.Caller == "" || f.Caller == r.Header.Get(requester.CallerHeader)
}
