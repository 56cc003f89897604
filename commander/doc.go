// Package commander implements the command line of bergamotdale: operators'
// commands against the routers, and the start of a router.
//
// Exit codes are 0 for success, 1 for a failure and 2 for invalid usage,
// settings or configuration.
package commander
