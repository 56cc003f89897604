// Package commander implements the bergamotdale command line: the commands with
// which operators inspect and configure running routers through the operator API,
// and the commands that run a router or a gateway.
//
// Exit codes are 0 for success, 1 for a failure and 2 for invalid usage,
// settings or configuration. The check-traffic command returns 1 for a configuration with
// errors too.
package commander
