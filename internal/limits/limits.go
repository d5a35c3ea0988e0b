// Package limits holds the bounds of the service on sizes, counts and times. The bounds are derived from the
// configuration once, at startup, and passed to the other packages of the service, which have no such bounds of their
// own. Limits that decide about requests belong to the policy packages instead.
package limits

import "time"

// Limits holds all bounds. The comments at the fields name the unit where the type does not; the functions below that
// set the fields say what a wrong value causes.
type Limits struct {
	// The process.
	Cores   float64 // CPU cores
	Memory  int64   // bytes of memory of the whole process
	Sockets int     // open descriptors

	// Descriptors by use. The remainder is a reserve for the log, discovery and the runtime.
	ClientConnections      int // open client connections
	RejectedConnections    int // further connections that are open only until their rejection is sent
	UpstreamConnections    int // connections to all endpoints together
	ConnectionsPerEndpoint int // connections to one endpoint
	MaxRedials             int // retries of a dial that fails for a local reason, or at once as unreachable
	StreamsPerConnection   int // attempts in flight on one upstream connection

	// Frames and requests.
	MaxFrameStrings   int           // strings in a frame
	RequestBodyBytes  int           // bytes in the body of a request
	ResponseBodyBytes int           // bytes in the body of a response
	FieldBytes        int           // bytes in any other string
	MaxSizeKB         float64       // kilobytes of the object that a request asks for
	MaxRequestTimeout time.Duration // longest timeout that a request may ask for

	// Memory in bytes. Buffers grow to these sizes only when they need to. Long bodies are not read into buffers.
	ClientFrameBytes     int   // frame of a client
	ClientHeadBytes      int   // frame of a client without its last string
	ClientReadBuffer     int   // input of one client connection
	ClientWriteBuffer    int   // output of one client connection
	UpstreamReadBuffer   int   // input of one upstream connection
	UpstreamWriteBuffer  int   // output of one upstream connection
	StoreReadBuffer      int   // input of the connection to a shared store
	StoreWriteBuffer     int   // output of the connection to a shared store
	PayloadBytes         int64 // bodies of all kinds together; the local cache yields to the others
	RequestPayloadBytes  int64 // bodies of all requests
	UpstreamPayloadBytes int64 // bodies of all responses that are being received
	LocalCacheBytes      int   // local cache
	ResponseBacklogBytes int64 // bodies of all responses that wait for their clients
	DiscoveryPageBytes   int64 // one response of the discovery server

	// Queues.
	OpenPerConnection int // open requests on one client connection
	RememberedIDs     int // ids of requests that may have run and must not run twice
	HeldRequests      int // requests of all clients whose records are held, open or with attempts in flight
	PendingResponses  int // responses waiting on one client connection before its input is held
	EventQueue        int // events waiting for the engine
	LogQueue          int // log lines waiting to be written

	// Client connections.
	ClientIdleTimeout    time.Duration // idle time after which a connection without open requests is closed
	MessageTimeout       time.Duration // time for the TLS handshake, for the first message and for one that has begun
	NoMessageIdlePenalty time.Duration // added to the idle time of a connection that has sent no message yet, for eviction
	CloseLinger          time.Duration // wait in each step of a rejection, and for a request that races with a close
	HeldInputInterval    time.Duration // time between two checks of held input for cancels and for clients that have left
	StaleReadAge         time.Duration // age from which a request may have been cancelled by input that is not read yet
	ReadAheadTimeout     time.Duration // time for reading on in search of such a cancel
	PauseMargin          time.Duration // time before a held request's deadline at which the pause of its connection ends

	// Upstream connections.
	ConnectTimeout      time.Duration // time for establishing a connection
	SlowConnect         time.Duration // time after which the attempts that wait for a dial move to another connection
	UpstreamIdleTimeout time.Duration // idle time after which a connection is closed
	RequestWriteTimeout time.Duration // time for writing the rest of an attempt that is partly written
	WriteStallTimeout   time.Duration // time after which a peer that reads nothing is disconnected, clients included
	StoreSilenceTimeout time.Duration // time after which a shared store that sends nothing is disconnected

	// Attempts.
	AttemptStartWithin  time.Duration // time from the routing decision to the first byte of an attempt
	DrainingStartWithin time.Duration // the same if the endpoint, or the source of a fill, is draining
	ForgetAfter         time.Duration // time after which endpoints that are gone and old attempts are forgotten

	// Discovery.
	PollHold             time.Duration // time for which the server may hold a poll open
	PollTimeout          time.Duration // time after which a response that has not begun is overdue
	PollStallTimeout     time.Duration // time after which a response that makes no progress is overdue
	PollPatience         time.Duration // longest time after its hold at which a poll is overdue, however slow the server
	PollGiveUp           time.Duration // time after which a poll without a sign of life is abandoned
	PollPageTimeout      time.Duration // time after which a response that does not end is cut off; its events apply
	PollPartInterval     time.Duration // time after which the events of a response are applied though it goes on
	PollPromptWithin     time.Duration // time within which a response is prompt: its events are older than the poll
	DiscoveryRewindAfter time.Duration // time after which a server that is behind the last event counts as a new server
	DiscoveryDialTimeout time.Duration // time for establishing a connection
	BackoffMin           time.Duration // first pause after a failed poll or store connection; each further pause doubles
	BackoffMax           time.Duration // longest pause after a failed poll or store connection

	// Shutdown and housekeeping.
	DescriptorShortageAfter time.Duration // time after which a descriptor shortage is lasting, so connections are rejected
	RecheckInterval         time.Duration // pause between two checks of a condition that is polled
	ShutdownLinger          time.Duration // time after the signal to stop during which new requests are accepted
	ShutdownGrace           time.Duration // time after the signal to stop within which the last request is answered
	FlushTimeout            time.Duration // time after that for writing the last response, and for flushing the log
	SummaryInterval         time.Duration // time between two summaries in the log
}

