package routing

// mix spreads a number over 64 bits (the finisher of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
type pcg struct{ state uint64 }

func newPCG(seed uint64) pcg { return pcg{mix(seed) | 1} }

func (p *pcg) float() float64 {
	s := p.state
	p.state = s*6364136223846793005 + 1442695040888963407
	x, k := uint32((s>>18^s)>>27), uint32(s>>59)
	return float64(x>>k|x<<(-k&31)) / (1 << 32)
}
