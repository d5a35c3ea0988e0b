package frontend

// This file owns the account of when the bytes in a connection's ring came: a request's time counts from its last byte, however long it
// has waited there.

import "time"

// arrivalsMost bounds how many arrivals are told apart; the last ones of more count as one, by the earliest.
const arrivalsMost = 64

// arrivals are the moments at which what is in the ring came, the oldest bytes first.
type arrivals struct {
	list  []arrival
	total int64 // bytes that came so far
}

// arrival is some bytes that came together.
type arrival struct {
	end  int64 // of all bytes, how many had come with them
	came time.Time
}

// add notes bytes that came at some moment.
func (a *arrivals) add(bytes int, came time.Time) {
	a.total += int64(bytes)
	if last := len(a.list) - 1; last >= 0 && (a.list[last].came.Equal(came) || len(a.list) == arrivalsMost) {
		a.list[last].end = a.total
		return
	}
	a.list = append(a.list, arrival{a.total, came})
}

// look is when the byte came behind which so many are left.
func (a *arrivals) look(left int) time.Time {
	end := a.total - int64(left)
	for i := range a.list {
		if a.list[i].end >= end {
			return a.list[i].came
		}
	}
	return time.Time{}
}

// of is the same, and forgets what came before.
func (a *arrivals) of(left int) time.Time {
	end := a.total - int64(left)
	old := 0
	for old < len(a.list) && a.list[old].end < end {
		old++
	}
	a.list = append(a.list[:0], a.list[old:]...)
	return a.look(left)
}
