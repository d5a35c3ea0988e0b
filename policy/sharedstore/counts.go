package sharedstore

// Counts counts the decisions of a Coordinator.
type Counts struct {
	Gets          uint64 // gets sent
	Hits          uint64 // gets that returned a usable copy
	Misses        uint64 // gets that returned no copy
	Corrupt       uint64 // misses because of a corrupt value
	Stale         uint64 // copies that were too old, or not proved newer than every purge
	Fills         uint64 // fills started
	Bypassed      uint64 // operations that bypassed the store
	Coalesced     uint64 // operations that joined another operation of this router
	LeaseAttempts uint64 // attempts to acquire a lease
	FillWaits     uint64 // waits for another router's fill
	Sets          uint64 // copies sent to a store
	Rejected      uint64 // operations that could use neither the store nor a fill
	Timeouts      uint64 // operation timers that fired
}
