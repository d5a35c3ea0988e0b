package redis

import "time"

const (
	// slotWidth is the width of the slots in which commands are counted.
	slotWidth = 100 * time.Millisecond

	// windowSlots is over how many slots a load is measured.
	windowSlots = 10
)

// counter counts what a store is asked.
type counter struct {
	startedAt     time.Time // of the process
	slotsSince    time.Time // of the first slot
	slots         []int     // commands in each
	commands      int
	valueCommands int // of them, on plain values
	valuesGiven   int
	evicted       int
}

// start begins to count the load of a new process.
func (c *counter) start(startedAt time.Time) {
	c.startedAt, c.slotsSince, c.slots = startedAt, time.Now(), nil
}

func (c *counter) add(now time.Time) {
	c.commands++
	slot := int(now.Sub(c.slotsSince) / slotWidth)
	for len(c.slots) <= slot {
		c.slots = append(c.slots, 0)
	}
	c.slots[slot]++
}

// ValueCommands is how many commands on plain values it was asked, whatever it answered.
func (s *Store) ValueCommands() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counter.valueCommands
}

// Counts is what a store saw.
type Counts struct {
	Commands int
	Given    int // values handed out
	Evicted  int
	Keys     int
	Clients  int
	// Peak is the most that was asked of it in any second since its last start, as a multiple of its capacity then.
	Peak   float64
	PeakAt time.Duration // since its last start
}

// Counts returns what it saw so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{
		Commands: s.counter.commands,
		Given:    s.counter.valuesGiven,
		Evicted:  s.counter.evicted,
		Keys:     len(s.values.byKey),
		Clients:  len(s.connections),
	}
	if s.config.CommandsPerSecond <= 0 {
		return counts
	}
	for first := range s.counter.slots {
		if load := s.loadFrom(first); load > counts.Peak {
			counts.Peak, counts.PeakAt = load, time.Duration(first)*slotWidth
		}
	}
	return counts
}

// loadFrom is the load of a window that begins with a slot, as a multiple of the capacity in it.
func (s *Store) loadFrom(first int) float64 {
	age := s.counter.slotsSince.Sub(s.counter.startedAt)
	commands, capacity := 0.0, 0.0
	for slot := first; slot < first+windowSlots; slot++ {
		if slot < len(s.counter.slots) {
			commands += float64(s.counter.slots[slot])
		}
		share := s.capacityShare(age + time.Duration(slot)*slotWidth)
		capacity += s.config.CommandsPerSecond * share * slotWidth.Seconds()
	}
	return commands / capacity
}

// capacityShare is the share of its capacity that a process of some age has.
func (s *Store) capacityShare(age time.Duration) float64 {
	if age >= s.config.WarmUpTime {
		return 1
	}
	return s.config.ColdCapacityShare + (1-s.config.ColdCapacityShare)*float64(age)/float64(s.config.WarmUpTime)
}
