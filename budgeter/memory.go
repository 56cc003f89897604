package budgeter

const (
	// heldShare and connectionShare are parts of the memory, in hundredths. What requests
	// hold is on the heap, whose garbage adds up to 30 in 100 of it (gateway.gcPercent); the
	// rest is left for that, the program and its peers.
	heldShare       = 30
	connectionShare = 20
	// servedShare is the part of the connections, in hundredths, that are served. The others
	// are in excess: they are answered with a refusal and closed.
	servedShare = 80
	// bufferShare is the divisor of the memory that gives the size of a receive buffer,
	// between minBuffer and maxBuffer bytes. maxBuffer lets 64 KiB arrive in a round trip,
	// as the usual initial buffer of Linux does.
	bufferShare = 8 << 10
	minBuffer   = 8 << 10
	maxBuffer   = 64 << 10
	// connectionState is what a connection needs beside its receive buffer, in bytes: both
	// buffers of net/http, two stacks and the headers of a request.
	connectionState = 32 << 10
	// requestState is what a request in progress needs beside its body and the connection
	// to its endpoint, in bytes.
	requestState = 16 << 10
)

// Memory is how the memory of a process is divided. Sizes are in bytes.
type Memory struct {
	// Held is the memory of requests in progress: their bodies, responses that clients
	// have not read, and RequestState for each.
	Held         int64
	RequestState int64
	// Served is the largest number of connections of clients that are served, and
	// Connections that of all, with those that are refused.
	Served, Connections int
	// ReceiveBuffer is the size of the receive buffer of a connection, which bounds what
	// has arrived and is not read.
	ReceiveBuffer int
}

// DivideMemory divides the memory that a process may use.
func DivideMemory(limit int64) Memory {
	buffer := min(max(limit/bufferShare, minBuffer), maxBuffer)
	connections := limit / 100 * connectionShare / (unread(buffer) + connectionState)
	return Memory{
		Held:          limit / 100 * heldShare,
		RequestState:  requestState + unread(buffer),
		Served:        int(connections * servedShare / 100),
		Connections:   int(connections),
		ReceiveBuffer: int(buffer),
	}
}

// unread returns how many bytes a connection with a receive buffer of the size holds at
// most. Linux doubles the size for its own data, of which a quarter may be used for bytes.
func unread(buffer int64) int64 { return buffer + buffer/2 }
