package frontend

import "time"

// maxArrivals bounds the number of arrivals kept. Further bytes are added to the last arrival, under its earlier time.
const maxArrivals = 64

// arrivals records when the bytes in a connection's input ring arrived. A request's time is measured from the arrival
// of its last byte, however long the request has waited in the ring.
type arrivals struct {
	list       []arrival // oldest first
	totalBytes int64     // bytes that have arrived so far
}

// arrival is a group of bytes that arrived at the same time.
type arrival struct {
	endBytes int64 // bytes that had arrived up to the end of the group
	at       time.Time
}

// add records bytes that arrived at the given time.
func (a *arrivals) add(bytes int, at time.Time) {
	a.totalBytes += int64(bytes)
	last := len(a.list) - 1
	if last >= 0 && (a.list[last].at.Equal(at) || len(a.list) == maxArrivals) {
		a.list[last].endBytes = a.totalBytes
		return
	}
	a.list = append(a.list, arrival{a.totalBytes, at})
}

// arrivalTime returns the arrival time of the byte that is followed by bytesAfter further bytes.
func (a *arrivals) arrivalTime(bytesAfter int) time.Time {
	end := a.totalBytes - int64(bytesAfter)
	for i := range a.list {
		if a.list[i].endBytes >= end {
			return a.list[i].at
		}
	}
	return time.Time{}
}

// takeArrivalTime returns the same as arrivalTime, and discards the records of older bytes.
func (a *arrivals) takeArrivalTime(bytesAfter int) time.Time {
	end := a.totalBytes - int64(bytesAfter)
	older := 0
	for older < len(a.list) && a.list[older].endBytes < end {
		older++
	}
	a.list = append(a.list[:0], a.list[older:]...)
	return a.arrivalTime(bytesAfter)
}
