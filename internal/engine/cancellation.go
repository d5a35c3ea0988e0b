package engine

import (
	"sync"
	"time"
)

// cancellations are the requests whose clients have gone and that the engine has not taken yet. There is at most one
// for each open request, so the list needs no other bound and adding to it never waits.
type cancellations struct {
	signal chan struct{} // wakes Run after an addition

	mu   sync.Mutex
	list []ClientGone
}

func (c *cancellations) add(message ClientGone) {
	c.mu.Lock()
	c.list = append(c.list, message)
	c.mu.Unlock()
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

func (c *cancellations) take() []ClientGone {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.list
	c.list = nil
	return list
}

// handleCancellations handles the requests whose clients have gone.
func (e *Engine) handleCancellations() {
	for _, message := range e.cancellations.take() {
		e.Handle(time.Since(e.startTime), Event{Message: message})
	}
}
