package admission

import (
	"math"
	"time"
)

// A connection may send maxIdleMessages messages at once that open no request, such as pings and invalid or rejected
// requests, and idleMessagesPerSecond in the long run. Usual clients stay far below. A client that sends more is read
// more slowly, so that others get their share of the CPU. The cancel of an open request counts as cancelWeight of a
// message: usual clients may give up most of what they ask for.
const (
	maxIdleMessages       = 64
	idleMessagesPerSecond = 100
	cancelWeight          = 0.25
)

// messageQuota is the number of messages without a request that a connection may send now.
type messageQuota struct {
	used      float64
	reducedAt time.Duration
}

// take takes a number of messages from the quota and reports whether the quota is exceeded.
func (q *messageQuota) take(messages float64, now time.Duration) (isExceeded bool) {
	q.used = math.Max(0, q.used-idleMessagesPerSecond*(now-q.reducedAt).Seconds()) + messages
	q.reducedAt = now
	return q.used > maxIdleMessages
}

// handleIdleMessage counts a message that opened no request.
func (c *Controller) handleIdleMessage(index int32, messages float64) {
	conn := &c.connections[index]
	if conn.idleMessages.take(messages, c.now) {
		c.pause(conn)
	}
}

// pause stops reading from a connection for a while.
func (c *Controller) pause(conn *connection) {
	conn.mayHaveUnreadUntil = c.now + baseRetryAfter + maxTransitTime
	c.emit(Action{Kind: Pause, Conn: conn.id, Wait: baseRetryAfter})
}
