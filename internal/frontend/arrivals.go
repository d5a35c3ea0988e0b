package frontend

import "time"

// maxArrivals bounds how many arrivals are kept apart; the last ones of more count as one, by the earliest time.
const maxArrivals = 64

// arrivals keeps account of when the bytes in a connection's input ring came: a request's time counts from its last
// byte, however long it has waited in the ring.
type arrivals struct {
	list       []arrival // the oldest bytes first
	totalBytes int64     // that came so far
}

// arrival is some bytes that came together.
type arrival struct {
	endBytes int64 // how many bytes had come with the last of them
	at       time.Time
}

// add notes bytes that came at some moment.
func (a *arrivals) add(bytes int, at time.Time) {
	a.totalBytes += int64(bytes)
	last := len(a.list) - 1
	if last >= 0 && (a.list[last].at.Equal(at) || len(a.list) == maxArrivals) {
		a.list[last].endBytes = a.totalBytes
		return
	}
	a.list = append(a.list, arrival{a.totalBytes, at})
}

// timeOf returns when the byte came that has that many bytes behind it.
func (a *arrivals) timeOf(bytesBehind int) time.Time {
	end := a.totalBytes - int64(bytesBehind)
	for i := range a.list {
		if a.list[i].endBytes >= end {
			return a.list[i].at
		}
	}
	return time.Time{}
}

// takeTimeOf returns the same, and forgets what came before.
func (a *arrivals) takeTimeOf(bytesBehind int) time.Time {
	end := a.totalBytes - int64(bytesBehind)
	older := 0
	for older < len(a.list) && a.list[older].endBytes < end {
		older++
	}
	a.list = append(a.list[:0], a.list[older:]...)
	return a.timeOf(bytesBehind)
}
