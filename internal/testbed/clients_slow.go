package testbed

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"fennelarch/internal/fake/site"
)

var _ = Register(Experiment{
	Name:        "clients-slow",
	Description: "hundreds of clients make the router hold memory for them",
	Run:         runClientsSlow,
})

const (
	// slowWriteInterval is the pause between two bytes of a client that writes slowly, and slowBytes how many bytes of a
	// message it writes so.
	slowWriteInterval = 20 * time.Millisecond
	slowBytes         = 200
	// longHeadBytes is the length of a head that fills a router's buffers.
	longHeadBytes = 15_000
	// usualConnections is the number of connections that are left for usual clients.
	usualConnections = 8
	// clientDivisor divides a router's descriptors to give the connections that clients may hold.
	clientDivisor = 3
)

func runClientsSlow(options Options, result *Result) error {
	const parts = 3
	arm := 0
	for _, size := range []struct{ memoryMB, sockets int }{{32, 1024}, {32, 256}, {64, 1024}} {
		for _, client := range slowClients(size.sockets/clientDivisor - usualConnections) {
			arm++
			if !options.isPlayed(arm, parts) {
				continue
			}
			arm := misbehaviourArm{client: client, memoryMB: size.memoryMB, sockets: size.sockets}
			if err := arm.run(options, result); err != nil {
				return err
			}
		}
	}
	return nil
}

// slowClients returns clients that make a router hold memory for them. Those that send much do so with and without
// reading the answers.
func slowClients(connections int) []misbehavingClient {
	list := []misbehavingClient{
		{"half of a large request", connections, true, writeHalf},
		{"heads written slowly", connections, true, writeHeadSlowly},
		{"many fields written slowly", connections, true, writeFieldsSlowly},
		{"small bodies written slowly", connections, true, writeBodySlowly},
	}
	for name, misbehave := range map[string]func(net.Conn, *idSource){
		"all of these":         doAnyOfThese,
		"heads of many fields": writeManyFields,
		"small writes":         repeatWrites("y"),
		"writes of 3 KB":       repeatWrites(strings.Repeat("y", 3000)),
		"large writes":         repeatWrites(strings.Repeat("y", maxBodyBytes)),
		"reads":                repeatReads,
	} {
		list = append(list,
			misbehavingClient{name, connections, true, misbehave},
			misbehavingClient{name + ", unread", connections, false, misbehave})
	}
	slices.SortFunc(list, func(a, b misbehavingClient) int { return strings.Compare(a.name, b.name) })
	return list
}

// rest waits until the connection ends, without reading from it.
func rest(stream net.Conn) {
	for {
		time.Sleep(slowWriteInterval)
		if _, err := stream.Write(nil); err != nil {
			return
		}
	}
}

// writeSlowly writes a text, the last part of it byte by byte.
func writeSlowly(stream net.Conn, text []byte) {
	first := max(0, len(text)-slowBytes)
	if _, err := stream.Write(text[:first]); err != nil {
		return
	}
	for _, next := range text[first:] {
		time.Sleep(slowWriteInterval)
		if _, err := stream.Write([]byte{next}); err != nil {
			return
		}
	}
}

// manyFields returns a list of many short fields with different names.
func manyFields(bytes int) string {
	var list strings.Builder
	for i := 0; list.Len() < bytes; i++ {
		list.WriteString(strconv.FormatInt(int64(i), 36) + "=,")
	}
	return list.String() + "zz="
}

func writeHalf(stream net.Conn, ids *idSource) {
	request := ids.request(classSignoff, strings.Repeat("y", maxBodyBytes))
	frame := request.Frame("1")
	_, _ = stream.Write(frame[:len(frame)/2])
	rest(stream)
}

func writeHeadSlowly(stream net.Conn, _ *idSource) {
	writeSlowly(stream, site.Frame(verbRequest, "1", classClip, strings.Repeat("x", longHeadBytes), ""))
}

func writeFieldsSlowly(stream net.Conn, _ *idSource) {
	writeSlowly(stream, site.Frame(verbRequest, "1", classClip, manyFields(longHeadBytes), ""))
}

func writeBodySlowly(stream net.Conn, ids *idSource) {
	request := ids.request(classSignoff, strings.Repeat("y", 4000))
	writeSlowly(stream, request.Frame("1"))
}

func writeManyFields(stream net.Conn, ids *idSource) {
	more := manyFields(longHeadBytes)
	for tag := 1; ; tag++ {
		fields := fmt.Sprintf("req=%016x,timeout=3000,subject=%016x,", ids.next(), ids.next()) + more
		if _, err := stream.Write(site.Frame(verbRequest, strconv.Itoa(tag), classClip, fields, "")); err != nil {
			return
		}
	}
}

// repeatWrites returns a behaviour that sends one write after the other.
func repeatWrites(body string) func(net.Conn, *idSource) {
	return func(stream net.Conn, ids *idSource) {
		for tag := 1; ; tag++ {
			request := ids.request(classSignoff, body)
			if _, err := stream.Write(request.Frame(strconv.Itoa(tag))); err != nil {
				return
			}
		}
	}
}

func repeatReads(stream net.Conn, ids *idSource) {
	for tag := 1; ; tag++ {
		request := ids.request(classClip, "")
		if _, err := stream.Write(request.Frame(strconv.Itoa(tag))); err != nil {
			return
		}
	}
}

// doAnyOfThese misbehaves in one of the other ways.
func doAnyOfThese(stream net.Conn, ids *idSource) {
	kinds := []func(net.Conn, *idSource){
		writeHalf, writeHeadSlowly, writeFieldsSlowly, writeBodySlowly, writeManyFields, repeatReads,
		repeatWrites("y"), repeatWrites(strings.Repeat("y", 3000)), repeatWrites(strings.Repeat("y", maxBodyBytes)),
	}
	kinds[ids.next()%uint64(len(kinds))](stream, ids)
}
