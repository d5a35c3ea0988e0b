package sharedstore

// randomSource is a permuted congruential generator (PCG-XSH-RR) with 64 bits of state. Decisions must be reproducible
// from a seed, so they do not use the standard library's generators.
type randomSource struct{ state uint64 }

func newRandomSource(seed uint64) randomSource {
	source := randomSource{seed + 0x9e3779b97f4a7c15}
	source.next()
	return source
}

func (r *randomSource) next() uint32 {
	old := r.state
	r.state = old*6364136223846793005 + 1442695040888963407
	shifted, rotation := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return shifted>>rotation | shifted<<((-rotation)&31)
}

// float returns a number in [0, 1).
func (r *randomSource) float() float64 { return float64(r.next()) / (1 << 32) }
