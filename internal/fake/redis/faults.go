package redis

// This file owns what can be wrong with a store, by script, and what it counts.

import (
	"maps"
	"math/rand/v2"
	"net"
	"time"

	"github.com/tidwall/redcon"
)

// Fault is what is wrong with a store at the moment; the zero value is nothing.
type Fault struct {
	Delay  time.Duration // before each answer
	Spread time.Duration // up to so much more
	Verbs  []string      // only these commands have the word; all where there are none
	Silent bool          // it accepts and says nothing
	Word   string        // an error that is answered instead
	Cut    bool          // the connection is reset in the middle of each value
	Length bool          // a value is announced with more bytes than it has
	Crowd  bool          // it has as many clients as it takes: new ones are told so, and those there are gone
	Spoil  Spoil         // what is done to values on their way out
}

// Spoil is a way in which a value is not what was stored.
type Spoil uint8

const (
	Whole   Spoil = iota
	Flipped       // one bit is another
	Halved        // its second half is missing
	Foreign       // it is something else
	Newer         // it says that it is of a form to come
)

func (f Fault) delay(r *rand.Rand) time.Duration {
	d := f.Delay
	if f.Spread > 0 {
		d += time.Duration(r.Int64N(int64(f.Spread)))
	}
	return d
}

// give writes a value, as the fault has it.
func (s *Store) give(c redcon.Conn, value []byte) {
	s.count.given++
	switch f := s.fault; {
	case f.Cut:
		c.WriteRaw(redcon.AppendBulk(nil, value)[:len(value)/2+1])
		up := c.NetConn()
		go func() {
			time.Sleep(2 * time.Millisecond) // what was written is on its way by then
			if t, is := up.(*net.TCPConn); is {
				_ = t.SetLinger(0)
			}
			_ = up.Close()
		}()
	case f.Length:
		b := redcon.AppendBulk(nil, append(append([]byte(nil), value...), make([]byte, 1<<20)...))
		c.WriteRaw(b[:len(value)])
	default:
		c.WriteBulk(f.Spoil.apply(value))
	}
}

func (p Spoil) apply(value []byte) []byte {
	v := append([]byte(nil), value...)
	switch {
	case p == Whole || len(v) < 8:
	case p == Flipped:
		v[len(v)/2] ^= 0x10
	case p == Halved:
		v = v[:len(v)/2]
	case p == Foreign:
		v = []byte("{\"somebody\":\"else\"}")
	case p == Newer:
		v[2]++
	}
	return v
}

// Set puts a fault in force.
func (s *Store) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault = f; f.Crowd {
		for c := range s.conns {
			_ = c.Close()
		}
	}
}

// Stop ends the process: connections are reset, and nothing listens. Keep says whether a snapshot holds its data.
func (s *Store) Stop(keep bool) {
	if keep {
		s.Save()
	}
	s.mu.Lock()
	server, conns := s.server, maps.Clone(s.conns)
	s.mu.Unlock()
	for c := range conns {
		if t, is := c.(*net.TCPConn); is {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = server.Close()
}

// Again starts it at its old address, empty or with the last snapshot.
func (s *Store) Again(restore bool) error {
	s.mu.Lock()
	s.empty()
	if restore && s.saved != nil {
		for k, e := range s.saved.values {
			s.put(k, e.value, e.until)
		}
		for k, set := range s.saved.sets {
			s.sets[k] = maps.Clone(set)
		}
	}
	s.mu.Unlock()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if err := s.listen(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// Save takes a snapshot.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = &snapshot{values: map[string]entry{}, sets: map[string]map[string]float64{}}
	for k, e := range s.values {
		s.saved.values[k] = *e
	}
	for k, set := range s.sets {
		s.saved.sets[k] = maps.Clone(set)
	}
}

// Flush drops all data; the process goes on.
func (s *Store) Flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.empty()
}

// DropSets drops what is not a plain value, as a store short of memory may.
func (s *Store) DropSets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sets = map[string]map[string]float64{}
}

// Close ends it for good.
func (s *Store) Close() { s.Stop(false) }

// slot is the width of a count, window that of the stretch over which a load is judged.
const (
	slot   = 100 * time.Millisecond
	window = 10 // slots
)

// Values is how many commands on plain values it was asked, whatever it answered.
func (s *Store) Values() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count.values
}

type counter struct {
	started time.Time // of the process
	since   time.Time // of the first slot
	slots   []int
	total   int
	values  int // of them, on plain values
	given   int
	evicted int
}

func (c *counter) start(started time.Time) { c.started, c.since, c.slots = started, time.Now(), nil }

func (c *counter) add(now time.Time) {
	c.total++
	i := int(now.Sub(c.since) / slot)
	for len(c.slots) <= i {
		c.slots = append(c.slots, 0)
	}
	c.slots[i]++
}

// Counts is what a store saw.
type Counts struct {
	Commands int
	Given    int // values handed out
	Evicted  int
	Keys     int
	Clients  int
	// Peak is the most that was asked of it in any second since its last start, as a multiple of what it bore then.
	Peak   float64
	PeakAt time.Duration
}

// Counts returns what it saw so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := Counts{Commands: s.count.total, Given: s.count.given, Evicted: s.count.evicted, Keys: len(s.values), Clients: len(s.conns)}
	if s.conf.Capacity <= 0 {
		return n
	}
	age := s.count.since.Sub(s.count.started)
	for i := range s.count.slots {
		asked, bears := 0.0, 0.0
		for j := i; j < i+window; j++ {
			if j < len(s.count.slots) {
				asked += float64(s.count.slots[j])
			}
			bears += s.conf.Capacity * s.share(age+time.Duration(j)*slot) * slot.Seconds()
		}
		if m := asked / bears; m > n.Peak {
			n.Peak, n.PeakAt = m, time.Duration(i)*slot
		}
	}
	return n
}

func (s *Store) share(age time.Duration) float64 {
	if age >= s.conf.ColdFor {
		return 1
	}
	return s.conf.ColdShare + (1-s.conf.ColdShare)*float64(age)/float64(s.conf.ColdFor)
}
