// Package operator serves the operators' interface of a router and connects to
// it. The messages are generated from operatorpb/operator.proto.
//
// Server answers from the small interfaces Configuration, Fleet, Reporter and
// Explainer. Client adds to the generated stubs what a command line needs: it
// tries several routers and reads the timeline of all of them.
package operator
