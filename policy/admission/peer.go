package admission

// Peer identifies the client to which a connection is attributed: its address, or its certificate if it has presented
// one.
type Peer [16]byte

// Address returns the peer of an address in its 16-byte form. IPv4 addresses are distinguished by all their bits, IPv6
// addresses by the first 64, because one customer has all addresses with such a prefix.
func Address(ip [16]byte) Peer {
	if v4 := [12]byte{10: 0xff, 11: 0xff}; [12]byte(ip[:12]) == v4 {
		return ip
	}
	clear(ip[8:])
	return ip
}

// certificatePrefix begins the peers of certificates. It is a multicast prefix, which no client's address has.
var certificatePrefix = [2]byte{0xff, 0xcc}

// Certificate returns the peer of a certificate, given the hash of its public key.
func Certificate(hash [32]byte) Peer {
	peer := Peer(hash[:16])
	copy(peer[:], certificatePrefix[:])
	return peer
}

// isCertificate reports whether the peer is identified by its certificate.
func (p Peer) isCertificate() bool { return [2]byte(p[:2]) == certificatePrefix }
