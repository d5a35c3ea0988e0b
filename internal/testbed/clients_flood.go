package testbed

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"fennelarch/internal/fake/site"
)

var _ = Register(Experiment{
	Name:        "clients-flood",
	Description: "a client sends small or invalid messages on one connection as fast as it can",
	Run:         runClientsFlood,
})

func runClientsFlood(options Options, result *Result) error {
	const memoryMB, sockets, parts = 32, 256, 3
	for i, client := range floodingClients() {
		if !options.isPlayed(i, parts) {
			continue
		}
		arm := misbehaviourArm{client: client, memoryMB: memoryMB, sockets: sockets}
		if err := arm.run(options, result); err != nil {
			return err
		}
	}
	return nil
}

// messageFunc returns a message, given a tag that is new on its connection.
type messageFunc func(tag string, ids *idSource) []byte

// floodMessages are the messages of which a client may send very many.
var floodMessages = map[string]messageFunc{
	"pings":         func(tag string, _ *idSource) []byte { return PingFrame(tag) },
	"cancels":       func(tag string, _ *idSource) []byte { return CancelFrame(tag) },
	"unknown verbs": func(tag string, _ *idSource) []byte { return site.Frame("JUMP", tag) },
	"invalid tags":  func(string, *idSource) []byte { return site.Frame(verbRequest, "x") },
	"no fields":     func(tag string, _ *idSource) []byte { return site.Frame(verbRequest, tag, classClip, "") },
	"long fields": func(tag string, _ *idSource) []byte {
		return site.Frame(verbRequest, tag, classClip, manyFields(longHeadBytes))
	},
	"unknown class": func(tag string, ids *idSource) []byte {
		return site.Frame(verbRequest, tag, "film", requiredFields(ids))
	},
	"unknown fields": func(tag string, ids *idSource) []byte {
		return site.Frame(verbRequest, tag, classClip, fmt.Sprintf("%s,n%x=1", requiredFields(ids), ids.next()))
	},
	"new objects":                  floodRequest(classClip, 0, notCancelled),
	"new objects, cancelled":       floodRequest(classClip, 0, 0),
	"new objects, cancelled later": floodRequest(classClip, 0, cancelledLater),
	"small writes":                 floodRequest(classSignoff, 1, notCancelled),
	"writes, cancelled":            floodRequest(classSignoff, 1, 0),
	"writes, cancelled later":      floodRequest(classSignoff, 1, cancelledLater),
	"writes of 6 KB":               floodRequest(classSignoff, 6000, notCancelled),
}

func requiredFields(ids *idSource) string {
	return fmt.Sprintf("req=%016x,timeout=3000,subject=%016x", ids.next(), ids.next())
}

// The number of requests that a client sends after one before it cancels that.
const (
	notCancelled   = -1
	cancelledLater = 20
)

// floodRequest returns requests for new objects under new ids, each with the cancel of an earlier one or of itself.
func floodRequest(class string, bodyBytes, cancelAfter int) messageFunc {
	body := strings.Repeat("y", bodyBytes)
	return func(tag string, ids *idSource) []byte {
		request := ids.request(class, body)
		frame := request.Frame(tag)
		if number, _ := strconv.Atoi(tag); cancelAfter >= 0 && number > cancelAfter {
			frame = append(frame, CancelFrame(strconv.Itoa(number-cancelAfter))...)
		}
		return frame
	}
}

// floodingClients returns a client for each kind of message that reads its answers, and one that does not.
func floodingClients() []misbehavingClient {
	const malformedConnections = 8
	list := []misbehavingClient{{"malformed, on new connections", malformedConnections, true, writeMalformed}}
	for name, message := range floodMessages {
		list = append(list,
			misbehavingClient{name, 1, true, repeatMessages(message)},
			misbehavingClient{name + ", unread", 1, false, repeatMessages(message)})
	}
	slices.SortFunc(list, func(a, b misbehavingClient) int { return strings.Compare(a.name, b.name) })
	return list
}

// repeatMessages returns a behaviour that sends messages as fast as the router takes them.
func repeatMessages(message messageFunc) func(net.Conn, *idSource) {
	const batch = 50
	return func(stream net.Conn, ids *idSource) {
		for tag := 1; ; {
			var frames []byte
			for range batch {
				frames = append(frames, message(strconv.Itoa(tag), ids)...)
				tag++
			}
			if _, err := stream.Write(frames); err != nil {
				return
			}
		}
	}
}

func writeMalformed(stream net.Conn, ids *idSource) {
	request := ids.request(classSignoff, "y")
	_, _ = stream.Write(append(request.Frame("1"), "GET /\r\n"...))
	rest(stream)
}
