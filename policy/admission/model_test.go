package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Clients that testSettings allowlists.
const listedClient, otherListedClient = 200_000, 200_001

func clientAddress(n int) Peer {
	return Address([16]byte{10: 0xff, 11: 0xff, 12: 127, 13: byte(n >> 16), 14: byte(n >> 8), 15: byte(n)})
}

func testSettings() Settings {
	settings := Settings{
		MaxConnections: 40, ReservedSlots: 12, ConnectionsPerPeer: 10, NewPerPeerPerSecond: 20,
		RequestsPerPeer: 16, MaxRequests: 60, MaxRememberedPeers: 50, NoMessageIdlePenalty: time.Second,
		SendRetryAfter: true, MaxRetryAfter: time.Second, MaxHandshakes: 4, HandshakeCPU: 0.1,
		IsAllowlisted: func(p Peer) bool {
			return p == clientAddress(listedClient) || p == clientAddress(otherListedClient)
		},
	}
	return settings.WithDefaults()
}

// model simulates clients that connect, send requests, leave and flood in any order, and checks the invariants of the
// controller after each event.
type model struct {
	controller *Controller
	now        time.Duration
	lastConn   ConnID
	open       map[ConnID]*modelConnection
	violation  error // the first violation
}

type modelConnection struct {
	isBusy        bool
	openRequests  int
	isHandshaking bool
}

func newModel() *model {
	return &model{controller: New(testSettings()), open: map[ConnID]*modelConnection{}}
}

func (m *model) violate(format string, args ...any) {
	if m.violation == nil {
		m.violation = fmt.Errorf("at %v: %s", m.now, fmt.Sprintf(format, args...))
	}
}

// handle passes an event to the controller, carries out the actions, and returns the kind of the decision about the
// event's own connection.
func (m *model) handle(event Event) (decision ActionKind) {
	decision = Drop
	for _, action := range m.controller.Handle(m.now, &event, nil) {
		switch action.Kind {
		case CloseIdle:
			m.closeIdle(action.Conn)
		case Accept, Reject, Drop:
			if action.Conn != event.Conn {
				m.violate("decision about another connection")
			}
			decision = action.Kind
			if action.Wait < 0 || action.Wait > m.controller.settings.MaxRetryAfter {
				m.violate("the time to retry after is %v, want 0 to MaxRetryAfter", action.Wait)
			}
		default:
		}
	}
	m.check()
	return decision
}

func (m *model) closeIdle(id ConnID) {
	conn := m.open[id]
	if conn == nil {
		m.violate("connection %d was closed, but is not open", id)
		return
	}
	if conn.isBusy {
		m.violate("a busy connection was closed")
	}
	delete(m.open, id)
}

func (m *model) arrive(peer Peer, tls bool) (id ConnID, accepted bool) {
	m.lastConn++
	accepted = m.handle(Event{Kind: EventArrival, Conn: m.lastConn, Peer: peer, TLS: tls}) == Accept
	if accepted {
		controller := m.controller
		conn := &controller.connections[controller.connectionIndex[m.lastConn]]
		if conn.isReserved && controller.reputation(&controller.peers[conn.peerIndex]) == unknown {
			m.violate("an unknown peer was admitted in a reserved slot")
		}
		m.open[m.lastConn] = &modelConnection{isHandshaking: tls}
	}
	return m.lastConn, accepted
}

// check compares the controller's counts with those of the model and with the limits.
func (m *model) check() {
	controller, settings := m.controller, &m.controller.settings
	count, reserved := controller.connectionCount, controller.reservedCount
	if len(m.open) != count && len(m.open) != count-1 { // a connection that is being accepted is not in open yet
		m.violate("%d connections are open, but %d are counted", len(m.open), count)
	}
	if count > settings.MaxConnections {
		m.violate("%d connections exceed the limit of %d", count, settings.MaxConnections)
	}
	if count-reserved > settings.MaxConnections-settings.ReservedSlots {
		m.violate("%d connections in %d unreserved slots", count-reserved, settings.MaxConnections-settings.ReservedSlots)
	}
	onReserved, requests := 0, 0
	for _, index := range controller.connectionIndex {
		conn := &controller.connections[index]
		requests += conn.openRequests
		if conn.isReserved {
			onReserved++
		}
	}
	if onReserved != reserved || requests != controller.openRequests {
		m.violate("%d reserved slots, but %d are counted; %d requests, but %d are counted",
			onReserved, reserved, requests, controller.openRequests)
	}
	if controller.idlePeers.length > settings.MaxRememberedPeers ||
		len(controller.peerIndex) > settings.MaxRememberedPeers+settings.MaxConnections+1 {
		m.violate("%d peers are remembered, want at most MaxRememberedPeers without a connection",
			len(controller.peerIndex))
	}
}

