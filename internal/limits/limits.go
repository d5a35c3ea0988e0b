// Package limits holds the bounds of the service on sizes, counts and times. They are derived once, at the start, from
// the configuration, and handed down; no other package of the service has such a bound of its own. What decides about
// requests is in the packages of policy instead.
package limits

import "time"

// Limits are the bounds. From fills them in.
type Limits struct {
	// The process.
	Cores   float64
	Memory  int64 // bytes, of all that the process holds
	Sockets int   // descriptors

	// Descriptors by use. The rest is a reserve for the log, discovery and the runtime.
	ClientConnections      int // open client connections
	RejectedConnections    int // beside these, connections that are being rejected with a response
	UpstreamConnections    int // connections to all endpoints together
	ConnectionsPerEndpoint int
	Redials                int // retries of a dial that failed for want of a descriptor
	StreamsPerConnection   int // attempts open on one upstream connection

	// Frames and requests.
	FrameStrings         int           // strings in a frame
	RequestBodyBytes     int           // body of a request
	ResponseBodyBytes    int           // body of a response
	FieldBytes           int           // any other string
	MaxSizeKB            float64       // size of the object that a request asks for
	ObjectiveKBPerSecond float64       // KB a second by which a latency objective grows with the size
	MaxRequestTimeout    time.Duration // timeout that a request may ask for

	// Memory, in bytes. Buffers grow to their bound only where that is needed.
	ClientReadBuffer     int
	ClientWriteBuffer    int
	UpstreamReadBuffer   int
	UpstreamWriteBuffer  int
	LocalCacheBytes      int
	ResponseBacklogBytes int64 // bodies of all responses that wait for their clients
	DiscoveryPageBytes   int64 // one response of the discovery server

	// Queues.
	OpenPerConnection int // requests open on one client connection
	PendingResponses  int // responses waiting on one client connection before its input is held
	EventQueue        int // events waiting for the engine
	LogQueue          int // lines waiting to be written

	// Client connections.
	ClientIdleTimeout time.Duration // until a connection without a request in flight is closed
	MessageTimeout    time.Duration // until the first message, or one that has begun, must be complete
	FirstRequestGrace time.Duration // how much longer a connection without a request yet counts as active
	CloseLinger       time.Duration // for each step of a rejection, and for a request that crosses a close
	HeldInputInterval time.Duration // between two checks whether clients whose input is held have gone; some within 0.1 s
	StaleReadAge      time.Duration // age at which a request that is read may have been cancelled by what follows it
	ReadAheadTimeout  time.Duration // how long such a cancel is waited for
	PauseMargin       time.Duration // how long before the deadline of a waiting request a pause of its connection ends

	// Upstream connections.
	ConnectTimeout      time.Duration // until a connection must be up
	SlowConnect         time.Duration // until a dial counts as slow, and another connection takes what waits for it
	UpstreamIdleTimeout time.Duration // until an idle connection is closed
	RequestWriteTimeout time.Duration // until a request that has begun to be written must be complete
	WriteStallTimeout   time.Duration // until a peer that reads nothing is disconnected; clients too
	StoreSilenceTimeout time.Duration // until a shared store that sends nothing is disconnected

	// Attempts.
	AttemptStartWithin  time.Duration // until an attempt must be sent: policy counts it from its first byte
	DrainingStartWithin time.Duration // the same where its endpoint, or the source of a fill, is draining
	ForgetAfter         time.Duration // until endpoints that are gone and aborted attempts are forgotten

	// Discovery.
	PollHold             time.Duration // how long the server may hold a poll
	PollTimeout          time.Duration // until a poll must have a response
	PollStallTimeout     time.Duration // until a response that stalls is given up
	PollPageTimeout      time.Duration // until a response that does not end is cut off, and what came is applied
	PollPromptWithin     time.Duration // within which a response counts as prompt: its events were there before
	DiscoveryRewindAfter time.Duration // until a server that is behind the last event counts as a new one
	DiscoveryDialTimeout time.Duration // until a connection must be up
	BackoffMin           time.Duration // first pause after a failed poll; it doubles
	BackoffMax           time.Duration // longest pause

	// Shutdown and housekeeping.
	DescriptorShortageAfter time.Duration // until a shortage counts as lasting, and connections are rejected
	RecheckInterval         time.Duration // between two checks of what is retried or waited for
	ShutdownLinger          time.Duration // for which requests are accepted after the order to stop
	ShutdownGrace           time.Duration // until the last request must have its response
	FlushTimeout            time.Duration // until that response, and the lines of the log, must be written
	SummaryInterval         time.Duration // between two summaries in the log
}

