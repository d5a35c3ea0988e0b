package soak

import (
	"slices"
	"sync"
	"time"
)

// ConnectionEnd says how the connection of a request ended before the response came.
type ConnectionEnd uint8

// The ways in which a connection ends.
const (
	NotEnded ConnectionEnd = iota
	EndedByClose
	EndedByReset
)

// Request is one request, as its client saw it. All times come from this process's monotonic clock; a zero time means
// that the event did not happen.
type Request struct {
	ID            string
	Router        int
	Class         *Class
	Object        uint64
	CachedVersion string // of the copy that the client has, if any

	WriteStartedAt time.Time // before its first byte was written
	SentAt         time.Time // after its last byte was written
	Timeout        time.Duration

	CancelledAt    time.Time
	DisconnectedAt time.Time // when the client began to close the connection

	Answers       int
	AnsweredAt    time.Time // when the first answer arrived
	Status        string
	IsNotModified bool // the answer says that the client's copy is current
	Body          string

	EndedAt               time.Time // when the connection ended before an answer
	ConnectionEnd         ConnectionEnd
	MayHaveCrossedClose   bool // the only request in flight, with nothing received since it was sent
	WasConnectionRejected bool // the router rejected the connection before answering
	ReadsPaused           bool // the client paused reading while the request was in flight
}

// Deadline returns the time at which the client stops waiting.
func (r *Request) Deadline() time.Time { return r.SentAt.Add(r.Timeout) }

// isInFlight reports whether the request has no answer and has not been cancelled.
func (r *Request) isInFlight() bool { return r.Answers == 0 && r.CancelledAt.IsZero() }

// Attempt is one attempt that a router wrote to a server.
type Attempt struct {
	RequestID   string
	Server      string
	Source      string // that the attempt names for a fill, if any
	FirstByteAt time.Time
	LastByteAt  time.Time
	Timeout     time.Duration // that the attempt states
}

// interval is a span of time; a zero until means that it has not ended.
type interval struct{ from, until time.Time }

func (i interval) overlaps(from, until time.Time) bool {
	return !i.from.After(until) && (i.until.IsZero() || i.until.After(from))
}

// processHistory records the faults in one router's processes.
type processHistory struct {
	stopped []time.Time // SIGTERM
	killed  []time.Time
	frozen  []interval
	down    []interval
}

// departure is a server that was listed as draining or gone.
type departure struct {
	server string
	event  int // number of the event
	at     time.Time
	until  time.Time // when the server was listed as ready again; zero: never
}

// objectPurge is a purge of one object.
type objectPurge struct {
	object   uint64
	event    int
	at       time.Time
	issuedAt time.Time
}

// coldStart is a start of a server with an empty cache.
type coldStart struct {
	server         string
	event          int
	at             time.Time
	requests       []receivedRequest
	capacityWeight float64
}

// receivedRequest is a request that reached a cold server, from a router or as a fill for another server.
type receivedRequest struct {
	id string
	at time.Time
}

// Record holds everything that is known about a run: each request as its client saw it, each attempt as it left a
// router, and the events that are needed to check them.
type Record struct {
	mu             sync.Mutex
	startedAt      time.Time // the times of the plan are relative to this
	requests       map[string]*Request
	attempts       []Attempt
	executions     map[string]int // by request: how often a server executed it
	processes      []processHistory
	departures     []departure
	firstPollAfter []map[int]time.Time // by router and event: the first poll for later events
	purges         []objectPurge
	coldStarts     []coldStart
	delays         []interval // during which this process was not scheduled
}

func newRecord(routers int) *Record {
	r := &Record{
		startedAt: time.Now(), requests: map[string]*Request{}, executions: map[string]int{},
		processes: make([]processHistory, routers), firstPollAfter: make([]map[int]time.Time, routers),
	}
	for i := range r.firstPollAfter {
		r.firstPollAfter[i] = map[int]time.Time{}
	}
	return r
}

// update runs change with the record's mutex held.
func (r *Record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *Record) updateProcess(router int, change func(*processHistory)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.processes[router])
}

// recordPoll records that a router polls for the events after a given one, which the router has thus received.
func (r *Record) recordPoll(router, event int) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if polled := r.firstPollAfter[router]; event > 0 && polled[event].IsZero() {
		polled[event] = now
	}
}

// watchDelays records the intervals of more than 15 ms in which this process is not scheduled, until done is closed.
func (r *Record) watchDelays(done <-chan struct{}) {
	const tick = 5 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(tick):
		}
		now := time.Now()
		if now.Sub(last) > 3*tick {
			r.update(func() { r.delays = append(r.delays, interval{last, now}) })
		}
		last = now
	}
}

// longestDelay returns the longest time for which this process was not scheduled.
func (r *Record) longestDelay() (longest time.Duration) {
	for _, delay := range r.delays {
		longest = max(longest, delay.until.Sub(delay.from))
	}
	return longest
}

// delayAround returns the longest delay of this process around a given time. The delays must be sorted.
func (r *Record) delayAround(at time.Time) (longest time.Duration) {
	const around = 50 * time.Millisecond
	endsBefore := func(delay interval, t time.Time) int { return delay.until.Compare(t) }
	i, _ := slices.BinarySearchFunc(r.delays, at.Add(-around), endsBefore)
	for ; i < len(r.delays) && r.delays[i].from.Before(at.Add(around)); i++ {
		longest = max(longest, r.delays[i].until.Sub(r.delays[i].from))
	}
	return longest
}

// eventKnownAt returns the time from which a router counts as knowing an event: its first poll for later events, or
// maxEventDelay after the event was published if that is earlier.
func (r *Record) eventKnownAt(router, event int, publishedAt time.Time) time.Time {
	knownAt := publishedAt.Add(maxEventDelay)
	for number, polledAt := range r.firstPollAfter[router] {
		if number >= event && polledAt.After(publishedAt) && polledAt.Before(knownAt) {
			knownAt = polledAt
		}
	}
	return knownAt
}

// sinceStart returns the time from the start of the run, or 0 for a zero time.
func (r *Record) sinceStart(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(r.startedAt).Round(time.Millisecond)
}
