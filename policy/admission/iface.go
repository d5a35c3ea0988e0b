// Package admission decides who may connect, and how much of the service one client may have. It is free of I/O, clocks
// and goroutines: it is told events and times and hands back what to do. table.go holds the modes and what follows what,
// admission.go the decisions, peers.go who is known. This file holds only the types through which a front drives it.
package admission

import "time"

// ConnID is one connection, numbered from 1 by the front.
type ConnID uint64

// Peer is whom a connection counts for: an address, or a certificate where one was shown.
type Peer [16]byte

// Address is the peer of an address in its 16-byte form: IPv4 whole, IPv6 by its first 64 bits, which one customer has.
func Address(ip [16]byte) Peer {
	if v4 := [12]byte{10: 0xff, 11: 0xff}; [12]byte(ip[:12]) == v4 {
		return ip
	}
	clear(ip[8:])
	return ip
}

// Certificate is the peer of a certificate, by a hash of its key.
func Certificate(hash [32]byte) Peer {
	p := Peer(hash[:16])
	p[0], p[1] = 0xff, 0xcc // a multicast prefix: no client has such an address
	return p
}

// Settings are what the decisions are told at the start; what is 0 does not hold.
type Settings struct {
	MaxConnections int // connections of all clients
	Reserve        int // of them, for known clients only

	ConnectionsPerPeer  int     // connections of one peer
	NewPerPeerPerSecond float64 // new ones of one peer
	Burst               int     // new ones at once
	RequestsPerPeer     int     // open views of one peer
	MaxRequests         int     // open views of all, past which each peer has its share

	MaxHandshakes      int           // at once
	HandshakeCPU       float64       // part of a core that they may use
	MaxRememberedPeers int           // peers of whom anything is remembered while they have no connection
	FirstRequestGrace  time.Duration // how much longer than one that has asked a connection counts as resting that has not
	MinIdle            time.Duration // how long one must have rested to make room for a stranger
	SendRetryAfter     bool          // a time to come back may be told
	MaxRetryAfter      time.Duration // the longest one
	IsKnown            func(Peer) bool
}

// EventKind says what happened; the comment names the fields that are set.
type EventKind uint8

const (
	EventArrive                EventKind = iota // Conn Peer TLS
	EventHandshakeDone                          // Conn Peer: the handshake is over; Peer is the certificate's, or none; Took
	EventMessage                                // Conn: a whole message came
	EventRequest                                // Conn Took: it wants to open a view; how long events wait for the engine
	EventRequestEnd                             // Conn InTime Back: one of its views has its answer
	EventBusy                                   // Conn: something is open or to be written
	EventIdle                                   // Conn: nothing is any more
	EventClosed                                 // Conn
	EventNoDescriptors                          // no descriptor is left, in the process or the system
	EventNoUpstreamDescriptors                  // none is left for a connection to a node
	EventDescriptorAvailable                    // a descriptor could be had again
)

// Event is what the decisions are told.
type Event struct {
	Kind     EventKind
	Conn     ConnID
	Peer     Peer
	TLS      bool
	InTime   bool // it was served by its due time
	Rejected bool // it was turned back by the decisions on views
	Elapsed  time.Duration
}

// ActionKind says what is to be done.
type ActionKind uint8

const (
	Accept    ActionKind = iota // the connection, or the view
	Reject                      // with a word and the time to come back
	Drop                        // without a word
	CloseIdle                   // another connection, which rests, makes room
	Pause                       // accept nothing for so long, or read nothing of the connection
	Log                         // Text
)

// Action is what the decisions want done, in the order given.
type Action struct {
	Kind ActionKind
	Conn ConnID
	Wait time.Duration
	Text string
}

// Counts is what was decided so far.
type Counts struct {
	Accepted, Rejected, Dropped, ClosedIdle, RequestsRejected, Exhausted, Handshakes uint64
}
