package admission

// Peer is whom a connection is accounted to: an address, or a certificate where the client has shown one.
type Peer [16]byte

// Address returns the peer of an address in its 16-byte form: IPv4 whole, IPv6 by its first 64 bits, which one
// customer has.
func Address(ip [16]byte) Peer {
	if v4 := [12]byte{10: 0xff, 11: 0xff}; [12]byte(ip[:12]) == v4 {
		return ip
	}
	clear(ip[8:])
	return ip
}

// Certificate returns the peer of a certificate, by a hash of its key.
func Certificate(hash [32]byte) Peer {
	peer := Peer(hash[:16])
	peer[0], peer[1] = 0xff, 0xcc // a multicast prefix: no client has such an address
	return peer
}
