package soak

import (
	"math"
	"time"
)

// What the deployment's settings say of cold servers.
const (
	coldCapacityShare = 0.1 // of a warm server's capacity, just after a start
	coldDuration      = 8 * time.Second
	overloadMultiple  = 2.5 // of its capacity, at which a server falls over
	overloadDuration  = 3 * time.Second
)

// meanServiceSeconds is the mean time of a transfer: sizeKB over transferKBPerSecond.
const meanServiceSeconds = 0.1

// checkColdStart finds a server that received more in a window after its start than it can serve, most of it from
// routers that knew of the start.
func (c *checker) checkColdStart(start *coldStart) {
	for i, first := range start.requests {
		sinceStart := first.at.Sub(start.at)
		if sinceStart > coldDuration-overloadDuration {
			return // warm before the window is over
		}
		count, fromKnowing := c.countWindow(start, i)
		limit := coldLimit(start.capacityWeight, sinceStart)
		if float64(count) > limit && 3*fromKnowing > 2*count {
			c.addBreach(ColdOverload, nil,
				"%s received %d requests in %v from %v after its start, %d of them from routers that knew of it; its limit is %.0f",
				start.server, count, overloadDuration, sinceStart.Round(time.Millisecond), fromKnowing, limit)
			return
		}
	}
}

// countWindow counts the requests in the window that begins with one of them, and those from routers that knew of the
// start.
func (c *checker) countWindow(start *coldStart, first int) (count, fromKnowing int) {
	from := start.requests[first].at
	for _, received := range start.requests[first:] {
		if received.at.Sub(from) >= overloadDuration {
			break
		}
		count++
		request := c.requests[received.id]
		if request != nil && received.at.After(c.eventKnownAt(request.Router, start.event, start.at)) {
			fromKnowing++
		}
	}
	return count, fromKnowing
}

// coldLimit is how many requests a cold server may receive in a window: what it can serve at the end of the window, and
// what chance adds to that.
func coldLimit(capacityWeight float64, sinceStart time.Duration) float64 {
	warming := (sinceStart + overloadDuration).Seconds() / coldDuration.Seconds()
	warmShare := math.Min(1, coldCapacityShare+(1-coldCapacityShare)*warming)
	allowed := overloadMultiple * capacityWeight * warmShare * overloadDuration.Seconds() / meanServiceSeconds
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 2
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}
