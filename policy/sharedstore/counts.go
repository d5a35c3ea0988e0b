package sharedstore

// Counts counts decisions.
type Counts struct {
	Gets    uint64 // gets sent
	Hits    uint64 // gets that returned a usable copy
	Misses  uint64 // gets that returned none
	Spoilt  uint64 // misses because of a corrupt value
	Old     uint64 // copies that were too old, or not proved newer than every purge
	Fills   uint64 // fills started
	Passed  uint64 // operations that bypassed the store
	Joined  uint64 // operations that joined another one of this router
	Leases  uint64 // attempts to acquire a lease
	Waits   uint64 // waits for another router's fill
	Sets    uint64 // copies sent to a store
	Refused uint64 // operations that got neither the store nor a fill
	Overdue uint64 // timers of operations that fired
}
