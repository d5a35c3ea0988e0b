package admission

import (
	"fmt"
	"testing"
	"time"
)

// A burst fills all places with connections that sent a message once and stay: one that comes then has the time to
// send its own, and one of those is closed instead; one that has still not sent anything after that time goes first.
// Met on a crowded day: new connections were closed after a tenth of a millisecond, one for the next.
func TestNewConnectionsHaveTimeForFirstMessage(t *testing.T) {
	controller := New(Settings{MaxConnections: 20, FirstRequestGrace: time.Second, MaxRememberedPeers: 100})
	now, last := time.Second, ConnID(0)
	closed := map[ConnID]bool{}
	handle := func(event Event) {
		for _, action := range controller.Handle(now, &event, nil) {
			if action.Kind == CloseIdle {
				closed[action.Conn] = true
			}
		}
	}
	arrive := func() ConnID {
		last++
		handle(Event{Kind: EventArrive, Conn: last, Peer: clientAddress(int(last))})
		return last
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
			t.Errorf("connection %d was closed before it could send anything", id)
		}
	}
	now += 200 * time.Millisecond
	arrive()
	if !closed[recent[0]] {
		t.Error("one that has sent nothing for long keeps its place")
	}
}

// One address with many connections gets no more than its share of the requests.
func ExampleController() {
	settings := testSettings()
	settings.NewPerPeerPerSecond = 0
	controller := New(settings)
	last := ConnID(0)
	connect := func(client int) ConnID {
		last++
		controller.Handle(0, &Event{Kind: EventArrive, Conn: last, Peer: clientAddress(client)}, nil)
		return last
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
	settings.MaxConnections, settings.Reserve, settings.MaxRememberedPeers = 400, 100, 4096
	controller := New(settings)
	actions := make([]Action, 0, 8)
	now, id := time.Duration(0), ConnID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 50 * time.Microsecond
		event := Event{Kind: EventArrive, Conn: id, Peer: clientAddress(int(id) % 100_000)}
		actions = controller.Handle(now, &event, actions[:0])
	}
}
