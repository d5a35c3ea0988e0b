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
	Clients   int
	Turned    int // connections that are being turned back with a word, beside those
	Nodes     int // connections to all nodes together
	NodeConns int // connections to one node
	Redials   int // times that a connection is tried again for which there was no descriptor
	Streams   int // legs open on one of them

	// Frames and rings, in bytes. Rings grow to these only where they are needed.
	Strings   int           // strings in a frame
	Request   int           // body of a view
	Object    int           // body of an answer
	Fields    int           // any other string
	KB        float64       // size of what a view asks for
	DueKB     float64       // KB a second by which a due time grows
	Timeout   time.Duration // of a view
	ClientIn  int
	ClientOut int
	NodeIn    int
	NodeOut   int
	Copies    int   // the router's own copies
	Answers   int64 // bodies that wait for clients, all together
	Events    int64 // one answer of the bulletin

	Open    int // views open on one client connection
	Waiting int // answers that wait on one of them before its input does
	Queue   int // events that wait for the engine
	Lines   int // lines that wait for the log

	Connect     time.Duration // until a connection to a node is up
	Slow        time.Duration // until one that is not up yet is taken for late, and what waits for it goes by another
	Idle        time.Duration // until an idle connection to a node is closed
	Rest        time.Duration // until a client connection is closed on which nothing comes and nothing is open
	Whole       time.Duration // until one is on which no message was whole yet, or one that has begun is not
	Fresh       time.Duration // how much longer than one that has asked it counts as resting
	Polite      time.Duration // for each half of turning a connection back, and for what crosses an end
	Watch       time.Duration // how often it is looked for clients that leave while their input is held: some times within 0.1 s
	Stuck       time.Duration // until a peer that reads nothing is cut off
	Frame       time.Duration // until a request to a server that has begun to be written must be whole, or never becomes so
	Stale       time.Duration // a client's request that is older when it is read may have been cancelled behind it
	Hurry       time.Duration // a pause of a client's connection ends so long before the time of a request that waits there
	Behind      time.Duration // how long it is then looked for what stands behind it
	StoreSilent time.Duration // until a store of which nothing is heard is cut off
	Begin       time.Duration // until a leg is on its way, or never goes: the rules count a send from its first byte
	BeginLate   time.Duration // the same to or from a node that is told to leave
	Forget      time.Duration // until a gone node, or a leg given up, is forgotten: longer than any view lasts
	Poll        time.Duration // how long the bulletin may hold a poll
	Silent      time.Duration // until a poll is given up
	Halt        time.Duration // until one is whose answer has begun and does not go on
	Page        time.Duration // until one is whose answer goes on and on: what it told is taken then
	Prompt      time.Duration // a poll that is answered sooner has not waited for what it brings
	Rewind      time.Duration // until a bulletin that stays behind what was told is taken for a new one
	Dial        time.Duration // until a connection to the bulletin is up, or another is tried
	Again       time.Duration // the first wait after a failed poll; it doubles
	Late        time.Duration // the longest such wait
	Shortage    time.Duration // until a want of descriptors is no longer taken for one of the moment, and connections are turned back
	Pause       time.Duration // between two looks at what has to be tried or awaited
	Linger      time.Duration // how long new views come after the order to stop
	Stop        time.Duration // until the last view has its answer after it
	Flush       time.Duration // and until the last answer, or line of the log, is written
	Summary     time.Duration // between two summary lines
}

// Told is what the configuration and the settings say.
type Told struct {
	Cores         float64
	MemoryMB      int
	Sockets       int
	Streams       int
	Connect, Idle time.Duration
	LongestHard   time.Duration
	Drain, Purge  time.Duration // graces
}

// From derives the bounds from what was told.
func From(t Told) Limits {
	streams := max(1, t.Streams)
	if t.Connect <= 0 {
		t.Connect = time.Second
	}
	if t.Idle <= 0 {
		t.Idle = time.Minute
	}
	grace := t.Drain
	if t.Purge > 0 {
		grace = min(grace, t.Purge)
	}
	if grace <= 0 {
		grace = 2 * t.Connect
	}
	return Limits{
		Cores: t.Cores, Memory: int64(t.MemoryMB) << 20, Sockets: t.Sockets,
		Clients: t.Sockets * 2 / 5, Turned: t.Sockets / 32, Nodes: t.Sockets * 2 / 5, NodeConns: t.Sockets / 8, Redials: 8, Streams: streams,
		Strings: 8, Request: 48_000, Object: 240_000, Fields: 1 << 10, KB: 1e9, Timeout: 2*t.LongestHard + time.Second,
		ClientIn: 64 << 10, ClientOut: 32 << 10, NodeIn: 256 << 10, NodeOut: 64 << 10,
		Copies: t.MemoryMB << 20 / 4, Answers: int64(t.MemoryMB) << 20 / 6, Events: 4 << 20,
		Open: 32, Waiting: 64, Queue: 4096, Lines: 1024,
		Connect: t.Connect, Slow: t.Connect / 8, Idle: t.Idle * 8 / 10, Rest: 6 * time.Second, Whole: 2 * time.Second, Fresh: time.Second, Stuck: 5 * time.Second, Frame: 100 * time.Millisecond, Stale: 50 * time.Millisecond, Behind: time.Millisecond, Hurry: 100 * time.Millisecond, Polite: 150 * time.Millisecond, Watch: 20 * time.Millisecond, StoreSilent: time.Second,
		Begin: grace * 9 / 10, BeginLate: t.Drain / 10, Forget: 2 * (t.LongestHard + t.Drain),
		Poll: 2 * time.Second, Silent: 2500 * time.Millisecond, Halt: 500 * time.Millisecond, Page: 4 * time.Second, Rewind: 3 * time.Second, Prompt: 500 * time.Millisecond, Dial: time.Second, Again: 50 * time.Millisecond, Late: 500 * time.Millisecond,
		Pause: 5 * time.Millisecond, Shortage: 100 * time.Millisecond,
		// The platform kills a router no sooner than the longest hard limit, or 3 s if that is less, and 0.7 s more.
		Linger: 700 * time.Millisecond, Stop: min(t.LongestHard, 3*time.Second) + 450*time.Millisecond,
		Flush: 150 * time.Millisecond, Summary: 5 * time.Second,
	}
}
