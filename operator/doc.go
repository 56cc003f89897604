// Package operator implements the server and the client of a router's operator
// API: the RPC service through which operators read and change the configuration
// and inspect the fleet. The service is defined in operatorpb/operator.proto.
//
// Server implements the service on top of the interfaces Configuration, Fleet,
// Reporter and Explainer. Client extends the generated stubs for command lines:
// Dial tries several routers, and Timeline merges the events of all routers.
package operator
