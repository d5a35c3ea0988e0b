package admission

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// flood opens connections from the given number of addresses, as many as are accepted, and checks that listed clients
// are still admitted and that their connections are not closed for unknown ones.
func flood(addresses int) error {
	clients := newModel()
	listedConn, accepted := clients.arrive(clientAddress(listedClient), false)
	if !accepted {
		return errors.New("a listed client is not admitted before the flood")
	}
	for i := range 10_000 {
		clients.arrive(clientAddress(i%addresses), false)
		if i%10 == 0 {
			clients.now += time.Millisecond
		}
	}
	if clients.open[listedConn] == nil {
		clients.violate("a listed client's connection was closed for an unknown client")
	}
	controller := clients.controller
	flooder := &controller.peers[controller.peerIndex[clientAddress(1%addresses)]]
	if flooder.connections > controller.settings.ConnectionsPerPeer {
		clients.violate("one address has %d connections", flooder.connections)
	}
	for range 2 {
		if _, accepted := clients.arrive(clientAddress(otherListedClient), false); !accepted {
			clients.violate("a listed client is not admitted during the flood in mode %s", controller.Mode())
		}
	}
	clients.handle(Event{Kind: EventDescriptorsExhausted})
	if _, accepted := clients.arrive(clientAddress(listedClient), false); !accepted {
		clients.violate("a listed client is not admitted while descriptors are exhausted")
	}
	return clients.violation
}

func floodByOne() error { return flood(1) }

func floodByThousand() error { return flood(1000) }

// reputationOf returns the reputation of a client that has a connection.
func (m *model) reputationOf(client int) reputation {
	return m.controller.reputation(&m.controller.peers[m.controller.peerIndex[clientAddress(client)]])
}

// servedInTimeIsKnown checks that a peer becomes known when its requests are served in time, and unknown again when it
// floods the router.
func servedInTimeIsKnown() error {
	clients := newModel()
	id, _ := clients.arrive(clientAddress(5), false)
	for range 8 {
		clients.handle(Event{Kind: EventRequest, Conn: id})
		clients.handle(Event{Kind: EventRequestEnd, Conn: id, InTime: true})
	}
	if clients.reputationOf(5) != recentlyServed {
		return errors.New("a peer is unknown after eight requests served in time")
	}
	clients.now += time.Minute
	for range 200 {
		clients.arrive(clientAddress(5), false)
	}
	if clients.reputationOf(5) != unknown {
		return errors.New("a peer that floods the router is still known")
	}
	return clients.violation
}

// servedLateIsUnknown checks that late responses do not make a peer known.
func servedLateIsUnknown() error {
	m := newModel()
	id, _ := m.arrive(clientAddress(5), false)
	for range 50 {
		m.handle(Event{Kind: EventRequest, Conn: id})
		m.handle(Event{Kind: EventRequestEnd, Conn: id})
	}
	if m.reputationOf(5) != unknown {
		return errors.New("a peer whose requests were never served in time is known")
	}
	return m.violation
}

// checks are run by TestFloods; each fault planted by TestChecksFindPlantedFaults must fail at least one of them.
var checks = []struct {
	name  string
	check func() error
}{
	{"flood by one address", floodByOne},
	{"flood by a thousand addresses", floodByThousand},
	{"served in time is known", servedInTimeIsKnown},
	{"served late is unknown", servedLateIsUnknown},
	{"forty seeds", playSeeds},
}

func firstFailure() error {
	for _, c := range checks {
		if err := c.check(); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return nil
}

func TestFloods(t *testing.T) {
	for _, c := range checks {
		t.Run(c.name, func(t *testing.T) {
			if err := c.check(); err != nil {
				t.Error(err)
			}
		})
	}
}

// A wrong entry in one of the tables makes at least one check fail.
func TestChecksFindPlantedFaults(t *testing.T) {
	for name, plant := range map[string]func(){
		"unknown peers in reserved slots": func() { verdicts[ModeFull][unknown] = admitReserved },
		"shedding without an end":         func() { modeTransitions[ModeShedding][descriptorsRestored] = ModeShedding },
		"listed peers are shed":           func() { verdicts[ModeShedding][allowlisted] = reject },
		"full without an end": func() {
			modeTransitions[ModeFull][occupancyLow], modeTransitions[ModeFull][occupancyEased] = ModeFull, ModeFull
		},
		"busy connections count as idle": func() { connectionTransitions[stateIdle][signalBusy] = stateIdle },
	} {
		t.Run(name, func(t *testing.T) {
			oldVerdicts, oldModes, oldStates := verdicts, modeTransitions, connectionTransitions
			defer func() { verdicts, modeTransitions, connectionTransitions = oldVerdicts, oldModes, oldStates }()
			plant()
			if firstFailure() == nil {
				t.Error("no check found the fault")
			}
		})
	}
}
