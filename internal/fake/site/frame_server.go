package site

import (
	"net"
	"sync"

	"github.com/tidwall/redcon"
)

// Handler answers the words of one frame with a frame, or with nil for none. Requests of one connection are handled
// side by side.
type Handler func(words []string) []byte

// FrameServer accepts connections and answers the frames on them.
type FrameServer struct {
	listener net.Listener
	handle   Handler
	readers  sync.WaitGroup // the accept loop and one reader a connection

	mu          sync.Mutex
	isClosed    bool
	connections map[net.Conn]struct{}
}

// ListenFrames starts a server at an address.
func ListenFrames(address string, handle Handler) (*FrameServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &FrameServer{listener: listener, handle: handle, connections: map[net.Conn]struct{}{}}
	s.readers.Go(s.accept)
	return s, nil
}

// Address is where it listens.
func (s *FrameServer) Address() string { return s.listener.Addr().String() }

// Close ends the server and waits until nothing is read any more. A request that is being handled may go on, but its
// response goes nowhere.
func (s *FrameServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	s.ResetConnections()
	s.readers.Wait()
}

// ResetConnections resets all connections at once, as the end of a process does.
func (s *FrameServer) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for connection := range s.connections {
		ResetConnection(connection)
	}
}

// ResetConnection ends a TCP connection with a reset.
func ResetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

func (s *FrameServer) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(connection) {
			ResetConnection(connection)
			return
		}
		s.readers.Go(func() { s.serve(connection) })
	}
}

// add takes note of a connection; it fails once the server is closed.
func (s *FrameServer) add(connection net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.connections[connection] = struct{}{}
	return true
}

func (s *FrameServer) serve(connection net.Conn) {
	defer func() {
		_ = connection.Close()
		s.mu.Lock()
		delete(s.connections, connection)
		s.mu.Unlock()
	}()
	var writing sync.Mutex
	reader := redcon.NewReader(connection)
	for {
		command, err := reader.ReadCommand()
		if err != nil || len(command.Args) < 2 {
			return
		}
		words := make([]string, len(command.Args))
		for i, word := range command.Args {
			words[i] = string(word)
		}
		go func() {
			response := s.handle(words)
			if response == nil {
				return
			}
			writing.Lock()
			defer writing.Unlock()
			_, _ = connection.Write(response)
		}()
	}
}
