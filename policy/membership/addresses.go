// Package membership decides which endpoint an address belongs to. A new server may have the address of one that has
// gone: what is sent there for the old one, within its drain grace or on a connection that is still being dialled,
// would be taken by the new one. The package does no I/O and reads no clock.
package membership

import (
	"time"

	"fennelarch/policy/routing"
)

// Listed is what an endpoint list says of the address of an endpoint.
type Listed struct {
	ID       routing.EndpointID
	Address  string
	State    routing.EndpointState
	BootTime time.Time // zero: long ago
}

// rememberFor is how long an endpoint that is gone is remembered: longer than any attempt that may name it.
const rememberFor = time.Minute

// owner is the endpoint to which an address belongs.
type owner struct {
	id       routing.EndpointID
	bootTime time.Time
}

// location is the address at which an endpoint was last listed.
type location struct {
	address string
	isGone  bool
	goneAt  time.Duration
}

// departure is an endpoint that went at a time.
type departure struct {
	id     routing.EndpointID
	goneAt time.Duration
}

// Addresses holds the addresses of all endpoints that are listed, or have been until recently.
type Addresses struct {
	owners    map[string]owner
	locations map[routing.EndpointID]location
	gone      []departure // oldest first; some may have been listed again since
}

// New returns a record without addresses.
func New() Addresses {
	return Addresses{owners: map[string]owner{}, locations: map[routing.EndpointID]location{}}
}

// Update applies the entry of an endpoint in a list. It returns the endpoint to which the address belonged, if another
// one has taken it over, or 0. An address belongs to the endpoint that is listed there as ready. If several are, it is
// the one that started last, else the one that was listed last.
func (a *Addresses) Update(listed Listed, now time.Duration) (replaced routing.EndpointID) {
	a.forget(now)
	if listed.State == routing.Gone {
		a.depart(listed.ID, now)
		return 0
	}
	if previous, isKnown := a.locations[listed.ID]; isKnown && previous.address != listed.Address {
		a.release(listed.ID, previous.address)
	}
	a.locations[listed.ID] = location{address: listed.Address}
	current, isOwned := a.owners[listed.Address]
	if isOwned && (listed.State != routing.Ready || listed.BootTime.Before(current.bootTime)) {
		return 0
	}
	a.owners[listed.Address] = owner{listed.ID, listed.BootTime}
	if isOwned && current.id != listed.ID {
		return current.id
	}
	return 0
}

// IsReplaced reports whether the address of an endpoint belongs to another one.
func (a *Addresses) IsReplaced(id routing.EndpointID) bool {
	known, isKnown := a.locations[id]
	return isKnown && a.owners[known.address].id != id
}

// RemoveUnlisted records that the endpoints are gone that a complete list does not contain.
func (a *Addresses) RemoveUnlisted(isListed func(id routing.EndpointID) bool, now time.Duration) {
	for id := range a.locations {
		if !isListed(id) {
			a.depart(id, now)
		}
	}
}

// depart records that an endpoint is gone. Its address belongs to it until another one has it.
func (a *Addresses) depart(id routing.EndpointID, now time.Duration) {
	known, isKnown := a.locations[id]
	if !isKnown || known.isGone {
		return
	}
	known.isGone, known.goneAt = true, now
	a.locations[id] = known
	a.gone = append(a.gone, departure{id, now})
}

func (a *Addresses) release(id routing.EndpointID, address string) {
	if a.owners[address].id == id {
		delete(a.owners, address)
	}
}

// forget forgets the endpoints that have been gone for long.
func (a *Addresses) forget(now time.Duration) {
	for len(a.gone) > 0 && now-a.gone[0].goneAt > rememberFor {
		oldest := a.gone[0]
		a.gone = a.gone[1:]
		if known := a.locations[oldest.id]; known.isGone && known.goneAt == oldest.goneAt {
			a.release(oldest.id, known.address)
			delete(a.locations, oldest.id)
		}
	}
}
