package engine

import (
	"sync"
	"time"
)

// cancellations holds the ClientGone messages that the engine has yet to handle. There is at most one for each open
// request, so the list needs no other bound, and add never blocks.
type cancellations struct {
	signal chan struct{} // wakes Run after a message was added

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

// handleCancellations handles the ClientGone messages received so far.
func (e *Engine) handleCancellations() {
	for _, message := range e.cancellations.take() {
		e.Handle(time.Since(e.startTime), Event{Message: message})
	}
}
