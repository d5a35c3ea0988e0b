package soak

import (
	"math"
	"time"
)

// The deployment's settings for cold servers.
const (
	coldCapacityShare = 0.1 // of a warm server's capacity, immediately after a start
	coldDuration      = 8 * time.Second
	overloadMultiple  = 2.5 // of its capacity, at which a server fails from overload
	overloadDuration  = 3 * time.Second
)

// meanServiceSeconds is the mean time of a transfer: sizeKB over transferKBPerSecond.
const meanServiceSeconds = 0.1

// checkColdStart finds a server that received more requests in a window after its start than it can serve, more than
// two thirds of them from routers that knew of the start.
func (c *checker) checkColdStart(start *coldStart) {
	for i, first := range start.requests {
		sinceStart := first.at.Sub(start.at)
		if sinceStart > coldDuration-overloadDuration {
			return // the server is warm before the window ends
		}
		count, informedCount := c.countInWindow(start, i)
		limit := coldLimit(start.capacityWeight, sinceStart)
		if float64(count) > limit && 3*informedCount > 2*count {
			c.addBreach(ColdOverload, nil,
				"%s received %d requests in %v from %v after its start, %d of them from routers that knew of it; its limit is %.0f",
				start.server, count, overloadDuration, sinceStart.Round(time.Millisecond), informedCount, limit)
			return
		}
	}
}

// countInWindow counts the requests in the window that begins with request number first, and those among them that came
// from routers that knew of the start.
func (c *checker) countInWindow(start *coldStart, first int) (count, informedCount int) {
	from := start.requests[first].at
	for _, received := range start.requests[first:] {
		if received.at.Sub(from) >= overloadDuration {
			break
		}
		count++
		request := c.requests[received.id]
		if request != nil && received.at.After(c.eventKnownAt(request.Router, start.event, start.at)) {
			informedCount++
		}
	}
	return count, informedCount
}

// coldLimit returns the number of requests that a cold server may receive in a window: its capacity at the end of the
// window, plus a margin of two or three standard deviations for random variation.
func coldLimit(capacityWeight float64, sinceStart time.Duration) float64 {
	warming := (sinceStart + overloadDuration).Seconds() / coldDuration.Seconds()
	warmShare := math.Min(1, coldCapacityShare+(1-coldCapacityShare)*warming)
	allowed := overloadMultiple * capacityWeight * warmShare * overloadDuration.Seconds() / meanServiceSeconds
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 2
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}
