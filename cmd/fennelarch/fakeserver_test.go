package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// Verbs of the protocol between the router and its servers.
const (
	verbFetch = "fetch"
	verbAbort = "abort"
	verbStats = "stats"
)

// frame encodes strings as one frame, an array of bulk strings.
func frame(parts ...string) string {
	encoded := redcon.AppendArray(nil, len(parts))
	for _, part := range parts {
		encoded = redcon.AppendBulkString(encoded, part)
	}
	return string(encoded)
}

// serverRequest is a request that a fake server received.
type serverRequest struct {
	verb, id, body string
	fields         map[string]string
	conn           net.Conn
}

// respond encodes a response to the request.
func (r serverRequest) respond(status, fields, body string) string {
	return frame(r.id, status, fields, body)
}

// handler returns the response to a request, and whether the server closes the connection after writing it.
type handler func(request serverRequest) (response string, closeAfter bool)

func respondHit(request serverRequest) (string, bool) {
	return request.respond("200", "sum=5,t0=1,how=local", "of "+request.fields["key"]), false
}

func respondMiss(request serverRequest) (string, bool) {
	return request.respond("404", "how=not_there", ""), false
}

func respondBusy(request serverRequest) (string, bool) {
	return request.respond("503", "how=turned_away", ""), false
}

func respondNothing(serverRequest) (string, bool) { return "", false }

// fakeServer is a fake cache server, parent or origin.
type fakeServer struct {
	uid, kind, address string

	mu       sync.Mutex
	listener net.Listener
	handle   handler
	requests []serverRequest
	conns    map[net.Conn]bool
}

func newFakeServer(t *testing.T, uid, kind string, handle handler) *fakeServer {
	t.Helper()
	server := &fakeServer{uid: uid, kind: kind, handle: handle, conns: map[net.Conn]bool{}}
	server.listen(t)
	return server
}

// listen starts to accept connections, at the server's previous address if it has one.
func (s *fakeServer) listen(t *testing.T) {
	t.Helper()
	address := "127.0.0.1:0"
	if s.address != "" {
		address = s.address
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s.listener, s.address = listener, listener.Addr().String()
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
}

// serve handles the requests on a connection until the connection ends.
func (s *fakeServer) serve(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	for reader := redcon.NewReader(conn); ; {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		request := parseServerRequest(command.Args, conn)
		response, closeAfter := s.record(request)(request)
		if _, err := io.WriteString(conn, response); err != nil || closeAfter {
			return
		}
	}
}

func parseServerRequest(parts [][]byte, conn net.Conn) serverRequest {
	request := serverRequest{verb: string(parts[0]), id: string(parts[1]), fields: map[string]string{}, conn: conn}
	if len(parts) > 3 {
		request.body = string(parts[3])
		for field := range strings.SplitSeq(string(parts[2]), ",") {
			name, value, _ := strings.Cut(field, "=")
			request.fields[name] = value
		}
	}
	return request
}

// record stores a request and returns the handler for it.
func (s *fakeServer) record(request serverRequest) handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	switch request.verb {
	case verbFetch:
		return s.handle
	case verbAbort:
		return respondNothing
	}
	return func(request serverRequest) (string, bool) {
		return frame(request.id, "alive", "stats=util:0.1;x1:0.1"), false
	}
}

// setHandler replaces the handler of fetch requests.
func (s *fakeServer) setHandler(handle handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle = handle
}

// received returns the requests with a verb that the server has received so far.
func (s *fakeServer) received(verb string) (list []serverRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range s.requests {
		if request.verb == verb {
			list = append(list, request)
		}
	}
	return list
}

// receivedCount returns the number of requests with a verb that the server has received so far.
func (s *fakeServer) receivedCount(verb string) int { return len(s.received(verb)) }

// stopListening makes the server refuse new connections, and closes the open ones.
func (s *fakeServer) stopListening(t *testing.T) {
	t.Helper()
	_ = s.listener.Close()
	await(t, "all connections to close", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for conn := range s.conns {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		return len(s.conns) == 0
	})
}

// unreachableAddress returns an address at which connections are never established, because the queue of its listener
// is full.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "unreachable")
	t.Cleanup(func() { _ = file.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}
