package soak

import "sync"

// clientBehaviour is how all clients behave at the moment.
type clientBehaviour struct {
	mu                    sync.Mutex
	cancelProbability     float64 // that a request is cancelled early
	disconnectProbability float64 // that the connection is closed after a request
	pausesReads           bool    // some connections read nothing
}

func (b *clientBehaviour) set(change func(*clientBehaviour)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

func (b *clientBehaviour) current() (cancelProbability, disconnectProbability float64, pausesReads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cancelProbability, b.disconnectProbability, b.pausesReads
}

// traffic is what clients may send to a router.
type traffic int32

const (
	allTraffic traffic = iota
	noNewConnections
	noTraffic
)
