package limits

// setMemory divides the memory. Larger sizes let the process exceed its memory.
func (l *Limits) setMemory(inputs *Inputs) {
	l.ClientFrameBytes = 64 << 10   // if lower, connections with a large request are closed
	l.ClientHeadBytes = 3 << 10     // if lower, connections with long fields are closed; must fit into ClientReadBuffer
	l.UpstreamReadBuffer = 16 << 10 // if lower, connections with long fields are closed
	l.StoreReadBuffer = 256 << 10   // if lower, connections with a large value are closed
	l.StoreWriteBuffer = 64 << 10   // if lower, a large value takes more writes

	l.ClientConnections = l.clientConnections()     // if lower, clients are rejected
	l.UpstreamConnections = l.upstreamConnections() // if lower, attempts share connections
	l.ConnectionsPerEndpoint = min(l.ConnectionsPerEndpoint, l.UpstreamConnections/endpointDivisor)
	l.ClientReadBuffer = l.buffer(l.ClientConnections)      // if lower, many requests at once take more reads
	l.ClientWriteBuffer = l.buffer(l.ClientConnections)     // if lower, a large response takes more writes
	l.UpstreamWriteBuffer = l.buffer(l.UpstreamConnections) // if lower, a large attempt takes more writes
	// If lower, clients that send much at once are rejected while servers are slow.
	l.HeldRequests = int(l.Memory / heldRequestsDivisor / requestBytes)
	l.RememberedIDs = int(l.Memory / idsDivisor / idBytes) // if lower, a request can run twice during a flood
	l.PayloadBytes = l.payloadBytes()                      // if lower, fewer bodies are held at once
	l.RequestPayloadBytes = l.PayloadBytes / 3             // if lower, writes that come together are rejected
	l.UpstreamPayloadBytes = l.PayloadBytes / 2            // if lower, large responses wait for each other
	l.LocalCacheBytes = inputs.memoryBytes() / 4           // if lower, fewer requests are served while servers are busy
	// If lower, slow readers lose responses.
	l.ResponseBacklogBytes = min(l.Memory/6, max(l.PayloadBytes/2, minBacklogBytes))
	// If lower, a long endpoint list is cut off; if higher, pages that do not end take the memory.
	l.DiscoveryPageBytes = max(minPageBytes, min(maxPageBytes, l.Memory/pageDivisor))
}

const (
	// heapShare is the part of the process's memory that the Go runtime is told to stay within. The rest is for memory
	// that the runtime does not account for, and for what is allocated while it collects garbage.
	heapShare = 0.75
	// liveShare is the part of the heap that may be in use: with more, the runtime would collect garbage all the time.
	liveShare = 0.85
	// fixedBytes is what a router needs besides bodies, requests and connections.
	fixedBytes = 7 << 20
	// connectionBytes is what a connection needs: two stacks and two buffers of the smallest size.
	connectionBytes = 24 << 10
	// minPayloadDivisor divides the memory to give the memory for bodies if connections could take all of it.
	minPayloadDivisor = 8
	// requestBytes is what the records of a request need, besides its body, and heldRequestsDivisor divides the memory
	// to give that for the records of all requests.
	requestBytes        = 3 << 10
	heldRequestsDivisor = 12
	// idBytes is what a remembered id needs, and idsDivisor divides the memory to give that for all of them.
	idBytes    = 96
	idsDivisor = 48
	// minBufferBytes and maxBufferBytes bound the buffers of a connection, and buffersDivisor divides the memory to give
	// that for all buffers of a kind.
	minBufferBytes = 4 << 10
	maxBufferBytes = 32 << 10
	buffersDivisor = 16
	// minClientDivisor divides the descriptors to give the client connections that there are at least, however little
	// memory there is: what the platform's clients may hold.
	minClientDivisor = 3
	// endpointDivisor divides the connections to endpoints to give those to one endpoint, so that an endpoint that does
	// not answer leaves connections to the others.
	endpointDivisor = 3
	// minBacklogBytes is the least memory for responses that wait for their clients: some of the largest.
	minBacklogBytes = 1 << 20
	// minPageBytes and maxPageBytes bound a response of the discovery server: a list of 3,200 endpoints takes 600 KB.
	minPageBytes = 768 << 10
	maxPageBytes = 4 << 20
	pageDivisor  = 24
)

// HeapBytes returns the memory that the Go runtime is told to stay within.
func (l *Limits) HeapBytes() int64 { return int64(heapShare * float64(l.Memory)) }

// liveBytes returns the memory that may be in use.
func (l *Limits) liveBytes() int64 { return int64(liveShare * float64(l.HeapBytes())) }

// buffer returns the size of a buffer that each of a number of connections has, a power of two.
func (l *Limits) buffer(connections int) int {
	size := minBufferBytes
	for size < maxBufferBytes && int64(2*size*connections) <= l.Memory/buffersDivisor {
		size *= 2
	}
	return size
}

// fittingConnections returns how many connections fit into the memory beside the smallest share of bodies.
func (l *Limits) fittingConnections() int {
	left := l.liveBytes() - fixedBytes - l.Memory/minPayloadDivisor - l.Memory/heldRequestsDivisor
	return int(left / connectionBytes)
}

// clientConnections returns how many connections of clients fit into the memory, but no fewer than they may hold.
func (l *Limits) clientConnections() int {
	fitting := l.fittingConnections() - l.RejectedConnections - l.ConnectionsPerEndpoint/2
	return min(l.ClientConnections, max(fitting, l.Sockets/minClientDivisor))
}

// upstreamConnections returns how many connections to endpoints fit into the memory beside those of clients and the
// smallest share of bodies, but no fewer than half of those to one endpoint.
func (l *Limits) upstreamConnections() int {
	fitting := l.fittingConnections() - l.ClientConnections - l.RejectedConnections
	return min(l.UpstreamConnections, max(fitting, l.ConnectionsPerEndpoint/2))
}

// payloadBytes returns the memory that is left for bodies if all connections and requests are open.
func (l *Limits) payloadBytes() int64 {
	connections := int64(l.ClientConnections + l.RejectedConnections + l.UpstreamConnections)
	left := l.liveBytes() - fixedBytes - connections*connectionBytes - int64(l.HeldRequests)*requestBytes
	return max(left, l.Memory/minPayloadDivisor)
}
