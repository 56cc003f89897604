// Package bergamotdale defines the types that the packages of the router fleet
// share: the interfaces to the store, the list of VMs, the endpoints and other
// routers, and the values that pass through them.
//
// The fleet runs between clients and endpoints. An endpoint is a model engine or a
// plain service that executes requests. Each endpoint is owned by one router, which
// admits the requests to it. The router that a client connects to is the entry
// router of the request; it passes the request on to the owner of an endpoint. A
// request belongs to a workspace, which is a tenant. Requests that are not completed
// end in a Refusal with a numbered Code, which states whether the request was
// executed.
//
// The packages that make decisions (placer, scheduler, limiter and so on) do not use
// the interfaces. They are pure functions of a snapshot, a time and a seed. Adapters
// (platformclient, engineclient, peerclient) implement the interfaces, and the router
// package connects the two.
package bergamotdale
