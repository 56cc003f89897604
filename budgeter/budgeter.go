// Package budgeter divides the resources of a process among the parts that use them,
// so that none of them takes what another one needs.
package budgeter

// fileDescriptors is the number of descriptors that are left for files, pipes and the
// runtime. The platform reserves as many of a process's descriptors for files.
const fileDescriptors = 200

// Descriptors is how the descriptors of a process are divided. A request in progress
// needs one towards its client and one towards its endpoint, so that the endpoints'
// share is that of the clients again. What is left is for other routers, the store,
// readiness probes and metrics.
type Descriptors struct {
	// Clients is the largest number of connections of clients.
	Clients int
	// IdleEndpoints is the largest number of idle connections to endpoints.
	IdleEndpoints int
}

// DivideDescriptors divides the descriptors that a process may have. Each part is at
// least 1.
func DivideDescriptors(limit int) Descriptors {
	sockets := max(0, limit-fileDescriptors)
	return Descriptors{Clients: max(1, sockets*2/5), IdleEndpoints: max(1, sockets/10)}
}
