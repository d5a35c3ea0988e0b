package site

import (
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

func TestBodyNamesItsObjectAndShowsAWrongByte(t *testing.T) {
	object, createdAt := Object{ID: 7, Part: 2}, time.UnixMilli(1_700_000_000_123)
	body := Body(object, createdAt, 300)
	parsed, parsedAt, isIntact := ParseBody(body)
	if len(body) != 300 || parsed != object || !parsedAt.Equal(createdAt) || !isIntact {
		t.Errorf("body of %d bytes, parsed as %v from %v, intact: %v; want 300 bytes, the same object and time, true",
			len(body), parsed, parsedAt, isIntact)
	}
	if _, _, isIntact := ParseBody(body[:299] + "?"); isIntact {
		t.Error("a body with a wrong byte is reported as intact")
	}
	if at, err := ParseChecksum(Checksum(createdAt)); err != nil || !at.Equal(createdAt) {
		t.Errorf("checksum of %v parsed as %v, %v", createdAt, at, err)
	}
}

func TestPageHoldsTheEventsAfterANumber(t *testing.T) {
	log := NewEventLog()
	_, changed := log.Events()
	log.Append(`"a":{}`)
	if number := log.Append(`"b":{}`); number != 2 {
		t.Errorf("the second event has the number %d, want 2", number)
	}
	select {
	case <-changed:
	default:
		t.Error("the channel was not closed when an event was appended")
	}
	events, _ := log.Events()
	for after, want := range []string{
		`{"no":2,"items":[{"no":1,"a":{}},{"no":2,"b":{}}]}`, `{"no":2,"items":[{"no":2,"b":{}}]}`, `{"no":2,"items":[]}`,
		`{"no":2,"items":[]}`,
	} {
		if got := Page(events, after); got != want {
			t.Errorf("wrong page after event %d: %s", after, got)
		}
	}
}

func TestEndpointEvents(t *testing.T) {
	cell := 3
	endpoint := Endpoint{UID: "s-1", Address: "127.0.0.1:1", Zone: Zone, Kind: Cache, State: StateReady, Weight: 4}
	const want = `"roster":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","az":"west",` +
		`"model":"box","state":"ready","capacity_hint":4,"boot_ms":0}]}`
	if got := ListEvent(endpoint); got != want {
		t.Error(got)
	}
	endpoint.Cell, endpoint.Boot = &cell, time.UnixMilli(5)
	const wantWithCell = `"roster":{"rev":1,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","az":"west",` +
		`"model":"box","pod_group":3,"state":"ready","capacity_hint":4,"boot_ms":5}]}`
	if got := ChangesEvent(endpoint); got != wantWithCell {
		t.Error(got)
	}
}

func TestFillThroughAParentIsKept(t *testing.T) {
	testSite := New(func(Object) int { return 200 }, func(uint64) int { return 1 })
	defer testSite.Close()
	servers := map[Kind]*CacheServer{}
	for _, kind := range []Kind{Cache, Parent, Origin} {
		server, err := testSite.Add(CacheServerOptions{UID: "s-" + string(kind), Kind: kind, Weight: 1, Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		servers[kind] = server
	}
	connection, err := net.Dial("tcp", servers[Cache].Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	reader := redcon.NewReader(connection)
	fetch := func(id, fields string) (status string) {
		t.Helper()
		if _, err := connection.Write(Frame("fetch", id, fields, "")); err != nil {
			t.Fatal(err)
		}
		response, err := reader.ReadCommand()
		if err != nil || len(response.Args) < 2 || string(response.Args[0]) != id {
			t.Fatalf("response %q, error %v", response.Raw, err)
		}
		return string(response.Args[1])
	}
	for _, step := range []struct {
		name, fields, status string
		originFills          int
	}{
		{"neither the cache nor its source has a copy", "class=clip,key=7,next=s-parent,ways=held", StatusNotCached, 0},
		{"filled from the origin", "class=clip,key=7,next=s-parent", StatusOK, 1},
		{"cached", "class=clip,key=7", StatusOK, 1},
	} {
		if status := fetch("a", step.fields); status != step.status {
			t.Errorf("%s: unexpected status %s", step.name, status)
		}
		if fills := len(servers[Origin].Received()); fills != step.originFills {
			t.Errorf("%s: unexpected number of fills at the origin: %d", step.name, fills)
		}
	}
	testSite.PurgeObject(7)
	if status := fetch("b", "class=clip,key=7"); status != StatusNotCached {
		t.Errorf("fetch of a purged copy has status %s", status)
	}
}
