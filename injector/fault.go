// Package injector injects faults into the fake servers. An Injector wraps
// the handler of a server, is driven over the control path /faults or through
// its methods, and applies each fault to the requests that the fault matches.
// Control and counter paths stay reachable under every fault, but for a total
// outage of a server without a control address.
//
// POST /faults adds the Fault in the body and returns it with its ID, GET
// lists the faults in force, and DELETE removes the one of ?id=, or all.
package injector

import (
	"net/http"
	"strings"

	"github.com/bergamotdale/bergamotdale/requester"
)

// Kind names what a fault does.
type Kind string

const (
	// Freeze stops the process: nothing is read, executed or written until
	// the fault is removed, then everything continues.
	Freeze Kind = "freeze"
	// Drop accepts connections and never answers; a connection that carried a
	// matching request stays silent after the fault is removed.
	Drop Kind = "drop"
	// Silence makes every connection that is open when the fault is added
	// silent for good, while new connections work. It isn't kept in the list.
	Silence Kind = "silence"
	// Cut closes the connections of the requests that run when the fault is
	// added. It isn't kept in the list.
	Cut Kind = "cut"
	// Delay holds each matching request back before it is executed.
	Delay Kind = "delay"
	// LoseResponse executes the request and cuts the connection instead of
	// sending the response.
	LoseResponse Kind = "lose-response"
	// Refuse answers 503 with outcome not-run before the request is executed.
	Refuse Kind = "refuse"
	// Outage cuts running requests and each new one without executing it.
	// Without match fields a server run by Serve also closes its listener, so
	// that new connections are refused.
	Outage Kind = "outage"
	// Crash ends the process when a request whose body contains Mark starts
	// to be executed.
	Crash Kind = "crash"
)

var kinds = map[Kind]bool{
	Freeze: true, Drop: true, Silence: true, Cut: true, Delay: true,
	LoseResponse: true, Refuse: true, Outage: true, Crash: true,
}

// Fault is one fault in force. Empty match fields match every request.
type Fault struct {
	// ID is set by the injector.
	ID   int64 `json:"id,omitempty"`
	Kind Kind  `json:"kind"`
	// Path is a prefix of the request path.
	Path string `json:"path,omitempty"`
	// Method is an HTTP method.
	Method string `json:"method,omitempty"`
	// Caller is the value of requester.CallerHeader.
	Caller string `json:"caller,omitempty"`
	// Mark is the part of a request body that triggers a Crash.
	Mark string `json:"mark,omitempty"`
	// DelayMS is the length of a Delay in milliseconds.
	DelayMS int64 `json:"delay-ms,omitempty"`
	// Count is the number of requests that the fault still applies to; zero
	// means that it applies until it is removed.
	Count int `json:"count,omitempty"`
	// DurationMS is the time in milliseconds after which the fault is removed;
	// zero means that it stays.
	DurationMS int64 `json:"duration-ms,omitempty"`
}

// total reports whether the fault is an outage of the whole server.
func (f Fault) total() bool {
	return f.Kind == Outage && f.Path == "" && f.Method == "" && f.Caller == "" && f.Count == 0
}

func (f Fault) matches(r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, f.Path) {
		return false
	}
	if f.Method != "" && f.Method != r.Method {
		return false
	}
	return f.Caller == "" || f.Caller == r.Header.Get(requester.CallerHeader)
}
