package redis

import "time"

const (
	// slotWidth is the duration of the slots in which commands are counted.
	slotWidth = 100 * time.Millisecond

	// windowSlots is the number of slots over which the load is measured.
	windowSlots = 10
)

// counter counts the commands that a store receives and their effects.
type counter struct {
	startedAt     time.Time // start of the store, moved back by Config.InitialAge
	slotsStart    time.Time // start of the first slot
	slots         []int     // commands in each slot
	commands      int
	valueCommands int // commands on plain values
	valuesServed  int
	evicted       int
}

// start begins to measure the load of a store that was started at startedAt.
func (c *counter) start(startedAt time.Time) {
	c.startedAt, c.slotsStart, c.slots = startedAt, time.Now(), nil
}

func (c *counter) add(now time.Time) {
	c.commands++
	slot := int(now.Sub(c.slotsStart) / slotWidth)
	for len(c.slots) <= slot {
		c.slots = append(c.slots, 0)
	}
	c.slots[slot]++
}

// ValueCommands returns the number of commands on plain values that the store has received, whatever it answered.
func (s *Store) ValueCommands() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counter.valueCommands
}

// Counts counts what a store has received and done, and what it holds.
type Counts struct {
	Commands int
	Hits     int // values returned by GET
	Evicted  int
	Keys     int
	Clients  int
	// PeakLoad is the highest load in any second since the last start, as a multiple of the capacity in that second.
	PeakLoad   float64
	PeakLoadAt time.Duration // start of that second, measured from the last start
}

// Counts returns the counts so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{
		Commands: s.counter.commands,
		Hits:     s.counter.valuesServed,
		Evicted:  s.counter.evicted,
		Keys:     len(s.values.byKey),
		Clients:  len(s.connections),
	}
	if s.config.CommandsPerSecond <= 0 {
		return counts
	}
	for firstSlot := range s.counter.slots {
		if load := s.loadFrom(firstSlot); load > counts.PeakLoad {
			counts.PeakLoad, counts.PeakLoadAt = load, time.Duration(firstSlot)*slotWidth
		}
	}
	return counts
}

// loadFrom returns the load in the window that starts with the given slot, as a multiple of the capacity in the window.
func (s *Store) loadFrom(firstSlot int) float64 {
	age := s.counter.slotsStart.Sub(s.counter.startedAt)
	commands, capacity := 0.0, 0.0
	for slot := firstSlot; slot < firstSlot+windowSlots; slot++ {
		if slot < len(s.counter.slots) {
			commands += float64(s.counter.slots[slot])
		}
		share := s.capacityShare(age + time.Duration(slot)*slotWidth)
		capacity += s.config.CommandsPerSecond * share * slotWidth.Seconds()
	}
	return commands / capacity
}

// capacityShare returns the share of its capacity that a store has at a time since its start.
func (s *Store) capacityShare(age time.Duration) float64 {
	if age >= s.config.WarmUpTime {
		return 1
	}
	return s.config.ColdCapacityShare + (1-s.config.ColdCapacityShare)*float64(age)/float64(s.config.WarmUpTime)
}
