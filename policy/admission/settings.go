package admission

import "time"

// Settings are the bounds of admission; a bound that is 0 is not enforced.
type Settings struct {
	MaxConnections int // connections of all clients
	Reserve        int // of them, for known clients only

	ConnectionsPerPeer  int     // connections of one peer
	NewPerPeerPerSecond float64 // new connections of one peer
	Burst               int     // new connections of one peer at once
	RequestsPerPeer     int     // open requests of one peer
	MaxRequests         int     // open requests of all peers; as they run out, each peer has its share only

	MaxHandshakes      int           // TLS handshakes at once
	HandshakeCPU       float64       // part of a core that handshakes may use
	MaxRememberedPeers int           // peers without a connection of which a record is kept
	FirstRequestGrace  time.Duration // added to the idle time of a connection that has not sent a message yet
	MinIdle            time.Duration // how long a connection must have been idle to be closed for an unknown peer's
	SendRetryAfter     bool          // rejections may carry a time to retry after
	MaxRetryAfter      time.Duration // the longest such time
	IsKnown            func(Peer) bool
}

const (
	defaultMaxHandshakes      = 64          // what a core signs in a twentieth of a second
	defaultHandshakeCPU       = 0.3         // requests need little of a core; a flood may not have half of it
	defaultMinIdle            = time.Second // less would have a flood close as many as it opens, at a higher cost
	defaultMaxRememberedPeers = 4096        // some 600 KB
	burstPerBound             = 2           // a peer may come back with all its connections at once, twice
)

// WithDefaults fills in what an operator who wants admission control has not set.
func (s Settings) WithDefaults() Settings {
	if s.ConnectionsPerPeer > 0 && s.Burst <= 0 {
		s.Burst = burstPerBound * s.ConnectionsPerPeer
	}
	if s.NewPerPeerPerSecond > 0 && s.Burst <= 0 {
		s.Burst = int(max(1, burstPerBound*s.NewPerPeerPerSecond))
	}
	if s.MaxHandshakes <= 0 {
		s.MaxHandshakes = defaultMaxHandshakes
	}
	if s.HandshakeCPU <= 0 {
		s.HandshakeCPU = defaultHandshakeCPU
	}
	if s.MinIdle <= 0 {
		s.MinIdle = defaultMinIdle
	}
	if s.MaxRememberedPeers <= 0 {
		s.MaxRememberedPeers = defaultMaxRememberedPeers
	}
	return s
}

// normalized bounds settings so that the controller can rely on them.
func (s Settings) normalized() Settings {
	s.MaxRememberedPeers = max(1, s.MaxRememberedPeers)
	s.Reserve = min(s.Reserve, s.MaxConnections/2) // an unknown peer must be able to become known
	return s
}
