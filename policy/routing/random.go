package routing

// mix spreads a number over 64 bits (the finisher of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitFloat makes a number from 0 to 1, 1 excluded, of 64 even bits.
func unitFloat(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32). The package has its own so that a seed gives the same
// decisions with every release of the compiler.
type pcg struct{ state uint64 }

func newPCG(seed uint64) pcg { return pcg{mix(seed) | 1} }

// float returns a number from 0 to 1, 1 excluded.
func (p *pcg) float() float64 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	shifted, rotation := uint32((old>>18^old)>>27), uint32(old>>59)
	return float64(shifted>>rotation|shifted<<(-rotation&31)) / (1 << 32)
}
