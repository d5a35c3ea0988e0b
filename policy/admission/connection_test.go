package admission

import (
	"fmt"
	"testing"
	"time"
)

// New connections must not be closed for one another before their first messages arrive: under load, each would be
// closed after a tenth of a millisecond. When all slots are taken by idle connections that have sent a message, one of
// these is closed for a new connection. A connection that has sent nothing for longer than firstMessageDelay is closed
// first.
func TestNewConnectionsHaveTimeForFirstMessage(t *testing.T) {
	controller := New(Settings{MaxConnections: 20, NoMessageIdlePenalty: time.Second, MaxRememberedPeers: 100})
	now, lastConn := time.Second, ConnID(0)
	closed := map[ConnID]bool{}
	handle := func(event Event) {
		for _, action := range controller.Handle(now, &event, nil) {
			if action.Kind == CloseIdle {
				closed[action.Conn] = true
			}
		}
	}
	arrive := func() ConnID {
		lastConn++
		handle(Event{Kind: EventArrival, Conn: lastConn, Peer: clientAddress(int(lastConn))})
		return lastConn
	}
	for range 20 {
		handle(Event{Kind: EventMessage, Conn: arrive()})
		now += time.Millisecond
	}
	now += 150 * time.Millisecond
	var recent []ConnID
	for range 15 {
		recent = append(recent, arrive())
		now += time.Millisecond
	}
	for _, id := range recent {
		if closed[id] {
			t.Errorf("connection %d was closed before it could send its first message", id)
		}
	}
	now += 200 * time.Millisecond
	arrive()
	if !closed[recent[0]] {
		t.Error("a connection that has long sent nothing was not closed for a new one")
	}
}

// An address with many connections gets no more than its share of the requests.
func ExampleController() {
	settings := testSettings()
	settings.NewPerPeerPerSecond = 0
	controller := New(settings)
	lastConn := ConnID(0)
	connect := func(client int) ConnID {
		lastConn++
		controller.Handle(0, &Event{Kind: EventArrival, Conn: lastConn, Peer: clientAddress(client)}, nil)
		return lastConn
	}
	request := func(id ConnID, times int) (admitted int) {
		for range times {
			if controller.Handle(0, &Event{Kind: EventRequest, Conn: id}, nil)[0].Kind == Accept {
				admitted++
			}
		}
		return admitted
	}
	for _, id := range []ConnID{connect(1), connect(1), connect(1), connect(1)} {
		fmt.Print(request(id, 10), " ")
	}
	fmt.Println("requests of one address")
	for client := range 6 {
		fmt.Print(request(connect(10+client), 10), " ")
	}
	fmt.Println("of six others, where unknown peers may have 60")
	fmt.Println(request(connect(listedClient), 20), "requests of a listed client")
	// Output:
	// 10 6 0 0 requests of one address
	// 10 10 10 10 4 0 of six others, where unknown peers may have 60
	// 16 requests of a listed client
}

func BenchmarkArrive(b *testing.B) {
	settings := testSettings()
	settings.MaxConnections, settings.ReservedSlots, settings.MaxRememberedPeers = 400, 100, 4096
	controller := New(settings)
	actions := make([]Action, 0, 8)
	now, id := time.Duration(0), ConnID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 50 * time.Microsecond
		event := Event{Kind: EventArrival, Conn: id, Peer: clientAddress(int(id) % 100_000)}
		actions = controller.Handle(now, &event, actions[:0])
	}
}

// A peer that is known by its client certificate stays known when settings change, although no address list names it:
// during a flood, a reload would otherwise lock out exactly the clients that hold certificates.
func TestCertificatePeerStaysKnownAfterSettingsChange(t *testing.T) {
	controller := New(testSettings())
	certificate := Certificate([32]byte{7})
	controller.Handle(time.Second, &Event{Kind: EventArrival, Conn: 1, Peer: clientAddress(1), TLS: true}, nil)
	controller.Handle(time.Second, &Event{Kind: EventHandshakeDone, Conn: 1, Peer: certificate}, nil)
	controller.Handle(time.Second, &Event{Kind: EventArrival, Conn: 2, Peer: clientAddress(2)}, nil)
	if _, isRemembered := controller.peerIndex[certificate]; !isRemembered {
		t.Fatal("the peer of the certificate has no record")
	}
	controller.UpdateSettings(testSettings())
	for peer, want := range map[Peer]reputation{certificate: allowlisted, clientAddress(2): unknown} {
		if got := controller.reputation(&controller.peers[controller.peerIndex[peer]]); got != want {
			t.Errorf("reputation of peer %x is %v after the change, want %v", peer, got, want)
		}
	}
}
