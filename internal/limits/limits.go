// Package limits holds every bound of the service on sizes, counts and times. This file owns that one type: it is
// filled at start from the configuration and handed down, and no other place of the network code may hold a bound
// of its own. What decides about views stands in package rules instead.
package limits

import "time"

// Limits is filled by From.
type Limits struct {
	Cores   float64
	Memory  int64 // bytes, for all that the process holds
	Sockets int   // descriptors

	// Descriptors by use; what is left over is a reserve for the log, the bulletin and the runtime.
	ClientConnections      int
	RejectedConnections    int // connections that are being turned back with a word, beside those
	UpstreamConnections    int // connections to all nodes together
	ConnectionsPerEndpoint int // connections to one node
	Redials                int // times that a connection is tried again for which there was no descriptor
	StreamsPerConnection   int // legs open on one of them

	// Frames and rings, in bytes. Rings grow to these only where they are needed.
	FrameStrings         int           // strings in a frame
	RequestBodyBytes     int           // body of a view
	ResponseBodyBytes    int           // body of an answer
	FieldBytes           int           // any other string
	MaxSizeKB            float64       // size of what a view asks for
	ObjectiveKBPerSecond float64       // KB a second by which a due time grows
	MaxRequestTimeout    time.Duration // of a view
	ClientReadBuffer     int
	ClientWriteBuffer    int
	UpstreamReadBuffer   int
	UpstreamWriteBuffer  int
	LocalCacheBytes      int   // the router's own copies
	ResponseBacklogBytes int64 // bodies that wait for clients, all together
	DiscoveryPageBytes   int64 // one answer of the bulletin

	OpenPerConnection int // views open on one client connection
	PendingResponses  int // answers that wait on one of them before its input does
	EventQueue        int // events that wait for the engine
	LogQueue          int // lines that wait for the log

	ConnectTimeout          time.Duration // until a connection to a node is up
	SlowConnect             time.Duration // until one that is not up yet is taken for late, and what waits for it goes by another
	UpstreamIdleTimeout     time.Duration // until an idle connection to a node is closed
	ClientIdleTimeout       time.Duration // until a client connection is closed on which nothing comes and nothing is open
	MessageTimeout          time.Duration // until one is on which no message was whole yet, or one that has begun is not
	FirstRequestGrace       time.Duration // how much longer than one that has asked it counts as resting
	CloseLinger             time.Duration // for each half of turning a connection back, and for what crosses an end
	HeldInputInterval       time.Duration // how often it is looked for clients that leave while their input is held: some times within 0.1 s
	WriteStallTimeout       time.Duration // until a peer that reads nothing is cut off
	RequestWriteTimeout     time.Duration // until a request to a server that has begun to be written must be whole, or never becomes so
	StaleReadAge            time.Duration // a client's request that is older when it is read may have been cancelled behind it
	PauseMargin             time.Duration // a pause of a client's connection ends so long before the time of a request that waits there
	ReadAheadTimeout        time.Duration // how long it is then looked for what stands behind it
	StoreSilenceTimeout     time.Duration // until a store of which nothing is heard is cut off
	AttemptStartWithin      time.Duration // until a leg is on its way, or never goes: the rules count a send from its first byte
	DrainingStartWithin     time.Duration // the same to or from a node that is told to leave
	ForgetAfter             time.Duration // until a gone node, or a leg given up, is forgotten: longer than any view lasts
	PollHold                time.Duration // how long the bulletin may hold a poll
	PollTimeout             time.Duration // until a poll is given up
	PollStallTimeout        time.Duration // until one is whose answer has begun and does not go on
	PollPageTimeout         time.Duration // until one is whose answer goes on and on: what it told is taken then
	PollPromptWithin        time.Duration // a poll that is answered sooner has not waited for what it brings
	DiscoveryRewindAfter    time.Duration // until a bulletin that stays behind what was told is taken for a new one
	DiscoveryDialTimeout    time.Duration // until a connection to the bulletin is up, or another is tried
	BackoffMin              time.Duration // the first wait after a failed poll; it doubles
	BackoffMax              time.Duration // the longest such wait
	DescriptorShortageAfter time.Duration // until a want of descriptors is no longer taken for one of the moment, and connections are turned back
	RecheckInterval         time.Duration // between two looks at what has to be tried or awaited
	ShutdownLinger          time.Duration // how long new views come after the order to stop
	ShutdownGrace           time.Duration // until the last view has its answer after it
	FlushTimeout            time.Duration // and until the last answer, or line of the log, is written
	SummaryInterval         time.Duration // between two summary lines
}