// Inputs holds the configured values from which the limits are derived.
type Inputs struct {
	Cores                float64
	MemoryMB             int
	Sockets              int // descriptors that the process may open
	StreamsPerConnection int
	ConnectTimeout       time.Duration
	IdleTimeout          time.Duration // of upstream connections
	LongestDeadline      time.Duration // of all request classes
	DrainGrace           time.Duration // after a drain is published
	PurgeGrace           time.Duration // after a purge is published
}

// Derive derives the limits.
func Derive(inputs Inputs) Limits {
	inputs = inputs.withDefaults()
	var lim Limits
	lim.setProcess(&inputs)
	lim.setDescriptors(&inputs)
	lim.setFrames(&inputs)
	lim.setMemory(&inputs)
	lim.setQueues()
	lim.setClientConnections()
	lim.setUpstreamConnections(&inputs)
	lim.setAttempts(&inputs)
	lim.setDiscovery()
	lim.setShutdown(&inputs)
	return lim
}

// withDefaults returns the inputs with defaults in place of missing values.
func (i Inputs) withDefaults() Inputs {
	i.StreamsPerConnection = max(1, i.StreamsPerConnection)
	if i.ConnectTimeout <= 0 {
		i.ConnectTimeout = time.Second
	}
	if i.IdleTimeout <= 0 {
		i.IdleTimeout = time.Minute
	}
	return i
}

// memoryBytes returns the memory of the process in bytes.
func (i *Inputs) memoryBytes() int { return i.MemoryMB << 20 }

// startGrace returns the shorter of the graces after a drain and after a purge, or two connect timeouts if there is no
// drain grace. An attempt that starts later would reach a drained server or miss the purge.
func (i *Inputs) startGrace() time.Duration {
	grace := i.DrainGrace
	if i.PurgeGrace > 0 {
		grace = min(grace, i.PurgeGrace)
	}
	if grace <= 0 {
		grace = 2 * i.ConnectTimeout
	}
	return grace
}

// setProcess copies the limits of the process.
func (l *Limits) setProcess(inputs *Inputs) {
	l.Cores = inputs.Cores
	l.Memory = int64(inputs.memoryBytes())
	l.Sockets = inputs.Sockets
}

// setDescriptors divides the descriptors. Larger shares leave too few for the log, discovery and the runtime.
func (l *Limits) setDescriptors(inputs *Inputs) {
	l.ClientConnections = inputs.Sockets * 2 / 5         // if lower, clients are rejected although descriptors are free
	l.RejectedConnections = inputs.Sockets / 32          // if lower, clients may be closed before they read the rejection
	l.UpstreamConnections = inputs.Sockets * 2 / 5       // if lower, attempts share connections and fail together
	l.ConnectionsPerEndpoint = inputs.Sockets / 8        // if higher, one slow endpoint uses up the connections of all
	l.MaxRedials = 8                                     // if lower, a brief shortage of descriptors fails attempts
	l.StreamsPerConnection = inputs.StreamsPerConnection // if higher, a broken connection fails more attempts
}

// setFrames sets the limits on what clients and servers send. Values that are too low make valid messages fail.
func (l *Limits) setFrames(inputs *Inputs) {
	l.MaxFrameStrings = 8
	l.RequestBodyBytes = 48_000   // with its fields, must fit into ClientFrameBytes
	l.ResponseBodyBytes = 240_000 // with its fields, must fit into UpstreamReadBuffer
	l.FieldBytes = 1 << 10
	l.MaxSizeKB = 1e9
	l.MaxRequestTimeout = 2*inputs.LongestDeadline + time.Second // if higher, one request can hold memory for long
}

