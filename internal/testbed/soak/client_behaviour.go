package soak

import "sync"

// clientBehaviour is the current behaviour of all clients.
type clientBehaviour struct {
	mu                    sync.Mutex
	cancelProbability     float64 // that a request is cancelled shortly after it is sent
	disconnectProbability float64 // that the connection is closed shortly after a request is sent
	pausesReads           bool    // some connections pause reading
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