// Inputs are what the configuration and the settings say.
type Inputs struct {
	Cores                float64
	MemoryMB             int
	Sockets              int
	StreamsPerConnection int
	ConnectTimeout       time.Duration
	IdleTimeout          time.Duration
	LongestDeadline      time.Duration // of all request classes
	DrainGrace           time.Duration
	PurgeGrace           time.Duration
}

// From derives the bounds.
func From(inputs Inputs) Limits {
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

// withDefaults fills in what the settings do not say.
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

// memoryBytes is the memory of the process.
func (i *Inputs) memoryBytes() int { return i.MemoryMB << 20 }

// startGrace is the shorter of the graces after a drain and a purge, within which an attempt must start.
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

func (l *Limits) setProcess(inputs *Inputs) {
	l.Cores = inputs.Cores
	l.Memory = int64(inputs.memoryBytes())
	l.Sockets = inputs.Sockets
}

func (l *Limits) setDescriptors(inputs *Inputs) {
	l.ClientConnections = inputs.Sockets * 2 / 5
	l.RejectedConnections = inputs.Sockets / 32
	l.UpstreamConnections = inputs.Sockets * 2 / 5
	l.ConnectionsPerEndpoint = inputs.Sockets / 8
	l.Redials = 8
	l.StreamsPerConnection = inputs.StreamsPerConnection
}

func (l *Limits) setFrames(inputs *Inputs) {
	l.FrameStrings = 8
	l.RequestBodyBytes = 48_000
	l.ResponseBodyBytes = 240_000
	l.FieldBytes = 1 << 10
	l.MaxSizeKB = 1e9
	l.MaxRequestTimeout = 2*inputs.LongestDeadline + time.Second
}

func (l *Limits) setMemory(inputs *Inputs) {
	l.ClientReadBuffer = 64 << 10
	l.ClientWriteBuffer = 32 << 10
	l.UpstreamReadBuffer = 256 << 10
	l.UpstreamWriteBuffer = 64 << 10
	l.LocalCacheBytes = inputs.memoryBytes() / 4
	l.ResponseBacklogBytes = int64(inputs.memoryBytes()) / 6
	l.DiscoveryPageBytes = 4 << 20
}

func (l *Limits) setQueues() {
	l.OpenPerConnection = 32
	l.PendingResponses = 64
	l.EventQueue = 4096
	l.LogQueue = 1024
}

func (l *Limits) setClientConnections() {
	l.ClientIdleTimeout = 6 * time.Second
	l.MessageTimeout = 2 * time.Second
	l.FirstRequestGrace = time.Second
	l.CloseLinger = 150 * time.Millisecond
	l.HeldInputInterval = 20 * time.Millisecond
	l.StaleReadAge = 50 * time.Millisecond
	l.ReadAheadTimeout = time.Millisecond
	l.PauseMargin = 100 * time.Millisecond
}

func (l *Limits) setUpstreamConnections(inputs *Inputs) {
	l.ConnectTimeout = inputs.ConnectTimeout
	l.SlowConnect = inputs.ConnectTimeout / 8
	l.UpstreamIdleTimeout = inputs.IdleTimeout * 8 / 10
	l.RequestWriteTimeout = 100 * time.Millisecond
	l.WriteStallTimeout = 5 * time.Second
	l.StoreSilenceTimeout = time.Second
}

func (l *Limits) setAttempts(inputs *Inputs) {
	l.AttemptStartWithin = inputs.startGrace() * 9 / 10
	l.DrainingStartWithin = inputs.DrainGrace / 10
	l.ForgetAfter = 2 * (inputs.LongestDeadline + inputs.DrainGrace)
}

func (l *Limits) setDiscovery() {
	l.PollHold = 2 * time.Second
	l.PollTimeout = 2500 * time.Millisecond
	l.PollStallTimeout = 500 * time.Millisecond
	l.PollPageTimeout = 4 * time.Second
	l.PollPromptWithin = 500 * time.Millisecond
	l.DiscoveryRewindAfter = 3 * time.Second
	l.DiscoveryDialTimeout = time.Second
	l.BackoffMin = 50 * time.Millisecond
	l.BackoffMax = 500 * time.Millisecond
}

// setShutdown has the process end before the platform kills it. That is no sooner than the longest deadline, or 3 s if
// that is less, and 0.7 s more.
func (l *Limits) setShutdown(inputs *Inputs) {
	l.DescriptorShortageAfter = 100 * time.Millisecond
	l.RecheckInterval = 5 * time.Millisecond
	l.ShutdownLinger = 700 * time.Millisecond
	l.ShutdownGrace = min(inputs.LongestDeadline, 3*time.Second) + 450*time.Millisecond
	l.FlushTimeout = 150 * time.Millisecond
	l.SummaryInterval = 5 * time.Second
}
