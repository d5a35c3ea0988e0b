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
	Nodes     int // connections to all nodes together
	NodeConns int // connections to one node

	// Frames and rings, in bytes.
	Strings   int // strings in a frame
	Request   int // body of a view
	Object    int // body of an answer
	Fields    int // any other string
	ClientIn  int
	ClientOut int
	NodeIn    int
	NodeOut   int
	Events    int // answer of the bulletin

	Open  int // views open on one client connection
	Queue int // events that wait for the engine
	Lines int // lines that wait for the log

	Streams int           // legs open on one connection to a node
	Connect time.Duration // until a connection to a node is up
	Idle    time.Duration // until an idle connection to a node is closed
	Probe   time.Duration // until a probe is given up
	Stuck   time.Duration // until a peer that reads nothing is cut off
	Poll    time.Duration // how long the bulletin may hold a poll
	Again   time.Duration // the first wait after a failed poll; it doubles
	Late    time.Duration // the longest such wait
	Linger  time.Duration // how long new views come after the order to stop
	Stop    time.Duration // until the process must have ended after it
	Summary time.Duration // between two summary lines
}

// Told is what the configuration and the settings say.
type Told struct {
	Cores         float64
	MemoryMB      int
	Sockets       int
	Streams       int
	Connect, Idle time.Duration
	LongestHard   time.Duration
}

// From derives the bounds from what was told.
func From(t Told) Limits {
	l := Limits{
		Cores: t.Cores, Memory: int64(t.MemoryMB) << 20, Sockets: t.Sockets,
		Clients: t.Sockets / 2, Nodes: t.Sockets / 4, NodeConns: 6,
		Strings: 8, Request: 48_000, Object: 240_000, Fields: 1 << 10,
		ClientIn: 64 << 10, ClientOut: 64 << 10, NodeIn: 256 << 10, NodeOut: 64 << 10, Events: 4 << 20,
		Open: 32, Queue: 4096, Lines: 1024,
		Streams: max(1, t.Streams), Connect: t.Connect, Idle: t.Idle * 8 / 10, Probe: 2 * t.Connect,
		Stuck: 5 * time.Second, Poll: 4 * time.Second, Again: 50 * time.Millisecond, Late: time.Second,
		Linger: 700 * time.Millisecond, Stop: t.LongestHard + 600*time.Millisecond, Summary: 5 * time.Second,
	}
	return l
}
