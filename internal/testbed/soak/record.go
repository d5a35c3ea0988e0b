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
	EndedOrderly
	EndedByReset
)

// Request is one request, as its client saw it. All times are of this process's monotonic clock; a zero time says that
// the moment never came.
type Request struct {
	ID            string
	Router        int
	Class         *Class
	Object        uint64
	CachedVersion string // of the copy that the client has, if it has one

	WriteStartedAt time.Time // before its first byte was written
	SentAt         time.Time // after its last byte was
	Timeout        time.Duration

	CancelledAt    time.Time
	DisconnectedAt time.Time // when the client began to close its connection

	Answers       int
	AnsweredAt    time.Time // the first of them
	Status        string
	IsNotModified bool // the client's copy is said to be current
	Body          string

	EndedAt             time.Time // when the connection ended under it
	ConnectionEnd       ConnectionEnd
	IsAloneAndUnread    bool // nothing else was in flight, and nothing came on the connection since it was sent
	WasRejectedUnread   bool // its connection was rejected before anything was read of it
	ReadsPausedMeantime bool // its client read nothing for a while meanwhile
}

// Deadline is when its client stops waiting.
func (r *Request) Deadline() time.Time { return r.SentAt.Add(r.Timeout) }

// isInFlight says that the request has no answer and has not been cancelled.
func (r *Request) isInFlight() bool { return r.Answers == 0 && r.CancelledAt.IsZero() }

// Attempt is one attempt that a router wrote to a server.
type Attempt struct {
	RequestID   string
	Server      string
	Source      string // it names for a fill
	FirstByteAt time.Time
	LastByteAt  time.Time
	Timeout     time.Duration // that the attempt has
}

// interval is a span of time; a zero end says that it goes on.
type interval struct{ from, until time.Time }

func (i interval) overlaps(from, until time.Time) bool {
	return !i.from.After(until) && (i.until.IsZero() || i.until.After(from))
}

// processHistory is what happened to one router's processes.
type processHistory struct {
	stopped []time.Time // SIGTERM
	killed  []time.Time
	frozen  []interval
	down    []interval
}

// departure is a server that was listed as draining or gone.
type departure struct {
	server string
	event  int // its number
	at     time.Time
	until  time.Time // when it is ready again; zero: never
}

// objectPurge is a purge of one object.
type objectPurge struct {
	object   uint64
	event    int
	at       time.Time
	issuedAt time.Time
}

// coldStart is a start of a server with nothing cached.
type coldStart struct {
	server         string
	event          int
	at             time.Time
	requests       []receivedRequest
	capacityWeight float64
}

// receivedRequest is a request that reached a cold server, by itself or as a fill for another.
type receivedRequest struct {
	id string
	at time.Time
}

// Record is all that is known of a run: every request as its client saw it, every attempt as it left a router, and what
// else must be known to check them.
type Record struct {
	mu         sync.Mutex
	startedAt  time.Time // from which the plan's times count
	requests   map[string]*Request
	attempts   []Attempt
	executions map[string]int // by request: how often it had its effect
	processes  []processHistory
	departures []departure
	polledPast []map[int]time.Time // by router and event: when it first polled for what comes after
	purges     []objectPurge
	coldStarts []coldStart
	delays     []interval // in which this process itself was not scheduled
}

func newRecord(routers int) *Record {
	r := &Record{
		startedAt: time.Now(), requests: map[string]*Request{}, executions: map[string]int{},
		processes: make([]processHistory, routers), polledPast: make([]map[int]time.Time, routers),
	}
	for i := range r.polledPast {
		r.polledPast[i] = map[int]time.Time{}
	}
	return r
}

// update runs a change of the record under its mutex.
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

// recordPoll records that a router polls for what comes after an event.
func (r *Record) recordPoll(router, event int) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if polled := r.polledPast[router]; event > 0 && polled[event].IsZero() {
		polled[event] = now
	}
}

// watchDelays records when this process itself is late, until done.
func (r *Record) watchDelays(done <-chan struct{}) {
	const every = 5 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(every):
		}
		now := time.Now()
		if now.Sub(last) > 3*every {
			r.update(func() { r.delays = append(r.delays, interval{last, now}) })
		}
		last = now
	}
}

// longestDelay is the longest time for which this process was not scheduled.
func (r *Record) longestDelay() (longest time.Duration) {
	for _, delay := range r.delays {
		longest = max(longest, delay.until.Sub(delay.from))
	}
	return longest
}

// delayAround is how late this process may have been about a moment; the delays are in order.
func (r *Record) delayAround(at time.Time) (longest time.Duration) {
	const around = 50 * time.Millisecond
	endsBefore := func(delay interval, t time.Time) int { return delay.until.Compare(t) }
	i, _ := slices.BinarySearchFunc(r.delays, at.Add(-around), endsBefore)
	for ; i < len(r.delays) && r.delays[i].from.Before(at.Add(around)); i++ {
		longest = max(longest, r.delays[i].until.Sub(r.delays[i].from))
	}
	return longest
}

// eventKnownAt is when a router counts as knowing an event: when it polled for what comes after it, and at the latest
// some seconds after it was published.
func (r *Record) eventKnownAt(router, event int, publishedAt time.Time) time.Time {
	knownAt := publishedAt.Add(maxEventDelay)
	for number, polledAt := range r.polledPast[router] {
		if number >= event && polledAt.After(publishedAt) && polledAt.Before(knownAt) {
			knownAt = polledAt
		}
	}
	return knownAt
}

// sinceStart is a moment as the time since the run began, 0 where it never came.
func (r *Record) sinceStart(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(r.startedAt).Round(time.Millisecond)
}
