package soak

import (
	"math/rand/v2"
	"sync"
)

// linkConditions holds the faults in force on the connections between routers and servers.
type linkConditions struct {
	mu                 sync.Mutex
	resetProbability   float64 // that a connection is reset at a read or a response
	corruptProbability float64 // that a response is corrupt or truncated
	fragments          bool    // responses arrive in fragments, some of them twice
	rng                *rand.Rand
}

func newLinkConditions(seed uint64) *linkConditions {
	return &linkConditions{rng: rand.New(rand.NewPCG(seed, linkStream))}
}

func (l *linkConditions) set(change func(*linkConditions)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// chance returns true with the given probability.
func (l *linkConditions) chance(probability float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return probability > 0 && l.rng.Float64() < probability
}

func (l *linkConditions) current() (resetProbability, corruptProbability float64, fragments bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resetProbability, l.corruptProbability, l.fragments
}

func (l *linkConditions) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

// corrupt returns a replacement for a response: nil to end the connection, half of the response, noise, or a frame
// with a wrong length.
func (l *linkConditions) corrupt(frame []byte) []byte {
	switch l.intN(4) {
	case 0:
		return nil
	case 1:
		return frame[:len(frame)/2]
	case 2:
		return []byte("*4\r\n$-7\r\nnoise\r\n")
	default:
		return append([]byte("*4\r\n$99999999999\r\n"), frame...)
	}
}
