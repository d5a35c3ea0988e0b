package soak

// This file owns the record of a run: every request as its client saw it, every attempt as it left a router, and what else must be
// known to judge them. All times are of this process's monotonic clock.

import (
	"slices"
	"sync"
	"time"
)

// Effect is what a repeat of a request would do.
type Effect uint8

// The effects.
const (
	Repeatable Effect = iota
	Keyed             // the servers of a cell drop repeats for a while
	OneShot
)

// Request is one request, as its client saw it.
type Request struct {
	ID      string
	Router  int
	Class   *Class
	Object  uint64
	Version string // of the copy that the client holds, if it does

	Begun   time.Time // before its first byte was written
	Sent    time.Time // after its last byte was; zero: it never went
	Timeout time.Duration

	Cancelled time.Time // when it was taken back, zero: it was not
	Left      time.Time // when the client began to close its connection, zero: it did not

	Answers  int
	Answered time.Time // the first of them
	Word     string
	Current  bool // the client's copy is said to be the one
	Body     string

	Ended      time.Time // when the connection ended under it
	Reset      bool      // by a reset
	Unread     bool      // nothing came on the connection since the request was sent, and nothing else was open
	Because    string    // why the client closed it
	TurnedAway bool      // its connection was refused with a word before it was read
	Deaf       bool      // its client read nothing for a while meanwhile
}

// Deadline is when its client stops waiting.
func (r *Request) Deadline() time.Time { return r.Sent.Add(r.Timeout) }

// Attempt is one attempt that a router wrote to a server.
type Attempt struct {
	ID       string
	Server   string
	Source   string // it names for a fill
	First    time.Time
	Whole    time.Time
	Deadline time.Duration // as told
}

// interval is a span of time.
type interval struct{ from, until time.Time }

func (i interval) meets(from, until time.Time) bool {
	return !i.from.After(until) && (i.until.IsZero() || i.until.After(from))
}

// process is what happened to one router's processes.
type process struct {
	stopped []time.Time // SIGTERM
	killed  []time.Time
	frozen  []interval
	starved []interval // next to no descriptors
	down    []interval // not running
}

// leave is a server that was told to leave: it drains or is gone.
type leave struct {
	server string
	event  int // its number
	at     time.Time
	until  time.Time // it is ready again; zero: never
}

// Record is all that is known of a run.
type Record struct {
	began     time.Time // when the first trouble's time counts from
	mu        sync.Mutex
	requests  map[string]*Request
	attempts  []Attempt
	runs      map[string]int // effects of a request
	processes []process
	leaves    []leave
	told      []map[int]time.Time // by router: when it asked for what comes after an event
	purges    []purge
	colds     []cold
	lags      []interval // in which this process itself was late
	unknown   []string
}

type purge struct {
	object uint64
	event  int
	at     time.Time
	issued time.Time
}

// cold is a start of a server with nothing in it.
type cold struct {
	server string
	event  int
	at     time.Time
	calls  []call
	weight float64
}

// call is a request that reached a cold server, by itself or as a fill for another.
type call struct {
	id string
	at time.Time
}

func newRecord(routers int) *Record {
	r := &Record{
		began: time.Now(), requests: map[string]*Request{}, runs: map[string]int{}, processes: make([]process, routers),
		told: make([]map[int]time.Time, routers),
	}
	for i := range r.told {
		r.told[i] = map[int]time.Time{}
	}
	return r
}

func (r *Record) with(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// watch notes when this process itself is late, until done.
func (r *Record) watch(done <-chan struct{}) {
	const every = 5 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(every):
		}
		now := time.Now()
		if now.Sub(last) > 3*every {
			r.with(func() { r.lags = append(r.lags, interval{last, now}) })
		}
		last = now
	}
}

// lag is how late this process may have been about a moment.
func (r *Record) lag(at time.Time) (most time.Duration) {
	const about = 50 * time.Millisecond
	i, _ := slices.BinarySearchFunc(r.lags, at.Add(-about), func(l interval, t time.Time) int { return l.until.Compare(t) })
	for ; i < len(r.lags) && r.lags[i].from.Before(at.Add(about)); i++ {
		most = max(most, r.lags[i].until.Sub(r.lags[i].from))
	}
	return most
}