// pick draws an open connection.
func (m *model) pick(draw func(int) int) (ConnID, *modelConnection) {
	if len(m.open) == 0 {
		return 0, nil
	}
	skip := draw(len(m.open))
	for id := ConnID(1); id <= m.lastConn; id++ {
		if conn := m.open[id]; conn != nil {
			if skip == 0 {
				return id, conn
			}
			skip--
		}
	}
	return 0, nil
}

// step draws an event and handles it.
func (m *model) step(draw func(int) int) {
	switch kind := draw(24); {
	case kind < 6:
		m.arrive(clientAddress(draw(4)), draw(4) == 0)
	case kind < 9:
		m.arrive(clientAddress(1000+draw(5000)), false)
	case kind < 11:
		m.arrive(clientAddress(listedClient+draw(2)), false)
	case kind < 13:
		m.now += time.Duration(draw(400)) * time.Millisecond
	case kind == 13:
		m.handle(Event{Kind: EventDescriptorsExhausted})
	case kind == 14:
		m.handle(Event{Kind: EventDescriptorAvailable})
	default:
		if id, conn := m.pick(draw); conn != nil {
			m.stepConnection(kind, id, conn, draw)
		}
	}
}

func (m *model) stepConnection(kind int, id ConnID, conn *modelConnection, draw func(int) int) {
	switch kind {
	case 15:
		m.handle(Event{Kind: EventMessage, Conn: id})
	case 16, 17:
		if m.handle(Event{Kind: EventRequest, Conn: id}) == Accept {
			conn.openRequests++
		}
		if !conn.isBusy {
			conn.isBusy = true
			m.handle(Event{Kind: EventBusy, Conn: id})
		}
	case 18, 19:
		if conn.openRequests > 0 {
			conn.openRequests--
			m.handle(Event{Kind: EventRequestEnd, Conn: id, InTime: draw(3) > 0})
		}
		if conn.openRequests == 0 && conn.isBusy {
			conn.isBusy = false
			m.handle(Event{Kind: EventIdle, Conn: id})
		}
	case 20:
		if conn.isHandshaking {
			conn.isHandshaking = false
			event := Event{Kind: EventHandshakeDone, Conn: id, Elapsed: time.Millisecond}
			if draw(2) == 0 {
				event.Peer = Certificate([32]byte{1: byte(draw(3))})
			}
			m.handle(event)
		}
	default:
		delete(m.open, id)
		m.handle(Event{Kind: EventClosed, Conn: id})
	}
}

// finish closes every connection and checks that all counts return to zero and that the mode is open again a minute
// later.
func (m *model) finish() {
	for id := ConnID(1); id <= m.lastConn; id++ {
		if m.open[id] != nil {
			delete(m.open, id)
			m.handle(Event{Kind: EventClosed, Conn: id})
		}
	}
	controller := m.controller
	if controller.connectionCount != 0 || controller.reservedCount != 0 || controller.openRequests != 0 ||
		controller.openKnownRequests != 0 || controller.handshakeCount != 0 ||
		len(controller.connectionIndex) != 0 || controller.peersWithConnections() != 0 {
		m.violate("counted at the end: %d connections, %d reserved, %d requests, %d handshakes", controller.connectionCount,
			controller.reservedCount, controller.openRequests, controller.handshakeCount)
	}
	m.now += time.Minute
	m.handle(Event{Kind: EventDescriptorAvailable})
	if _, accepted := m.arrive(clientAddress(7), false); !accepted || controller.mode != ModeOpen {
		m.violate("without other clients, a client is not admitted or the mode is %s, want open", controller.Mode())
	}
}

// play runs the given number of drawn events on a new model and returns the first violation.
func play(draw func(int) int, steps int) error {
	m := newModel()
	for i := 0; i < steps && m.violation == nil; i++ {
		m.step(draw)
	}
	if m.violation == nil {
		m.finish()
	}
	return m.violation
}

// Whatever the order of events, unknown peers get no reserved slot, no busy connection is closed, counts return to
// zero, every mode can be left, and the number of remembered peers is bounded.
func TestInvariantsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.IntRange(10, 500).Draw(t, "steps")
		if err := play(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }, steps); err != nil {
			t.Fatal(err)
		}
	})
}

// playSeeds runs events drawn with each of forty seeds.
func playSeeds() error {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 5))
		if err := play(random.IntN, 400); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}
