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

// Certificate returns the peer of a certificate, given the hash of its public key.
func Certificate(hash [32]byte) Peer {
	peer := Peer(hash[:16])
	peer[0], peer[1] = 0xff, 0xcc // a multicast prefix: no client has such an address
	return peer
}