// Inputs is what the configuration and the settings say.
type Inputs struct {
	Cores                       float64
	MemoryMB                    int
	Sockets                     int
	StreamsPerConnection        int
	ConnectTimeout, IdleTimeout time.Duration
	LongestDeadline             time.Duration
	DrainGrace, PurgeGrace      time.Duration // graces
}

// From derives the bounds from what was told.
func From(t Inputs) Limits {
	streams := max(1, t.StreamsPerConnection)
	if t.ConnectTimeout <= 0 {
		t.ConnectTimeout = time.Second
	}
	if t.IdleTimeout <= 0 {
		t.IdleTimeout = time.Minute
	}
	grace := t.DrainGrace
	if t.PurgeGrace > 0 {
		grace = min(grace, t.PurgeGrace)
	}
	if grace <= 0 {
		grace = 2 * t.ConnectTimeout
	}
	return Limits{
		Cores: t.Cores, Memory: int64(t.MemoryMB) << 20, Sockets: t.Sockets,
		ClientConnections: t.Sockets * 2 / 5, RejectedConnections: t.Sockets / 32, UpstreamConnections: t.Sockets * 2 / 5, ConnectionsPerEndpoint: t.Sockets / 8, Redials: 8, StreamsPerConnection: streams,
		FrameStrings: 8, RequestBodyBytes: 48_000, ResponseBodyBytes: 240_000, FieldBytes: 1 << 10, MaxSizeKB: 1e9, MaxRequestTimeout: 2*t.LongestDeadline + time.Second,
		ClientReadBuffer: 64 << 10, ClientWriteBuffer: 32 << 10, UpstreamReadBuffer: 256 << 10, UpstreamWriteBuffer: 64 << 10,
		LocalCacheBytes: t.MemoryMB << 20 / 4, ResponseBacklogBytes: int64(t.MemoryMB) << 20 / 6, DiscoveryPageBytes: 4 << 20,
		OpenPerConnection: 32, PendingResponses: 64, EventQueue: 4096, LogQueue: 1024,
		ConnectTimeout: t.ConnectTimeout, SlowConnect: t.ConnectTimeout / 8, UpstreamIdleTimeout: t.IdleTimeout * 8 / 10, ClientIdleTimeout: 6 * time.Second, MessageTimeout: 2 * time.Second, FirstRequestGrace: time.Second, WriteStallTimeout: 5 * time.Second, RequestWriteTimeout: 100 * time.Millisecond, StaleReadAge: 50 * time.Millisecond, ReadAheadTimeout: time.Millisecond, PauseMargin: 100 * time.Millisecond, CloseLinger: 150 * time.Millisecond, HeldInputInterval: 20 * time.Millisecond, StoreSilenceTimeout: time.Second,
		AttemptStartWithin: grace * 9 / 10, DrainingStartWithin: t.DrainGrace / 10, ForgetAfter: 2 * (t.LongestDeadline + t.DrainGrace),
		PollHold: 2 * time.Second, PollTimeout: 2500 * time.Millisecond, PollStallTimeout: 500 * time.Millisecond, PollPageTimeout: 4 * time.Second, DiscoveryRewindAfter: 3 * time.Second, PollPromptWithin: 500 * time.Millisecond, DiscoveryDialTimeout: time.Second, BackoffMin: 50 * time.Millisecond, BackoffMax: 500 * time.Millisecond,
		RecheckInterval: 5 * time.Millisecond, DescriptorShortageAfter: 100 * time.Millisecond,
		// The platform kills a router no sooner than the longest hard limit, or 3 s if that is less, and 0.7 s more.
		ShutdownLinger: 700 * time.Millisecond, ShutdownGrace: min(t.LongestDeadline, 3*time.Second) + 450*time.Millisecond,
		FlushTimeout: 150 * time.Millisecond, SummaryInterval: 5 * time.Second,
	}
}
