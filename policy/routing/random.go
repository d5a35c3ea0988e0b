package routing

// mix hashes a number to 64 evenly distributed bits (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitFloat maps 64 evenly distributed bits to a number in [0, 1).
func unitFloat(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32). The package has its own generator so that a seed yields
// the same decisions with every Go release.
type pcg struct{ state uint64 }

func newPCG(seed uint64) pcg { return pcg{mix(seed) | 1} }

// float returns a random number in [0, 1).
func (p *pcg) float() float64 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	shifted, rotation := uint32((old>>18^old)>>27), uint32(old>>59)
	return float64(shifted>>rotation|shifted<<(-rotation&31)) / (1 << 32)
}