// setQueues sets the lengths of queues. Longer queues use more memory and let requests wait longer.
func (l *Limits) setQueues() {
	l.OpenPerConnection = 32 // if lower, clients that send several requests at once get failures
	l.PendingResponses = 64  // if lower, fast clients are held although they read
	l.EventQueue = 4096      // if lower, a burst of requests is rejected
	l.LogQueue = 1024        // if lower, a burst of log lines is dropped
}

func (l *Limits) setClientConnections() {
	l.ClientIdleTimeout = 6 * time.Second       // if lower, slow clients must reconnect; if higher, descriptors are held
	l.MessageTimeout = 2 * time.Second          // if lower, slow clients are cut off; if higher, descriptors are held
	l.NoMessageIdlePenalty = time.Second        // if lower, connections that send nothing crowd out used ones
	l.CloseLinger = 150 * time.Millisecond      // if lower, a close resets the connection before the client has read
	l.HeldInputInterval = 20 * time.Millisecond // a client that has left must be noticed within 0.1 s
	l.StaleReadAge = 50 * time.Millisecond      // if higher, requests are forwarded that are cancelled already
	l.ReadAheadTimeout = time.Millisecond       // if higher, the connection's other requests are delayed
	l.PauseMargin = 100 * time.Millisecond      // if lower, a held request is rejected after its deadline
}

func (l *Limits) setUpstreamConnections(inputs *Inputs) {
	l.ConnectTimeout = inputs.ConnectTimeout            // if lower, slow servers are unreachable; if higher, attempts wait
	l.SlowConnect = inputs.ConnectTimeout / 8           // if higher, attempts wait for connections that never come up
	l.UpstreamIdleTimeout = inputs.IdleTimeout * 8 / 10 // if higher, an attempt may meet the server's own idle close
	l.RequestWriteTimeout = 100 * time.Millisecond      // if higher, a late attempt names a deadline that is too long
	l.WriteStallTimeout = 5 * time.Second               // if lower, slow peers are cut off; if higher, stuck peers stay
	l.StoreSilenceTimeout = time.Second                 // if lower, slow stores are cut off; if higher, requests wait
}

func (l *Limits) setAttempts(inputs *Inputs) {
	l.AttemptStartWithin = inputs.startGrace() * 9 / 10              // if higher, attempts start after the grace
	l.DrainingStartWithin = inputs.DrainGrace / 10                   // if higher, attempts start after the drain grace
	l.ForgetAfter = 2 * (inputs.LongestDeadline + inputs.DrainGrace) // if lower, a retry may get a late response
}

func (l *Limits) setDiscovery() {
	l.PollHold = 2 * time.Second                // if lower, the server is polled more often without news
	l.PollTimeout = 2500 * time.Millisecond     // must exceed PollHold, or polls without news fail
	l.PollStallTimeout = 500 * time.Millisecond // if lower, a slow server is polled twice; if higher, news waits
	// If higher, what a stopped server has to tell counts as notified, 2 s after the hold, before it is polled again; if
	// lower, a slow server is polled twice.
	l.PollPatience = 1500 * time.Millisecond
	l.PollGiveUp = 7 * time.Second              // if lower, a slow server is never heard; if higher, connections are held
	l.PollPageTimeout = time.Minute             // if lower, a long event of a slow server is never heard
	l.PollPartInterval = 200 * time.Millisecond // if lower, a page costs more; if higher, the news of a slow server waits
	l.PollPromptWithin = 500 * time.Millisecond // if lower, old events count as new; must be less than PollHold
	l.DiscoveryRewindAfter = 3 * time.Second    // if lower, a server that is catching up counts as a new one
	l.DiscoveryDialTimeout = time.Second        // if higher, news waits for a server that is unreachable
	l.BackoffMin = 50 * time.Millisecond        // if lower, a failing server is flooded with polls
	l.BackoffMax = 500 * time.Millisecond       // if higher, news waits after the server has recovered
}

// setShutdown makes the process end before the platform kills it. After the signal to stop, the platform waits at least
// for the longest deadline, or 3 s if that is shorter, plus 0.7 s.
func (l *Limits) setShutdown(inputs *Inputs) {
	l.DescriptorShortageAfter = 100 * time.Millisecond // if lower, a brief shortage rejects connections
	l.RecheckInterval = 5 * time.Millisecond           // if lower, polling uses CPU; if higher, it adds delay
	l.ShutdownLinger = 700 * time.Millisecond          // if lower, requests on their way at the signal are lost
	// If lower, requests fail before their deadlines; if higher, the platform's kill interrupts them.
	l.ShutdownGrace = min(inputs.LongestDeadline, 3*time.Second) + 450*time.Millisecond
	l.FlushTimeout = 150 * time.Millisecond // if lower, the last responses are lost; if higher, the kill interrupts them
	l.SummaryInterval = 5 * time.Second     // if lower, summaries fill the log
}
