package admission

import "time"

// Settings holds the limits of admission. A limit of 0 is not enforced, except MaxConnections, ReservedSlots and
// MaxRememberedPeers.
type Settings struct {
	MaxConnections int // connections of all clients
	ReservedSlots  int // slots of MaxConnections that are reserved for known peers

	ConnectionsPerPeer  int     // connections of one peer
	NewPerPeerPerSecond float64 // rate of new connections of one peer
	NewPerPeerBurst     int     // new connections of one peer at once
	RequestsPerPeer     int     // open requests of one peer
	MaxRequests         int     // open requests of all known peers and, separately, of all unknown peers

	MaxBodyBytes    int64 // memory of the request bodies of all peers
	MaxHeldRequests int64 // requests of all peers whose records are held at the same time

	MaxHandshakes        int             // concurrent TLS handshakes
	HandshakeCPU         float64         // fraction of a core that handshakes may use
	MaxRememberedPeers   int             // peers without a connection whose records are kept
	NoMessageIdlePenalty time.Duration   // added to the idle time of a connection that has not sent a message yet
	MinIdle              time.Duration   // how long a connection must be idle before it is closed for an unknown peer
	SendRetryAfter       bool            // rejections may carry a time to retry after
	MaxRetryAfter        time.Duration   // upper bound of the time to retry after
	IsAllowlisted        func(Peer) bool // reports whether the operator has allowlisted a peer; may be nil
}

const (
	defaultMaxHandshakes      = 64          // signatures that a core computes in a twentieth of a second
	defaultHandshakeCPU       = 0.3         // requests need little CPU, but a flood of handshakes must not get half a core
	defaultMinIdle            = time.Second // with less, each connection of a flood would close another, at a higher cost
	defaultMaxRememberedPeers = 4096        // about 600 KB
	burstFactor               = 2           // a peer may reopen all its connections twice in a row
)

// WithDefaults returns the settings with defaults for the fields that the operator has left unset.
func (s Settings) WithDefaults() Settings {
	if s.ConnectionsPerPeer > 0 && s.NewPerPeerBurst <= 0 {
		s.NewPerPeerBurst = burstFactor * s.ConnectionsPerPeer
	}
	if s.NewPerPeerPerSecond > 0 && s.NewPerPeerBurst <= 0 {
		s.NewPerPeerBurst = int(max(1, burstFactor*s.NewPerPeerPerSecond))
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

// normalized returns the settings limited to values that the controller can work with.
func (s Settings) normalized() Settings {
	s.MaxRememberedPeers = max(1, s.MaxRememberedPeers)
	s.ReservedSlots = min(s.ReservedSlots, s.MaxConnections/2) // unknown peers need slots to become known
	return s
}

// allowlists reports whether a peer is known from the start: the operator lists its address, or it has presented a
// certificate of the operator's CA.
func (s *Settings) allowlists(id Peer) bool {
	return id.isCertificate() || s.IsAllowlisted != nil && s.IsAllowlisted(id)
}
